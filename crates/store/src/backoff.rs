//! Jittered exponential back-off.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Jittered exponential back-off between tries.
///
/// Full jitter, so that VMs which lost the platform at the same moment do not all come back at the
/// same moment.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    max: Duration,
    tries: u32,
    rng: ChaCha8Rng,
}

impl Backoff {
    /// Starts; the first wait is up to `base`, and each later one up to twice the one before.
    #[must_use]
    pub fn new(base: Duration, max: Duration, seed: u64) -> Self {
        Self {
            base,
            max,
            tries: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The wait before the next try; never zero.
    pub fn next_delay(&mut self) -> Duration {
        let ceiling = self
            .base
            .saturating_mul(1 << self.tries.min(16))
            .min(self.max);
        self.tries += 1;
        let half = ceiling / 2;
        half + half.mul_f64(self.rng.random::<f64>())
    }

    /// Starts from the base again, after a success.
    pub fn reset(&mut self) {
        self.tries = 0;
    }
}
