//! Late copies of answers during a soak: the servers of a service refuse each request at first, and send copies.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::backend::BackendFaults;
use super::setup::Site;

/// The probability that a service begins to send late copies after a fault.
const PROBABILITY: f64 = 0.2;

/// How long it sends them, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 500..2500;

/// Separates the draws from those of the other faults of the same seed.
const STREAM: u64 = 1;

/// A service that sends late copies.
pub(super) struct LateCopiesBegun {
    service: String,
    pub(super) until: Instant,
}

impl fmt::Display for LateCopiesBegun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "server-late-copies service={}", self.service)
    }
}

/// Draws the services that send late copies.
pub(super) struct LateCopiesFault {
    rng: ChaCha8Rng,
}

impl LateCopiesFault {
    /// Creates the fault; it draws from a generator of its own.
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(STREAM);
        Self { rng }
    }

    /// Makes the servers of a service send late copies now and then.
    pub(super) fn inject(&mut self, site: &Site) -> Option<LateCopiesBegun> {
        if !self.rng.random_bool(PROBABILITY) {
            return None;
        }
        let service = site.backends.choose(&mut self.rng)?.service().to_owned();
        for server in site.backends.iter().filter(|b| b.service() == service) {
            server.set_late_copies(true);
            server.set_faults(BackendFaults {
                sheds_first: true,
                ..BackendFaults::default()
            });
        }
        let length = Duration::from_millis(self.rng.random_range(LENGTH_MS));
        Some(LateCopiesBegun {
            service,
            until: Instant::now() + length,
        })
    }

    /// Ends the fault at all services.
    pub(super) fn end(site: &Site) {
        for server in &site.backends {
            server.set_late_copies(false);
            server.set_faults(BackendFaults::default());
        }
    }
}
