//! Runs a lookup between its admission and its end: fan-out, retries and restarts.

use std::time::Duration;
use std::time::Instant;

use gs_limit::Distance;
use gs_route::Readiness;
use gs_types::prelude::*;

use crate::action::Action;
use crate::attempt::AttemptEvent;
use crate::attempt::Cause;
use crate::engine_state::EngineState;
use crate::lookup::ActiveLookup;
use crate::lookup::LookupPhase;
use crate::lookup::ShardState;
use crate::placement::Placement;

/// The maximum number of restarts of one lookup on another snapshot.
const RESTARTS_MAX: u8 = 3;

/// The reason why a shard's attempt ended without a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShardFailure {
    /// The attempt was not executed.
    NotRun(MissReason),
    /// The attempt may have been executed.
    Failed,
}

impl EngineState {
    /// Starts the fan-out, or the canary before it.
    pub(crate) fn start_lookup(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        out: &mut Vec<Action>,
    ) {
        if lk.needs_canary && !lk.is_proven && lk.shards.len() > 1 {
            self.begin_canary(now, lk, out);
            return;
        }
        self.fan_out(now, lk, out);
    }

    /// Starts or resumes every shard that is held; stops as soon as the missing shards rule out an
    /// answer.
    pub(crate) fn fan_out(&mut self, now: Instant, lk: &mut ActiveLookup, out: &mut Vec<Action>) {
        lk.phase = LookupPhase::Running;
        for pos in 0..lk.shards.len() {
            if lk.is_unanswerable() {
                break;
            }
            if lk.shards[pos].state == ShardState::Held {
                let cause = if lk.shards[pos].attempts.is_empty() {
                    Cause::First
                } else {
                    Cause::Resend
                };
                self.try_shard(now, lk, pos, cause, out);
            }
        }
        self.finish_if_done(now, lk, out);
    }

    /// Dispatches an attempt at a shard, queues it or abandons the shard.
    pub(crate) fn try_shard(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        pos: usize,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        if now >= lk.answer_by {
            // The event was processed before the deadline's timer; an attempt could only be late.
            self.abandon_shard(lk, pos, MissReason::Late);
            return;
        }
        let placement = self.choose_server(now, lk, pos);
        if let Placement::Unavailable(reason) = placement {
            self.abandon_shard(lk, pos, reason);
            return;
        }
        if cause == Cause::Retry && !self.extra_budget.take_retries(now, 1) {
            self.counters.extra_refused += 1;
            self.abandon_shard(lk, pos, MissReason::Failed);
            return;
        }
        match placement {
            Placement::Now(server) => self.dispatch(now, lk, pos, server, cause, out),
            Placement::Wait(servers) => self.enqueue(lk, pos, servers, cause),
            Placement::Unavailable(_) => {}
        }
    }

    /// Retries or abandons a shard after an attempt at it failed.
    ///
    /// Only records the reason while another attempt is live, or if the shard is not
    /// [`ShardState::Running`].
    pub(crate) fn retry_or_abandon(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        pos: usize,
        failure: ShardFailure,
        out: &mut Vec<Action>,
    ) {
        let shard = &mut lk.shards[pos];
        shard.miss_reason = match failure {
            ShardFailure::NotRun(reason) => reason,
            ShardFailure::Failed => MissReason::Failed,
        };
        if shard.state != ShardState::Running || shard.has_live_attempt() {
            return;
        }
        if lk.is_at_most_once() && lk.was_sent {
            let miss = lk.shards[pos].miss_reason;
            self.abandon_shard(lk, pos, miss);
            return;
        }
        if lk.shards[pos].has_no_tries_left(self.options.tries_max) {
            let miss = lk.shards[pos].miss_reason;
            self.abandon_shard(lk, pos, miss);
            return;
        }
        let cause = match failure {
            ShardFailure::NotRun(_) => Cause::Resend,
            ShardFailure::Failed => Cause::Retry,
        };
        self.try_shard(now, lk, pos, cause, out);
    }

    /// Abandons a shard; if its snapshot was dropped, [`EngineState::finish_if_done`] may restart the
    /// lookup.
    pub(crate) fn abandon_shard(&mut self, lk: &mut ActiveLookup, pos: usize, reason: MissReason) {
        let shard = &mut lk.shards[pos];
        shard.state = ShardState::Missing;
        shard.miss_reason = reason;
        lk.missing_parts += 1;
        lk.is_congested |= reason == MissReason::Shed;
        // A repartition that also drains the old servers leaves no replica where it did not drop
        // the snapshot; another snapshot may still be complete.
        lk.wants_restart |= matches!(reason, MissReason::SnapshotGone | MissReason::NoReplica);
    }

    /// Sends the next canary or ends the lookup, if the last event requires it.
    pub(crate) fn after_event(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        out: &mut Vec<Action>,
    ) {
        if lk.is_done {
            return;
        }
        match lk.phase {
            LookupPhase::Quiescing(_) => self.check_quiesced(now, lk, out),
            // The canary was inconclusive; another shard takes its place.
            LookupPhase::Canary(pos) if !lk.shards[pos].is_open() => {
                self.begin_canary(now, lk, out)
            }
            LookupPhase::Canary(_) | LookupPhase::Claiming | LookupPhase::Running => {}
        }
        self.finish_if_done(now, lk, out);
    }

    /// Restarts the lookup on another snapshot, if enough time is left until its deadline and the
    /// budget for extra attempts has the tokens; returns whether it did.
    ///
    /// A repartition drops old snapshots while lookups are pinned to them. Parts of two snapshots
    /// must never mix, so all parts are discarded; they count as retries, at one token each.
    pub(crate) fn restart(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        out: &mut Vec<Action>,
    ) -> bool {
        let may_not_restart = lk.restarts >= RESTARTS_MAX || (lk.is_at_most_once() && lk.was_sent);
        let group = &mut self.groups[lk.group];
        let pin = group
            .view
            .pin(&self.servers, lk.snapshot_min, Some(lk.snapshot.id))
            .filter(|p| p.readiness != Readiness::Incomplete);
        let Some(pin) = pin.filter(|_| !may_not_restart) else {
            return false;
        };
        let left = lk.answer_by.saturating_duration_since(now);
        if left
            <= group
                .hedge_policy
                .delay(Distance::OtherDataCentre)
                .unwrap_or(Duration::ZERO)
        {
            return false;
        }
        if !self.extra_budget.take_retries(now, lk.complete_parts) {
            self.counters.extra_refused += 1;
            return false;
        }
        for pos in 0..lk.shards.len() {
            self.dequeue(lk, pos);
            self.cancel_attempts(now, lk, pos, out);
        }
        self.orphan_attempts(now, lk);
        lk.restarts += 1;
        lk.extra_attempts += lk.complete_parts;
        self.counters.restarts += 1;
        lk.pin_snapshot(pin.snapshot);
        self.start_lookup(now, lk, out);
        true
    }

    /// Cancels a shard's live attempts.
    pub(crate) fn cancel_attempts(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        pos: usize,
        out: &mut Vec<Action>,
    ) {
        let group = lk.group;
        let shard = &mut lk.shards[pos];
        for a in shard.attempts.iter_mut().filter(|a| a.is_live()) {
            let Some(next) = self.chart.next(a.state, AttemptEvent::Cancel) else {
                continue;
            };
            a.state = next;
            out.push(Action::Cancel(AttemptId {
                vm: self.vm.clone(),
                incarnation: self.incarnation,
                lookup: lk.seq,
                shard: shard.id,
                attempt: a.number,
            }));
            // Its latency is unknown but longer than this time; recording a time below the mean
            // would be wrong.
            let waited = now.saturating_duration_since(a.dispatched_at);
            let mean = self.servers.view(a.server).latency().mean();
            if mean.is_none_or(|mean| waited > mean) {
                self.servers.record_latency(now, a.server, waited);
                let distance = if self.servers.view(a.server).is_local() {
                    Distance::SameDataCentre
                } else {
                    Distance::OtherDataCentre
                };
                self.groups[group]
                    .hedge_policy
                    .record_latency(distance, waited);
            }
        }
    }
}
