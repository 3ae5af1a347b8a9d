//! A smoothed latency that forgets.

use std::time::Duration;
use std::time::Instant;

/// The weight of a new sample.
const GAIN: f64 = 0.15;

/// The time without samples after which the value shown is halved, so that a server that was slow
/// once is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// The time without samples before the value shown begins to fall.
const FRESH: Duration = Duration::from_secs(1);

/// An exponentially weighted mean of latencies.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    micros: f64,
    at: Option<Instant>,
}

impl Latency {
    /// Takes a sample in.
    pub fn add(&mut self, now: Instant, sample: Duration) {
        let micros = sample.as_secs_f64() * 1e6;
        match self.at {
            None => self.micros = micros,
            Some(_) => self.micros += GAIN * (micros - self.micros),
        }
        self.at = Some(now);
    }

    /// The mean, not aged; `None` before the first sample.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        self.at
            .map(|_| Duration::from_secs_f64(self.micros.max(0.0) / 1e6))
    }

    /// The mean in microseconds, falling while no sample comes; `None` before the first.
    #[must_use]
    pub fn aged_micros(&self, now: Instant) -> Option<f64> {
        let age = now.saturating_duration_since(self.at?);
        if age <= FRESH {
            return Some(self.micros);
        }
        let halvings = (age - FRESH).as_secs_f64() / HALF_LIFE.as_secs_f64();
        Some(self.micros * 0.5_f64.powf(halvings))
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
