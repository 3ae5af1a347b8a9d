//! When a part that is slow to come is asked for again elsewhere.

use std::fmt::Debug;
use std::time::Duration;

use crate::digest::LatencyDigest;

/// The least delay before a hedge; below it, noise of this process would cause hedges.
const DELAY_MIN: Duration = Duration::from_millis(1);

/// Says after which time a part is hedged.
pub trait HedgePolicy: Debug + Send {
    /// A part came after this time, or was given up after it.
    fn observe(&mut self, latency: Duration);

    /// The time after which a part is hedged; `None` for never.
    fn delay(&self) -> Option<Duration>;
}

/// The baseline: no hedges.
#[derive(Debug)]
pub struct NoHedge;

impl HedgePolicy for NoHedge {
    fn observe(&mut self, _: Duration) {}

    fn delay(&self) -> Option<Duration> {
        None
    }
}

/// The chosen policy: hedges parts slower than a quantile of the recent ones.
#[derive(Debug)]
pub struct LearnedDelay {
    digest: LatencyDigest,
}

impl LearnedDelay {
    /// Hedges above this quantile, between 0 and 1.
    #[must_use]
    pub fn new(quantile: f64) -> Self {
        Self {
            digest: LatencyDigest::new(quantile),
        }
    }
}

impl HedgePolicy for LearnedDelay {
    fn observe(&mut self, latency: Duration) {
        self.digest.add(latency);
    }

    fn delay(&self) -> Option<Duration> {
        self.digest.shown().map(|d| d.max(DELAY_MIN))
    }
}
