//! A smoothed latency that decays while no sample arrives.

use std::time::Duration;
use std::time::Instant;

/// The weight of a new sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.15;

/// The half-life of the aged mean while no sample arrives, so that a server that was slow once is
/// tried again.
const AGING_HALF_LIFE: Duration = Duration::from_secs(2);

/// The time without samples before the aged mean starts to decay.
const AGING_DELAY: Duration = Duration::from_secs(1);

/// An exponentially weighted mean of latencies.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedLatency {
    micros: f64,
    at: Option<Instant>,
}

impl SmoothedLatency {
    /// Records a sample.
    pub fn add(&mut self, now: Instant, sample: Duration) {
        let micros = sample.as_secs_f64() * 1e6;
        match self.at {
            None => self.micros = micros,
            Some(_) => self.micros += SAMPLE_WEIGHT * (micros - self.micros),
        }
        self.at = Some(now);
    }

    /// Returns the mean without aging; `None` before the first sample.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        self.at
            .map(|_| Duration::from_secs_f64(self.micros.max(0.0) / 1e6))
    }

    /// Returns the mean in microseconds, which decays while no sample arrives; `None` before the first.
    #[must_use]
    pub fn aged_micros(&self, now: Instant) -> Option<f64> {
        let age = now.saturating_duration_since(self.at?);
        if age <= AGING_DELAY {
            return Some(self.micros);
        }
        let halvings = (age - AGING_DELAY).as_secs_f64() / AGING_HALF_LIFE.as_secs_f64();
        Some(self.micros * 0.5_f64.powf(halvings))
    }

    /// Removes all samples.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
