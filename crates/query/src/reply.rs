//! Processes the reports of the I/O driver (shell) about attempts.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::attempt::AttemptEvent;
use crate::attempt::AttemptState;
use crate::attempt::Cause;
use crate::crash_suspects::CrashFinding;
use crate::engine_state::EngineState;
use crate::event::PartReply;
use crate::lifecycle::ShardFailure;
use crate::lookup::ActiveLookup;
use crate::lookup::LookupPhase;
use crate::lookup::ShardState;
use crate::server_ends::EndedAttempt;
use crate::server_reply::ReplyContext;

impl EngineState {
    /// Records that the first byte of an attempt of a lookup in flight is about to be sent.
    pub(crate) fn on_sent(&mut self, now: Instant, lk: &mut ActiveLookup, id: &AttemptId) {
        let Some((pos, n)) = find_attempt(lk, id) else {
            self.on_orphan_sent(id);
            return;
        };
        let a = &mut lk.shards[pos].attempts[n];
        if let Some(next) = self.chart.next(a.state, AttemptEvent::Send) {
            a.state = next;
        }
        a.sent_at.get_or_insert(now);
        lk.was_sent = true;
    }

    /// Processes the end of an attempt of a lookup in flight.
    pub(crate) fn on_reply(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        id: &AttemptId,
        reply: PartReply,
        out: &mut Vec<Action>,
    ) {
        let Some((pos, n)) = find_attempt(lk, id) else {
            self.on_orphan_reply(now, id, &reply, out);
            return;
        };
        let a = &mut lk.shards[pos].attempts[n];
        let event = a.reply_event(&reply);
        let Some(next) = self.chart.next(a.state, event) else {
            self.counters.stray_replies += 1;
            return;
        };
        let reply = match (reply, event) {
            // It was sent: the server rejected it for an unknown reason, and its repetition counts.
            (PartReply::NotSent, AttemptEvent::Fail) => PartReply::Failed,
            (reply, _) => reply,
        };
        // A reply from a server implies that the attempt was sent, even if the driver's report of
        // that was lost.
        lk.was_sent |= event != AttemptEvent::NotSent;
        let was_live = a.is_live();
        a.state = next;
        let (server, dispatched_at) = (a.server, a.dispatched_at);
        let was_sent = a.sent_at.is_some();
        if reply == PartReply::Late {
            self.note_unanswered(now, lk, server, dispatched_at);
        }
        let context = ReplyContext {
            server,
            is_current: self
                .servers
                .view(server)
                .is_current_incarnation(dispatched_at),
            was_live,
        };
        let ended = EndedAttempt {
            fingerprint: lk.fingerprint,
            server,
            dispatched_at,
            answer_by: lk.answer_by,
            was_alone: lk.is_alone_at(pos, n),
        };
        self.note_contact(now, &reply, server);
        self.servers.on_release(server);
        self.freed_servers.push(server);
        if next == AttemptState::NotRun {
            lk.may_have_run = lk.may_have_run.saturating_sub(1);
        }
        match reply {
            PartReply::Whole {
                snapshot,
                part,
                load,
                draining,
            } => {
                self.record_latency(now, lk, pos, n);
                self.note_server_success(now, context, load, draining, out);
                self.accept_part(now, lk, pos, n, snapshot, part, out);
            }
            PartReply::Broken => self.on_broken_connection(now, lk, (pos, n), ended, context, out),
            other => {
                if was_sent && !lk.is_proven {
                    self.note_unanswered_attempt(now, ended, &other, out);
                }
                self.on_failed_attempt(now, lk, pos, other, context, out);
            }
        }
        self.after_event(now, lk, out);
    }

    /// Records the time that a part took.
    fn record_latency(&mut self, now: Instant, lk: &ActiveLookup, pos: usize, n: usize) {
        let a = &lk.shards[pos].attempts[n];
        let on_server = now.saturating_duration_since(a.sent_at.unwrap_or(a.dispatched_at));
        self.servers.record_latency(now, a.server, on_server);
        let total = now.saturating_duration_since(a.dispatched_at);
        let distance = self.server_distance(a.server);
        self.groups[lk.group]
            .hedge_policy
            .record_latency(distance, total);
    }

    /// Accepts a part if it is from the pinned snapshot and its shard has none yet.
    #[expect(clippy::too_many_arguments, reason = "the parts of one reply")]
    fn accept_part(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        pos: usize,
        n: usize,
        snapshot: SnapshotId,
        part: Arc<Part>,
        out: &mut Vec<Action>,
    ) {
        self.note_survived(now, lk, out);
        if snapshot != lk.snapshot.id {
            self.counters.wrong_snapshot += 1;
            self.retry_or_abandon(now, lk, pos, ShardFailure::Failed, out);
            self.resume_held_shards(now, lk, out);
            return;
        }
        self.dequeue(lk, pos);
        let shard = &mut lk.shards[pos];
        match shard.state {
            ShardState::Whole => return,
            ShardState::Missing => lk.missing_parts -= 1,
            ShardState::Held | ShardState::Waiting | ShardState::Running => {}
        }
        if shard.attempts[n].cause == Cause::Hedge {
            self.counters.hedges_won += 1;
        }
        shard.state = ShardState::Whole;
        lk.complete_parts += 1;
        lk.hits += part.hits.len() as u64;
        shard.part = Some(part);
        self.cancel_attempts(now, lk, pos, out);
        self.resume_held_shards(now, lk, out);
    }

    /// Records that a server executed the lookup without crashing, which proves it harmless.
    fn note_survived(&mut self, now: Instant, lk: &mut ActiveLookup, out: &mut Vec<Action>) {
        if lk.is_proven {
            return;
        }
        lk.is_proven = true;
        if self.crash_suspects.note_survived(now, lk.fingerprint) {
            self.broadcast_suspect(lk.fingerprint, 0, Duration::ZERO, out);
        }
    }

    /// Starts the fan-out that waited for a canary, and retries the failed parts that were held.
    fn resume_held_shards(&mut self, now: Instant, lk: &mut ActiveLookup, out: &mut Vec<Action>) {
        if lk.is_done {
            return;
        }
        if matches!(lk.phase, LookupPhase::Quiescing(_) | LookupPhase::Canary(_)) {
            self.fan_out(now, lk, out);
        }
        self.retry_held_shards(now, lk, out);
    }

    /// Handles an attempt that ended without a part and without a broken connection.
    fn on_failed_attempt(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        pos: usize,
        reply: PartReply,
        context: ReplyContext,
        out: &mut Vec<Action>,
    ) {
        self.update_server_health(now, &reply, context, out);
        let failure = match reply {
            PartReply::Shed { .. } => {
                lk.is_congested = true;
                ShardFailure::NotRun(MissReason::Shed)
            }
            PartReply::Draining => ShardFailure::NotRun(MissReason::NoReplica),
            PartReply::NoSnapshot { .. } => ShardFailure::NotRun(MissReason::SnapshotGone),
            PartReply::NotSent => ShardFailure::NotRun(MissReason::Failed),
            _ => ShardFailure::Failed,
        };
        self.retry_or_abandon(now, lk, pos, failure, out);
    }

    /// Handles a connection that broke under an attempt.
    fn on_broken_connection(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        (pos, n): (usize, usize),
        ended: EndedAttempt,
        context: ReplyContext,
        out: &mut Vec<Action>,
    ) {
        lk.shards[pos].attempts[n].connection_broke = true;
        self.update_server_health(now, &PartReply::Broken, context, out);
        if lk.is_proven {
            self.retry_or_abandon(now, lk, pos, ShardFailure::Failed, out);
            return;
        }
        let is_alone = context.was_live && ended.was_alone;
        let Some(finding) = self.on_broken_attempt(now, ended, is_alone, out) else {
            self.retry_or_abandon(now, lk, pos, ShardFailure::Failed, out);
            return;
        };
        match finding {
            CrashFinding::Quarantined(quarantine) => {
                let refusal = Refusal::new(RefusalReason::Quarantined, Some(quarantine));
                self.refuse(now, lk, refusal, out);
            }
            CrashFinding::Harmless => self.hold_failed_part(now, lk, pos, out),
            CrashFinding::Suspected | CrashFinding::Known if lk.is_at_most_once() => {
                self.retry_or_abandon(now, lk, pos, ShardFailure::Failed, out)
            }
            CrashFinding::Suspected | CrashFinding::Known => {
                lk.shards[pos].miss_reason = MissReason::Failed;
                self.quiesce(now, lk, out);
            }
        }
    }
}

/// Returns the positions of an attempt's shard and of the attempt within it.
fn find_attempt(lk: &ActiveLookup, id: &AttemptId) -> Option<(usize, usize)> {
    let pos = lk.shard_position(id.shard)?;
    let n = usize::from(id.attempt.checked_sub(lk.first_attempt_number)?);
    (n < lk.shards[pos].attempts.len()).then_some((pos, n))
}
