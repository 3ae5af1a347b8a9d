//! Policies for when a slow part is hedged at another replica.

use std::fmt::Debug;
use std::time::Duration;

use crate::digest::LatencyDigest;

/// The shortest delay before a hedge; below it, scheduling noise of this process would cause hedges.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(1);

/// Whether a part comes from another data centre, whose network latency adds to that of the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// The data centre of this VM.
    Near,
    /// Another data centre.
    Far,
}

/// Decides after which time a part is hedged.
pub trait HedgePolicy: Debug + Send {
    /// Records that a part arrived after this time, or that its attempt was cancelled unanswered
    /// after it, so that its latency is longer but unknown.
    fn observe(&mut self, from: Distance, latency: Duration);

    /// Returns the time after which a part is hedged; `None` for never.
    fn delay(&self, from: Distance) -> Option<Duration>;
}

/// The baseline policy: no hedges.
#[derive(Debug)]
pub struct NoHedge;

impl HedgePolicy for NoHedge {
    fn observe(&mut self, _: Distance, _: Duration) {}

    fn delay(&self, _: Distance) -> Option<Duration> {
        None
    }
}

/// The default policy: hedges parts that are slower than a quantile of recent parts from the same
/// [`Distance`].
#[derive(Debug)]
pub struct LearnedDelay {
    near: LatencyDigest,
    far: LatencyDigest,
}

impl LearnedDelay {
    /// Creates the policy that hedges above this quantile, between 0 and 1.
    #[must_use]
    pub fn new(quantile: f64) -> Self {
        Self {
            near: LatencyDigest::new(quantile),
            far: LatencyDigest::new(quantile),
        }
    }
}

impl HedgePolicy for LearnedDelay {
    fn observe(&mut self, from: Distance, latency: Duration) {
        match from {
            Distance::Near => self.near.add(latency),
            Distance::Far => self.far.add(latency),
        }
    }

    fn delay(&self, from: Distance) -> Option<Duration> {
        let learned = match from {
            Distance::Near => self.near.estimate().or(self.far.estimate()),
            Distance::Far => self.far.estimate(),
        };
        learned.map(|d| d.max(HEDGE_DELAY_MIN))
    }
}
