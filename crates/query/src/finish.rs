//! The end of a lookup: its one outcome.

use std::time::Duration;
use std::time::Instant;

use gs_limit::LookupEnd;
use gs_types::prelude::*;

use crate::action::Action;
use crate::attempt::AttemptState;
use crate::core::Core;
use crate::core::Orphan;
use crate::core::Timer;
use crate::lookup::LookupRun;
use crate::lookup::Phase;
use crate::lookup::ShardState;
use crate::merge;

/// When a refusal without a better time is worth asking again.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long after a lookup's end the shell may take to tell the end of its attempts.
const ORPHAN_GRACE: Duration = Duration::from_secs(2);

impl Core {
    /// Ends the lookup if nothing more can come, or if there are hits enough; begins it again first
    /// if a shard's snapshot is gone.
    ///
    /// Nothing that walks over the shards may come after this, as a restart replaces them.
    pub(crate) fn check_end(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        if lk.is_done || lk.phase == Phase::Claiming {
            return;
        }
        if std::mem::take(&mut lk.wants_restart) && self.restart(now, lk, out) {
            return;
        }
        let shards = lk.shards.len() as u32;
        if lk.whole + lk.missing >= shards {
            self.conclude(now, lk, false, out);
            return;
        }
        if lk.is_hopeless() {
            self.conclude(now, lk, false, out);
            return;
        }
        let enough = lk.decl.enough_at.map_or(u64::MAX, u64::from);
        if lk.decl.promise == Promise::Urgent && lk.whole > 0 && lk.hits >= enough {
            self.conclude(now, lk, true, out);
        }
    }

    /// Ends the lookup with what is there.
    pub(crate) fn conclude(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        ended_early: bool,
        out: &mut Vec<Action>,
    ) {
        let is_full = lk.whole as usize == lk.shards.len();
        if !is_full && !ended_early {
            self.log_shortfall(now, lk);
        }
        let outcome = match lk.decl.promise {
            _ if is_full => Outcome::Answered(merge::answer(lk, ended_early)),
            // A page without a single shard behind it would read as "nothing matches".
            Promise::Urgent if lk.whole > 0 => Outcome::Answered(merge::answer(lk, ended_early)),
            Promise::Urgent | Promise::Complete => self.incomplete(now, lk),
            Promise::AtMostOnce => once_failed(lk),
        };
        self.finish(now, lk, outcome, out);
    }

    /// Ends the lookup with a refusal, which says `not-run` only if that is true.
    pub(crate) fn refuse(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        refusal: Refusal,
        out: &mut Vec<Action>,
    ) {
        let outcome = by_truth(lk, refusal);
        self.finish(now, lk, outcome, out);
    }

    fn incomplete(&self, now: Instant, lk: &LookupRun) -> Outcome {
        let unsent = lk.may_have_run == 0 && now >= lk.answer_by;
        let reason = if unsent {
            RefusalReason::TooLate
        } else {
            RefusalReason::Incomplete
        };
        by_truth(
            lk,
            Refusal {
                reason,
                retry_after: Some(RETRY_AFTER),
                missing: lk.missing_shards(false),
            },
        )
    }

    /// Gives the last word, and lets go of everything that the lookup held.
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        if !lk.is_gone {
            self.counters.ended(&outcome);
            out.push(Action::Answer(lk.seq, outcome));
        }
        self.let_go(now, lk, out);
    }

    /// The caller hung up.
    ///
    /// An at-most-once lookup that is with a server goes on: stopped, it would be open whether it
    /// ran, and its key is used up either way.
    pub(crate) fn gone(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        if !lk.is_gone {
            self.counters.gone += 1;
        }
        lk.is_gone = true;
        if !(lk.is_once() && lk.may_have_run > 0) {
            self.let_go(now, lk, out);
        }
    }

    /// Lets go of everything that the lookup held; its last word was given or has no reader.
    pub(crate) fn let_go(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        lk.is_done = true;
        let waited = lk.shards.iter().any(|s| s.state == ShardState::Waiting);
        for at in 0..lk.shards.len() {
            self.unqueue(lk, at);
            self.stop_attempts(now, lk, at, out);
        }
        self.orphan_all(now, lk);
        self.disarm(lk);
        self.suspects.ended(lk.fingerprint, lk.seq);
        self.admission.on_lookup_end(
            now,
            &LookupEnd {
                in_time: now < lk.answer_by,
                congested: lk.is_congested || waited,
            },
        );
    }

    /// Keeps count of attempts that the shell has yet to end.
    pub(crate) fn orphan_all(&mut self, now: Instant, lk: &LookupRun) {
        let expires = now.max(lk.answer_by) + ORPHAN_GRACE;
        let was_empty = self.orphans.is_empty();
        for s in &lk.shards {
            for a in &s.attempts {
                let ended = matches!(
                    a.state,
                    AttemptState::Whole | AttemptState::NotRun | AttemptState::Failed
                );
                if ended {
                    continue;
                }
                let orphan = Orphan {
                    server: a.server,
                    at: a.at,
                    fingerprint: lk.fingerprint,
                    is_sent: a.sent.is_some(),
                    is_proven: lk.is_proven,
                    answer_by: lk.answer_by,
                    expires,
                };
                self.orphans.insert((lk.seq, s.id, a.number), orphan);
            }
        }
        if was_empty && !self.orphans.is_empty() {
            self.timers.insert((expires, Timer::Orphans));
        }
    }
}

/// `not-run` if nothing was handed over that did not come back as not run, else `unknown`.
fn by_truth(lk: &LookupRun, refusal: Refusal) -> Outcome {
    if lk.may_have_run == 0 {
        by_key(lk.idempotency_key.is_some(), lk.was_granted, refusal)
    } else {
        Outcome::Unknown(refusal)
    }
}

/// `not-run`, unless the lookup has an idempotency key whose claim was not granted to it.
///
/// Guards against a doubled renewal: a caller whose resend is refused with `not-run` mints a new key,
/// while an earlier submission under the old key runs at another VM. Only the claim, which no two
/// submissions can hold, tells that there is none.
pub(crate) fn by_key(has_key: bool, was_granted: bool, refusal: Refusal) -> Outcome {
    if has_key && !was_granted {
        Outcome::Unknown(refusal)
    } else {
        Outcome::NotRun(refusal)
    }
}

/// The refusal of an at-most-once lookup whose claim was granted.
///
/// Its key is used up whatever happened. If nothing ran, nothing can run under that key any more,
/// so `not-run` without a time to come back says: ask again with a new key, and only then.
fn once_failed(lk: &LookupRun) -> Outcome {
    let miss = lk.shards.first().map_or(MissReason::Late, |s| s.miss);
    let reason = match miss {
        _ if lk.may_have_run > 0 => RefusalReason::Failed,
        MissReason::Shed => RefusalReason::Overload,
        MissReason::Late => RefusalReason::TooLate,
        MissReason::SnapshotGone => RefusalReason::NoSnapshot,
        _ => RefusalReason::Failed,
    };
    by_truth(
        lk,
        Refusal {
            reason,
            retry_after: None,
            missing: lk.missing_shards(false),
        },
    )
}
