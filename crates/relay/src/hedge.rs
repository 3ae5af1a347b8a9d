//! When a slow attempt is made a second time elsewhere.
//!
//! The load it answers: with 20 shards on one server each, two fan-outs in three meet a pause of
//! 200 ms somewhere, which is longer than the objective. The delay is learned by route and distance,
//! so that about one attempt in ten is made twice, half of what the budget allows.

use std::time::Duration;

use gs_limit::Distance;
use gs_limit::HedgePolicy;
use gs_limit::LearnedDelay;

/// How much of a new sample goes into a route's mean time of work.
const WORK_WEIGHT: f64 = 0.02;

/// The most that one sample may count against the mean, so that a pause does not pass for work.
const WORK_SAMPLE_MAX: f64 = 4.0;

/// Samples after which the mean is more than a guess: those of one page or a few.
const LEARNED: u32 = 20;

/// The part of the objective that an attempt is first expected to take, before any was seen.
const FIRST_WORK: f64 = 0.1;

/// The part of the objective that an attempt may take before it is hedged, if most are faster: what is
/// left is enough for a second one, and fewer of those that are slow by then would still come by
/// themselves.
const LATEST_PART: f64 = 0.3;

/// What is learned of one route's attempts.
#[derive(Debug)]
pub(crate) struct RouteTimes {
    delays: LearnedDelay,
    work_secs: f64,
    samples: u32,
    latest: Duration,
}

impl RouteTimes {
    pub(crate) fn new(objective: Duration, quantile: f64) -> Self {
        Self {
            delays: LearnedDelay::new(quantile),
            work_secs: objective.as_secs_f64() * FIRST_WORK,
            samples: 0,
            latest: objective.mul_f64(LATEST_PART),
        }
    }

    /// An attempt took this long, of which `way` was the way, with `rounds` of work before it; gives how many
    /// times longer than the mean that is.
    ///
    /// What others' work took is not counted: else a queue would pass for slow work, and what is expected of
    /// the next attempt would count the same queue twice.
    pub(crate) fn observe(
        &mut self,
        is_near: bool,
        took: Duration,
        way: Duration,
        rounds: f64,
    ) -> f64 {
        self.delays.observe(distance(is_near), took);
        let work = took.saturating_sub(way).as_secs_f64().max(1e-4) / (1.0 + rounds);
        let ratio = work / self.work_secs;
        let sample = work.min(self.work_secs * WORK_SAMPLE_MAX);
        self.samples = self.samples.saturating_add(1);
        let weight = WORK_WEIGHT.max(1.0 / f64::from(self.samples));
        self.work_secs += (sample - self.work_secs) * weight;
        ratio
    }

    /// Whether enough was seen for the mean to be more than a guess.
    pub(crate) fn is_learned(&self) -> bool {
        self.samples >= LEARNED
    }

    /// The mean time of an attempt beyond the way to its server.
    pub(crate) fn work(&self) -> Duration {
        Duration::from_secs_f64(self.work_secs)
    }

    /// The time after which an attempt is hedged.
    pub(crate) fn delay(&self, is_near: bool) -> Duration {
        let learned = self.delays.delay(distance(is_near));
        learned.map_or(self.latest, |d| d.max(self.latest))
    }
}

fn distance(is_near: bool) -> Distance {
    if is_near {
        Distance::Near
    } else {
        Distance::Far
    }
}
