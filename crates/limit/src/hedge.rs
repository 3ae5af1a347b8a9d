//! When a part that is slow to come is asked for again elsewhere.

use std::fmt::Debug;
use std::time::Duration;

use crate::digest::LatencyDigest;

/// The least delay before a hedge; below it, noise of this process would cause hedges.
const DELAY_MIN: Duration = Duration::from_millis(1);

/// How far a part comes from; the link to another data centre is part of its latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// From this VM's data centre.
    Near,
    /// From another one.
    Far,
}

/// Says after which time a part is hedged.
pub trait HedgePolicy: Debug + Send {
    /// A part came after this time, or was given up after it.
    fn observe(&mut self, from: Distance, latency: Duration);

    /// The time after which a part is hedged; `None` for never.
    fn delay(&self, from: Distance) -> Option<Duration>;
}

/// The baseline: no hedges.
#[derive(Debug)]
pub struct NoHedge;

impl HedgePolicy for NoHedge {
    fn observe(&mut self, _: Distance, _: Duration) {}

    fn delay(&self, _: Distance) -> Option<Duration> {
        None
    }
}

/// The chosen policy: hedges parts slower than a quantile of the recent ones from as far.
#[derive(Debug)]
pub struct LearnedDelay {
    near: LatencyDigest,
    far: LatencyDigest,
}

impl LearnedDelay {
    /// Hedges above this quantile, between 0 and 1.
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
            Distance::Near => self.near.shown().or(self.far.shown()),
            Distance::Far => self.far.shown(),
        };
        learned.map(|d| d.max(DELAY_MIN))
    }
}
