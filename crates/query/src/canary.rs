//! Canaries: a lookup suspected of crashing servers is sent to a single server first.

use std::time::Duration;
use std::time::Instant;

use gs_route::DispatchStatus;
use gs_types::prelude::*;

use crate::action::Action;
use crate::attempt::AttemptState;
use crate::attempt::Cause;
use crate::engine_state::EngineState;
use crate::lifecycle::ShardFailure;
use crate::lookup::ActiveLookup;
use crate::lookup::LookupPhase;
use crate::lookup::ShardState;

/// The maximum time to wait for attempts in flight to end before a suspect's canary is sent.
const QUIESCE_MAX: Duration = Duration::from_millis(50);

/// The maximum time for which a failed part waits for the results of other parts, if the lookup's
/// fingerprint succeeded earlier.
const RETRY_HOLD_MAX: Duration = Duration::from_millis(10);

/// The possible damage of a canary at a shard, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CanaryRisk {
    /// Another replica would remain.
    ReplicasLeft,
    /// It could crash the shard's last replica.
    LastReplica,
    /// A server of the shard already crashed under this lookup.
    AlreadyCrashed,
}

impl EngineState {
    /// Tries the held shards in turn until an attempt at one of them is dispatched or queued: the
    /// canary. If there is none, the lookup ends or restarts.
    pub(crate) fn begin_canary(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        out: &mut Vec<Action>,
    ) {
        self.crash_suspects
            .assign_canary(now, lk.fingerprint, lk.seq);
        for pos in self.canary_order(now, lk) {
            let cause = if lk.shards[pos].attempts.is_empty() {
                Cause::First
            } else {
                Cause::Retry
            };
            lk.phase = LookupPhase::Canary(pos);
            self.try_shard(now, lk, pos, cause, out);
            if lk.shards[pos].is_open() {
                self.counters.canaries += 1;
                return;
            }
            if lk.is_unanswerable() {
                break;
            }
        }
        self.finish_if_done(now, lk, out);
    }

    /// Cancels everything a suspect has in flight and waits up to [`QUIESCE_MAX`] for it to end.
    pub(crate) fn quiesce(&mut self, now: Instant, lk: &mut ActiveLookup, out: &mut Vec<Action>) {
        self.crash_suspects
            .assign_canary(now, lk.fingerprint, lk.seq);
        lk.phase = LookupPhase::Quiescing(now + QUIESCE_MAX);
        for pos in 0..lk.shards.len() {
            self.dequeue(lk, pos);
            self.cancel_attempts(now, lk, pos, out);
            if lk.shards[pos].is_open() {
                lk.shards[pos].state = ShardState::Held;
            }
        }
        self.set_lookup_timer(lk, now + QUIESCE_MAX);
    }

    /// Sends the canary once a suspect has no attempt in flight or the wait is over.
    pub(crate) fn check_quiesced(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        out: &mut Vec<Action>,
    ) {
        let LookupPhase::Quiescing(until) = lk.phase else {
            return;
        };
        let is_quiescent = !lk
            .shards
            .iter()
            .flat_map(|s| &s.attempts)
            .any(|a| a.state == AttemptState::Stopping);
        if is_quiescent || now >= until {
            self.begin_canary(now, lk, out);
        }
    }

    /// Postpones the retry of a failed part until another part arrives or [`RETRY_HOLD_MAX`] has
    /// passed.
    ///
    /// Called for a lookup of which no part has arrived but whose fingerprint succeeded earlier. A
    /// lookup that succeeded a minute ago may crash servers now, if their index or program changed.
    /// Its other parts then break at the same moment, and an immediate retry would crash the shard's
    /// next replica.
    pub(crate) fn hold_failed_part(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        pos: usize,
        out: &mut Vec<Action>,
    ) {
        let others = lk.shards.iter().filter(|s| s.has_live_attempt()).count();
        let must_not_wait =
            lk.is_at_most_once() || others == 0 || lk.shards[pos].state != ShardState::Running;
        if must_not_wait || lk.shards[pos].has_live_attempt() {
            self.retry_or_abandon(now, lk, pos, ShardFailure::Failed, out);
            return;
        }
        lk.shards[pos].state = ShardState::Held;
        lk.shards[pos].miss_reason = MissReason::Failed;
        let until = *lk.held_until.get_or_insert(now + RETRY_HOLD_MAX);
        self.set_lookup_timer(lk, until);
    }

    /// Retries the parts that were held.
    pub(crate) fn retry_held_shards(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        out: &mut Vec<Action>,
    ) {
        if lk.held_until.take().is_none() || lk.phase != LookupPhase::Running {
            return;
        }
        for pos in 0..lk.shards.len() {
            if lk.shards[pos].state == ShardState::Held {
                self.try_shard(now, lk, pos, Cause::Retry, out);
            }
        }
    }

    /// Returns the held shards in the order in which they are tried.
    ///
    /// A canary that crashes its server must not leave a shard without a replica while other shards
    /// have replicas to spare: every lookup would miss that shard until a server is back. Among
    /// shards of equal risk the lookup's number decides, so that the canaries of all VMs do not all
    /// go to the first shards.
    fn canary_order(&self, now: Instant, lk: &ActiveLookup) -> Vec<usize> {
        let count = lk.shards.len();
        let first = lk.seq.0 as usize % count.max(1);
        let mut order: Vec<usize> = (0..count)
            .map(|n| (first + n) % count)
            .filter(|pos| lk.shards[*pos].state == ShardState::Held)
            .collect();
        order.sort_by_key(|pos| self.canary_risk(now, lk, *pos));
        order
    }

    fn canary_risk(&self, now: Instant, lk: &ActiveLookup, pos: usize) -> CanaryRisk {
        if lk.shards[pos].attempts.iter().any(|a| a.connection_broke) {
            return CanaryRisk::AlreadyCrashed;
        }
        let usable = lk
            .replicas(pos)
            .iter()
            .filter(|s| {
                let status = self.servers.dispatch_status(now, **s);
                self.servers.view(**s).is_eligible(lk.snapshot.id)
                    && matches!(status, DispatchStatus::Free | DispatchStatus::Busy)
            })
            .count();
        if usable > 1 {
            CanaryRisk::ReplicasLeft
        } else {
            CanaryRisk::LastReplica
        }
    }
}
