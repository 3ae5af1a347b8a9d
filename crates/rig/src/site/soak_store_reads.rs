//! Old reads and lost connections of the store during a soak.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::setup::Site;

/// The probability that the age of reads changes after a fault.
const AGE_PROBABILITY: f64 = 0.2;

/// The age of reads that may be old, in milliseconds.
const AGE_MS: std::ops::Range<u64> = 0..3000;

/// The probability that the open connections of a VM to the store go silent for good after a fault.
const ABANDON_PROBABILITY: f64 = 0.1;

/// Separates the draws from those of the other faults of the same seed.
const STREAM: u64 = 2;

/// A fault of the store that was injected, for the report.
pub(super) enum StoreReadFault {
    /// Reads that may be old have this age from now on.
    OldReads(Duration),
    /// The open connections of this VM to the store went silent for good.
    Abandoned(usize),
}

impl fmt::Display for StoreReadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OldReads(age) => write!(f, "store-old-reads {age:?}"),
            Self::Abandoned(vm) => write!(f, "store-connections-abandoned vm={vm}"),
        }
    }
}

/// Draws the ages of reads and the VMs whose connections are lost.
pub(super) struct StoreReads {
    rng: ChaCha8Rng,
}

impl StoreReads {
    /// Creates the state; it draws from a generator of its own.
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(STREAM);
        Self { rng }
    }

    /// Changes the age of reads, or loses the connections of a VM, now and then.
    pub(super) fn inject(&mut self, site: &Site) -> Option<StoreReadFault> {
        if self.rng.random_bool(AGE_PROBABILITY) {
            let age = Duration::from_millis(self.rng.random_range(AGE_MS));
            site.store.set_read_age(age);
            return Some(StoreReadFault::OldReads(age));
        }
        if !self.rng.random_bool(ABANDON_PROBABILITY) {
            return None;
        }
        let vm = self.rng.random_range(0..site.store_links.len());
        site.store_links[vm].abandon_connections();
        Some(StoreReadFault::Abandoned(vm))
    }
}
