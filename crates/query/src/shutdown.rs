//! Shutdown of the process: every lookup gets its outcome in time to be sent before the process ends.
//!
//! A lookup in flight ends at that time as at its own deadline. One that arrives later and cannot be
//! expected to end by then is refused, so that its caller can retry on another VM: no server has
//! executed it, which nobody could tell once it was sent.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::arrival::OTHER_VM_RETRY_AFTER;
use crate::engine::Engine;
use crate::engine_state::EngineState;
use crate::lookup::ActiveLookup;
use crate::lookup::ShardState;

/// Time that a lookup must have left, as a multiple of its expected time: latencies vary, and a lookup
/// that is cut off costs its caller more than a retry.
const REPEATABLE_TIME_RATIO: u32 = 2;

/// The same for an at-most-once lookup: its caller cannot retry it after it was sent.
const ONCE_TIME_RATIO: u32 = 4;

/// Time for the claim of an at-most-once lookup. A claim that is made too late uses up its key.
const CLAIM_TIME: Duration = Duration::from_millis(300);

impl Engine {
    /// Limits the time of all lookups, present and later ones.
    pub(crate) fn on_shut_down(&mut self, now: Instant, answer_within: Duration) {
        let Some(at) = now.checked_add(answer_within) else {
            return;
        };
        let at = self.state.shutdown_at.map_or(at, |earlier| earlier.min(at));
        self.state.shutdown_at = Some(at);
        for lk in self.lookups.values_mut().filter(|lk| lk.answer_by > at) {
            self.state.limit_answer_time(now, lk, at);
        }
    }
}

impl EngineState {
    /// Returns the latest time of the outcome of a lookup that arrives now.
    pub(crate) fn limit_to_shutdown(&self, answer_by: Instant) -> Instant {
        self.shutdown_at.map_or(answer_by, |at| at.min(answer_by))
    }

    /// Refuses a lookup that the shutdown cuts short and that cannot be expected to end before.
    pub(crate) fn check_ends_before_shutdown(
        &self,
        now: Instant,
        lk: &ActiveLookup,
    ) -> Result<(), Refusal> {
        if self.shutdown_at != Some(lk.answer_by) {
            return Ok(());
        }
        let expected = self.admission_request(now, lk).slowest_part_time;
        let needed = match lk.is_at_most_once() {
            true => expected * ONCE_TIME_RATIO + CLAIM_TIME,
            false => expected * REPEATABLE_TIME_RATIO,
        };
        if now + needed < lk.answer_by {
            return Ok(());
        }
        Err(Refusal::new(
            RefusalReason::Leaving,
            Some(OTHER_VM_RETRY_AFTER),
        ))
    }

    /// Limits the time of a lookup in flight, and checks its attempts again at once: the delay until a
    /// hedge depends on the time that it has.
    fn limit_answer_time(&mut self, now: Instant, lk: &mut ActiveLookup, at: Instant) {
        // The queues are ordered by this time.
        let waiting: Vec<_> = { lk.shards.iter().enumerate() }
            .filter(|(_, shard)| shard.state == ShardState::Waiting)
            .map(|(pos, shard)| (pos, shard.queue_servers.clone(), shard.queued_cause))
            .collect();
        for (pos, ..) in &waiting {
            self.dequeue(lk, *pos);
        }
        lk.answer_by = at;
        for (pos, servers, cause) in waiting {
            self.enqueue(lk, pos, servers, cause);
        }
        self.set_lookup_timer(lk, now);
    }
}
