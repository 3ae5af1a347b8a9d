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
    SameDataCentre,
    /// Another data centre.
    OtherDataCentre,
}

/// Decides after which time a part is hedged.
pub trait HedgePolicy: Debug + Send {
    /// Records that a part arrived after this time, or that its attempt was cancelled unanswered
    /// after it, so that its latency is longer but unknown.
    fn record_latency(&mut self, from: Distance, latency: Duration);

    /// Returns the time after which a part is hedged; `None` for never.
    fn delay(&self, from: Distance) -> Option<Duration>;
}

/// The baseline policy: no hedges.
#[derive(Debug)]
pub struct NoHedge;

impl HedgePolicy for NoHedge {
    fn record_latency(&mut self, _: Distance, _: Duration) {}

    fn delay(&self, _: Distance) -> Option<Duration> {
        None
    }
}

/// The default policy: hedges parts that are slower than a quantile of recent parts from the same
/// [`Distance`].
#[derive(Debug)]
pub struct QuantileHedge {
    same_data_centre: LatencyDigest,
    other_data_centre: LatencyDigest,
}

impl QuantileHedge {
    /// Creates the policy that hedges above this quantile, between 0 and 1.
    #[must_use]
    pub fn new(quantile: f64) -> Self {
        Self {
            same_data_centre: LatencyDigest::new(quantile),
            other_data_centre: LatencyDigest::new(quantile),
        }
    }
}

impl HedgePolicy for QuantileHedge {
    fn record_latency(&mut self, from: Distance, latency: Duration) {
        match from {
            Distance::SameDataCentre => self.same_data_centre.add(latency),
            Distance::OtherDataCentre => self.other_data_centre.add(latency),
        }
    }

    fn delay(&self, from: Distance) -> Option<Duration> {
        let learned = match from {
            Distance::SameDataCentre => self
                .same_data_centre
                .estimate()
                .or(self.other_data_centre.estimate()),
            Distance::OtherDataCentre => self.other_data_centre.estimate(),
        };
        learned.map(|d| d.max(HEDGE_DELAY_MIN))
    }
}
