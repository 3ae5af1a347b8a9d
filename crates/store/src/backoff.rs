//! Exponential backoff with jitter.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Exponential backoff with jitter between tries.
///
/// Each delay is random between half its upper bound and the bound, so that VMs which lost the platform at the same
/// moment do not all retry at the same moment.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    max: Duration,
    tries: u32,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff whose first delay is at most `base`. The bound doubles with each try, up to `max`; equal seeds
    /// give equal delays.
    #[must_use]
    pub fn new(base: Duration, max: Duration, seed: u64) -> Self {
        Self {
            base,
            max,
            tries: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the delay before the next try, which is at least half the bound and so never zero.
    pub fn next_delay(&mut self) -> Duration {
        let bound = self
            .base
            .saturating_mul(1 << self.tries.min(16))
            .min(self.max);
        self.tries += 1;
        let half = bound / 2;
        half + half.mul_f64(self.rng.random::<f64>())
    }

    /// Starts again from the base; to be called after a success.
    pub fn reset(&mut self) {
        self.tries = 0;
    }
}
