//! The injected faults of a server.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::control::ReplyFault;

/// The service time right after a restart, as a multiple of that of a warm server.
const COLD_START_FACTOR: f64 = 4.0;

/// The injected faults of one server, and the snapshots that it holds.
#[derive(Debug)]
pub(super) struct Faults {
    pub(super) draining: Option<Instant>,
    pub(super) shed: bool,
    pub(super) claimed_load: Option<u32>,
    pub(super) straggle_share: f64,
    pub(super) straggle_factor: f64,
    pub(super) reply_fault: ReplyFault,
    pub(super) reply_fault_share: f64,
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
            reply_fault: ReplyFault::None,
            reply_fault_share: 0.0,
            snapshots: BTreeSet::new(),
            cold_since: None,
            rng,
        }
    }

    /// Draws the service time of one request from a distribution with this mean.
    pub(super) fn service_time(&mut self, mean: Duration, cold: Duration) -> Duration {
        let u: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let mut time = mean.as_secs_f64() * 0.5 * (1.0 - u.ln());
        if self.draw_bool(self.straggle_share) {
            time *= self.straggle_factor;
        }
        Duration::from_secs_f64(time * self.cold_factor(cold))
    }

    /// Draws the fault of one reply.
    pub(super) fn draw_reply_fault(&mut self) -> ReplyFault {
        if self.draw_bool(self.reply_fault_share) {
            self.reply_fault
        } else {
            ReplyFault::None
        }
    }

    fn draw_bool(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }

    fn cold_factor(&self, cold: Duration) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        if cold.is_zero() {
            return 1.0;
        }
        let left = 1.0 - since.elapsed().as_secs_f64() / cold.as_secs_f64();
        1.0 + (COLD_START_FACTOR - 1.0) * left.max(0.0)
    }
}
