//! Learns the times of a route's attempts: the delay after which a slow one is hedged on another
//! server, and the mean execution time, from which `placement` estimates response times.
//!
//! With 20 shards on one server each, two of three fan-outs encounter a stall of 200 ms somewhere,
//! which is longer than the objective. The delay is learned for each route and distance, so that
//! about one attempt in ten is hedged, which is half of what the budget allows.

use std::time::Duration;

use gs_limit::Distance;
use gs_limit::HedgePolicy;
use gs_limit::QuantileHedge;

/// Weight of a new sample in a route's mean execution time; the first samples have equal weights.
const EXECUTION_SAMPLE_WEIGHT: f64 = 0.02;

/// Upper bound of a sample, as a multiple of the mean, so that a stall does not count as execution
/// time.
const EXECUTION_SAMPLE_MAX_RATIO: f64 = 4.0;

/// Number of samples after which the mean replaces the initial estimate: those of one page or a
/// few.
const LEARNED_SAMPLES_MIN: u32 = 20;

/// Fraction of the objective that an attempt is expected to take before there are samples.
const INITIAL_EXECUTION_FRACTION: f64 = 0.1;

/// Fraction of the objective before which no attempt is hedged, even if most are faster: the rest
/// of the objective is enough for a second attempt, and of the attempts still in flight by then
/// fewer would be answered without a hedge than after a shorter delay.
const HEDGE_DELAY_MIN_FRACTION: f64 = 0.3;

/// Hedge delays and mean execution time of a route's attempts.
#[derive(Debug)]
pub(crate) struct RouteTimes {
    hedge_delays: QuantileHedge,
    execution_secs: f64,
    samples: u32,
    hedge_delay_min: Duration,
}

impl RouteTimes {
    pub(crate) fn new(objective: Duration, quantile: f64) -> Self {
        Self {
            hedge_delays: QuantileHedge::new(quantile),
            execution_secs: objective.as_secs_f64() * INITIAL_EXECUTION_FRACTION,
            samples: 0,
            hedge_delay_min: objective.mul_f64(HEDGE_DELAY_MIN_FRACTION),
        }
    }

    /// Records an attempt that took `took`, of which `round_trip` was network latency, with
    /// `rounds_ahead` rounds of work queued ahead of it, and returns the ratio of its execution
    /// time to the mean.
    ///
    /// The time in the server's queue is not counted. Otherwise a queue would count as slow
    /// execution, and the expected time of the next attempt would include the same queue twice.
    pub(crate) fn observe(
        &mut self,
        is_same_data_centre: bool,
        took: Duration,
        round_trip: Duration,
        rounds_ahead: f64,
    ) -> f64 {
        self.hedge_delays
            .record_latency(distance(is_same_data_centre), took);
        let execution_time =
            took.saturating_sub(round_trip).as_secs_f64().max(1e-4) / (1.0 + rounds_ahead);
        let ratio = execution_time / self.execution_secs;
        let sample = execution_time.min(self.execution_secs * EXECUTION_SAMPLE_MAX_RATIO);
        self.samples = self.samples.saturating_add(1);
        let weight = EXECUTION_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.execution_secs += (sample - self.execution_secs) * weight;
        ratio
    }

    /// Returns whether there are enough samples for the mean to replace the initial estimate.
    pub(crate) fn is_learned(&self) -> bool {
        self.samples >= LEARNED_SAMPLES_MIN
    }

    /// Returns the mean time of an attempt without network latency and queue.
    pub(crate) fn execution_time(&self) -> Duration {
        Duration::from_secs_f64(self.execution_secs)
    }

    /// Returns the time after which an attempt is hedged.
    pub(crate) fn hedge_delay(&self, is_same_data_centre: bool) -> Duration {
        let learned = self.hedge_delays.delay(distance(is_same_data_centre));
        learned.map_or(self.hedge_delay_min, |d| d.max(self.hedge_delay_min))
    }
}

fn distance(is_near: bool) -> Distance {
    if is_near {
        Distance::SameDataCentre
    } else {
        Distance::OtherDataCentre
    }
}
