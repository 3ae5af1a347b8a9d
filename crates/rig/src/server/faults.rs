//! The faults that a server can be told to show.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::control::ReplyFault;

/// Times slower than warm, at the first moment after a restart.
const COLD_FACTOR: f64 = 4.0;

/// What one server is told to do besides serving.
#[derive(Debug)]
pub(super) struct Faults {
    pub(super) draining: Option<Instant>,
    pub(super) shed: bool,
    pub(super) claimed_load: Option<u32>,
    pub(super) straggle_share: f64,
    pub(super) straggle_factor: f64,
    pub(super) spoilage: ReplyFault,
    pub(super) spoilage_share: f64,
    pub(super) snapshots: BTreeSet<SnapshotId>,
    pub(super) cold_since: Option<Instant>,
    pub(super) rng: ChaCha8Rng,
}

impl Faults {
    pub(super) fn new(rng: ChaCha8Rng) -> Self {
        Self {
            draining: None,
            shed: false,
            claimed_load: None,
            straggle_share: 0.0,
            straggle_factor: 1.0,
            spoilage: ReplyFault::None,
            spoilage_share: 0.0,
            snapshots: BTreeSet::new(),
            cold_since: None,
            rng,
        }
    }

    /// Draws the service time of one request around this mean.
    pub(super) fn service_time(&mut self, mean: Duration, cold: Duration) -> Duration {
        let u: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let mut time = mean.as_secs_f64() * 0.5 * (1.0 - u.ln());
        if self.draw(self.straggle_share) {
            time *= self.straggle_factor;
        }
        Duration::from_secs_f64(time * self.coldness(cold))
    }

    /// Draws how one reply is spoilt.
    pub(super) fn spoil(&mut self) -> ReplyFault {
        if self.draw(self.spoilage_share) {
            self.spoilage
        } else {
            ReplyFault::None
        }
    }

    fn draw(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }

    fn coldness(&self, cold: Duration) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        if cold.is_zero() {
            return 1.0;
        }
        let left = 1.0 - since.elapsed().as_secs_f64() / cold.as_secs_f64();
        1.0 + (COLD_FACTOR - 1.0) * left.max(0.0)
    }
}
