//! Ends lookups: decides and sends the outcome and releases resources.

use std::time::Duration;
use std::time::Instant;

use gs_limit::LookupEnd;
use gs_types::prelude::*;

use crate::action::Action;
use crate::attempt::AttemptState;
use crate::engine_state::EngineState;
use crate::engine_state::Orphan;
use crate::engine_state::TimerPurpose;
use crate::lookup::ActiveLookup;
use crate::lookup::LookupPhase;
use crate::lookup::ShardState;
use crate::merge;

/// When a caller may retry if no better time is known.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long after a lookup's end the I/O driver (shell) may take to report the end of its attempts.
const ORPHAN_GRACE: Duration = Duration::from_secs(2);

impl EngineState {
    /// Ends the lookup if no further part can arrive or it has enough hits; restarts it instead if a
    /// shard's snapshot was dropped and a restart is possible.
    ///
    /// A restart replaces the shards, so no iteration over them may continue after this call.
    pub(crate) fn finish_if_done(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        out: &mut Vec<Action>,
    ) {
        if lk.is_done || lk.phase == LookupPhase::Claiming {
            return;
        }
        if std::mem::take(&mut lk.wants_restart) && self.restart(now, lk, out) {
            return;
        }
        let shards = lk.shards.len() as u32;
        if lk.complete_parts + lk.missing_parts >= shards {
            self.finish_with_parts(now, lk, false, out);
            return;
        }
        if lk.is_unanswerable() {
            self.finish_with_parts(now, lk, false, out);
            return;
        }
        let enough = lk.decl.enough_at.map_or(u64::MAX, u64::from);
        if lk.decl.promise == Promise::Urgent && lk.complete_parts > 0 && lk.hits >= enough {
            self.finish_with_parts(now, lk, true, out);
        }
    }

    /// Ends the lookup: answers with the parts that have arrived, or refuses it if its promise needs
    /// more of them.
    ///
    /// An urgent lookup needs at least one part, any other lookup all of them.
    pub(crate) fn finish_with_parts(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        ended_early: bool,
        out: &mut Vec<Action>,
    ) {
        let is_full = lk.complete_parts as usize == lk.shards.len();
        if !is_full && !ended_early {
            self.log_incomplete(now, lk);
        }
        let outcome = match lk.decl.promise {
            _ if is_full => Outcome::Answered(merge::merge_parts(lk, ended_early)),
            // A page without any part would be read as "nothing matches".
            Promise::Urgent if lk.complete_parts > 0 => {
                Outcome::Answered(merge::merge_parts(lk, ended_early))
            }
            Promise::Urgent | Promise::Complete => self.incomplete_outcome(now, lk),
            Promise::AtMostOnce => once_failed_outcome(lk),
        };
        self.finish(now, lk, outcome, out);
    }

    /// Ends the lookup with a refusal, which is `not-run` only if nothing was executed.
    pub(crate) fn refuse(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        let outcome = refusal_outcome(lk, refusal);
        self.finish(now, lk, outcome, out);
    }

    fn incomplete_outcome(&self, now: Instant, lk: &ActiveLookup) -> Outcome {
        let unsent = lk.may_have_run == 0 && now >= lk.answer_by;
        let reason = if unsent {
            RefusalReason::TooLate
        } else {
            RefusalReason::Incomplete
        };
        refusal_outcome(
            lk,
            Refusal {
                reason,
                retry_after: Some(RETRY_AFTER),
                missing: lk.missing_shards(false),
            },
        )
    }

    /// Sends the outcome and releases everything that the lookup held.
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        if !lk.is_caller_disconnected {
            self.counters.count_outcome(&outcome);
            out.push(Action::Answer(lk.seq, outcome));
        }
        self.release(now, lk, out);
    }

    /// Handles a caller's disconnection.
    ///
    /// An at-most-once lookup that was dispatched to a server continues: cancelling it would leave
    /// unknown whether it was executed, and its key is used up either way.
    pub(crate) fn on_caller_disconnect(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        out: &mut Vec<Action>,
    ) {
        if !lk.is_caller_disconnected {
            self.counters.gone += 1;
        }
        lk.is_caller_disconnected = true;
        if !(lk.is_at_most_once() && lk.may_have_run > 0) {
            self.release(now, lk, out);
        }
    }

    /// Releases everything that the lookup held, after its outcome was sent or its caller
    /// disconnected.
    pub(crate) fn release(&mut self, now: Instant, lk: &mut ActiveLookup, out: &mut Vec<Action>) {
        lk.is_done = true;
        let waited = lk.shards.iter().any(|s| s.state == ShardState::Waiting);
        for pos in 0..lk.shards.len() {
            self.dequeue(lk, pos);
            self.cancel_attempts(now, lk, pos, out);
        }
        self.orphan_attempts(now, lk);
        self.clear_lookup_timer(lk);
        self.crash_suspects.release_canary(lk.fingerprint, lk.seq);
        self.admission_policy.on_lookup_end(
            now,
            &LookupEnd {
                was_in_time: now < lk.answer_by,
                was_congested: lk.is_congested || waited,
            },
        );
    }

    /// Records the lookup's attempts whose end was not reported yet as orphans.
    pub(crate) fn orphan_attempts(&mut self, now: Instant, lk: &ActiveLookup) {
        let expires_at = now.max(lk.answer_by) + ORPHAN_GRACE;
        let was_empty = self.orphans.is_empty();
        for (pos, s) in lk.shards.iter().enumerate() {
            for (n, a) in s.attempts.iter().enumerate() {
                let ended = matches!(
                    a.state,
                    AttemptState::Whole | AttemptState::NotRun | AttemptState::Failed
                );
                if ended {
                    continue;
                }
                let orphan = Orphan {
                    server: a.server,
                    dispatched_at: a.dispatched_at,
                    fingerprint: lk.fingerprint,
                    is_sent: a.sent_at.is_some(),
                    was_alone: lk.is_alone_at(pos, n),
                    is_proven: lk.is_proven,
                    answer_by: lk.answer_by,
                    expires_at,
                };
                self.orphans.insert((lk.seq, s.id, a.number), orphan);
            }
        }
        if was_empty && !self.orphans.is_empty() {
            self.timers.insert((expires_at, TimerPurpose::Orphans));
        }
    }
}

/// Returns `not-run` if every dispatched attempt was reported as not executed, else `unknown`.
fn refusal_outcome(lk: &ActiveLookup, refusal: Refusal) -> Outcome {
    if lk.may_have_run == 0 {
        not_run_outcome(lk.idempotency_key.is_some(), lk.was_granted, refusal)
    } else {
        Outcome::Unknown(refusal)
    }
}

/// Returns `not-run`, or `unknown` if the lookup has an idempotency key whose claim was not granted
/// to it.
///
/// This prevents double execution: after `not-run` a caller retries with a new key, while an
/// earlier submission under the old key may be executed through another VM. Only the claim, which
/// no two submissions can hold, shows that there is none.
pub(crate) fn not_run_outcome(has_key: bool, was_granted: bool, refusal: Refusal) -> Outcome {
    if has_key && !was_granted {
        Outcome::Unknown(refusal)
    } else {
        Outcome::NotRun(refusal)
    }
}

/// Returns the outcome of an at-most-once lookup whose claim was granted but which has no part.
///
/// Its key is used up in any case. If nothing was executed, nothing can be under that key any more,
/// so `not-run` without a retry time means that the caller may retry with a new key only.
fn once_failed_outcome(lk: &ActiveLookup) -> Outcome {
    let miss = lk
        .shards
        .first()
        .map_or(MissReason::Late, |s| s.miss_reason);
    let reason = match miss {
        _ if lk.may_have_run > 0 => RefusalReason::Failed,
        MissReason::Shed => RefusalReason::Overload,
        MissReason::Late => RefusalReason::TooLate,
        MissReason::SnapshotGone => RefusalReason::NoSnapshot,
        _ => RefusalReason::Failed,
    };
    refusal_outcome(
        lk,
        Refusal {
            reason,
            retry_after: None,
            missing: lk.missing_shards(false),
        },
    )
}
