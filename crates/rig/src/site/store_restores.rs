//! Restores of the store from older copies during a soak.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::objects::LostWrite;
use super::setup::Site;
use super::store::StoreCopy;

/// The probability that a copy of the store is made after a fault, from which the store is restored.
const COPY_PROBABILITY: f64 = 0.1;

/// The age of a copy when the store is restored from it, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 200..2500;

/// The time after a restore within which operators and servers write again what the store has lost, in milliseconds.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 0..1900;

/// A copy of the store that was made, for the report.
pub(super) struct CopyMade {
    age: Duration,
    /// When the store is to be restored from it.
    pub(super) restore_at: Instant,
}

impl fmt::Display for CopyMade {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "store-restore {:?}", self.age)
    }
}

/// Copies of the store, and what its restores have lost.
pub(super) struct StoreRestores {
    rng: ChaCha8Rng,
    /// The copies from which the store is to be restored, the oldest first.
    copies: VecDeque<StoreCopy>,
    /// What the store has lost and operators and servers have not written again.
    lost_writes: Vec<LostWrite>,
}

impl StoreRestores {
    /// Creates the state; it draws from a generator of its own.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(!seed),
            copies: VecDeque::new(),
            lost_writes: Vec::new(),
        }
    }

    /// Makes a copy of the store now and then.
    pub(super) fn copy(&mut self, site: &Site) -> Option<CopyMade> {
        if !self.rng.random_bool(COPY_PROBABILITY) {
            return None;
        }
        let age = Duration::from_millis(self.rng.random_range(COPY_AGE_MS));
        self.copies.push_back(site.store.copy());
        Some(CopyMade {
            age,
            restore_at: Instant::now() + age,
        })
    }

    /// Restores the store from the oldest copy; returns when operators and servers write again.
    pub(super) fn restore(&mut self, site: &Site) -> Instant {
        let lost = self.copies.pop_front().map(|c| site.store.restore(c));
        self.lost_writes.extend(lost.into_iter().flatten());
        Instant::now() + Duration::from_millis(self.rng.random_range(REWRITE_DELAY_MS))
    }

    /// Writes again what the store has lost.
    pub(super) fn rewrite(&mut self, site: &Site) {
        site.rewrite(std::mem::take(&mut self.lost_writes));
    }
}
