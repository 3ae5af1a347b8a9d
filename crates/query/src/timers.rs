//! What falls due: deadlines, hedges, timeouts, canaries.

use std::time::Duration;
use std::time::Instant;

use gs_limit::Distance;
use gs_route::ServerIdx;
use gs_types::prelude::*;

use crate::action::Action;
use crate::attempt::Kind;
use crate::core::Core;
use crate::core::Timer;
use crate::finish::RETRY_AFTER;
use crate::life::Lost;
use crate::lookup::LookupRun;
use crate::lookup::Phase;
use crate::lookup::ShardState;
use crate::options::PolicyName;

/// The least time between two looks at a lookup whose hedge could not be made.
const LOOK_AGAIN: Duration = Duration::from_millis(2);

/// The part of a lookup's time, as a divisor, after which a silent attempt counts as lost; most of the time is
/// then left for another.
const LOST_AFTER_PART: u32 = 4;

impl Core {
    /// The time after an attempt's begin at which it is looked at; `None` for never.
    pub(crate) fn look_after(&self, lk: &LookupRun, server: ServerIdx) -> Option<Duration> {
        if lk.is_once() {
            return None;
        }
        match self.options.policy {
            PolicyName::Baseline => Some(self.options.attempt_timeout),
            PolicyName::Chosen => {
                let learned = self.groups[lk.group].hedge.delay(self.distance(server));
                let lost = lost_after(lk);
                Some(learned.map_or(lost, |delay| delay.min(lost)))
            }
        }
    }

    /// How far a server is.
    pub(crate) fn distance(&self, server: ServerIdx) -> Distance {
        if self.servers.view(server).is_local() {
            Distance::Near
        } else {
            Distance::Far
        }
    }

    /// A lookup's timer is due.
    pub(crate) fn due(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        lk.timer = None;
        if now >= lk.answer_by {
            self.time_up(now, lk, out);
            return;
        }
        if lk.held_until.is_some_and(|until| until <= now) {
            self.retry_held(now, lk, out);
        }
        if lk.phase == Phase::Running {
            self.look_at_attempts(now, lk, out);
        }
        self.after(now, lk, out);
        if lk.is_done {
            return;
        }
        let next = match lk.phase {
            Phase::Settling(until) => until,
            _ => lk.held_until.unwrap_or(lk.answer_by),
        };
        self.arm(lk, next);
    }

    /// The deadline is here: answer with what there is.
    fn time_up(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        if lk.phase == Phase::Claiming {
            // The claim may have been made, or an earlier submission under the key may have run.
            let refusal = Refusal::new(RefusalReason::ClaimsAway, Some(RETRY_AFTER));
            self.finish(now, lk, Outcome::Unknown(refusal), out);
            return;
        }
        self.note_silence(now, lk);
        self.conclude(now, lk, false, out);
    }

    /// Notes the servers that left this lookup's attempts unanswered.
    fn note_silence(&mut self, now: Instant, lk: &LookupRun) {
        let attempts = lk.shards.iter().flat_map(|s| &s.attempts);
        for a in attempts.filter(|a| a.is_live()) {
            self.note_unanswered(now, lk, a.server, a.at);
        }
    }

    /// Notes that a server left an attempt unanswered, if it had enough of the lookup's time.
    pub(crate) fn note_unanswered(
        &mut self,
        now: Instant,
        lk: &LookupRun,
        server: ServerIdx,
        begun: Instant,
    ) {
        if now.saturating_duration_since(begun) >= lost_after(lk) {
            self.servers.note_unanswered(now, server, begun);
        }
    }

    /// Hedges, or times out, the attempts that took too long; plans the next look.
    fn look_at_attempts(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        let mut next = lk.answer_by;
        for at in 0..lk.shards.len() {
            if lk.is_done || lk.phase != Phase::Running {
                return;
            }
            let Some((begun, server)) = slow_candidate(lk, at) else {
                continue;
            };
            let Some(after) = self.look_after(lk, server) else {
                continue;
            };
            let lost_at = begun + lost_after(lk);
            if begun + after > now {
                next = next.min(begun + after);
            } else if !self.overtake(now, lk, at, lost_at <= now, out) {
                let again = now + after.max(LOOK_AGAIN);
                let is_ahead = lost_at > now;
                next = next.min(if is_ahead { again.min(lost_at) } else { again });
            }
        }
        self.arm(lk, next);
    }

    /// Makes a second attempt beside a slow one, or in its place; `false` if it could not be made.
    ///
    /// One beside an attempt that counts as lost may use what the budget keeps for retries: a server that went
    /// silent would else cost its shard while a replica is idle.
    fn overtake(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        at: usize,
        is_lost: bool,
        out: &mut Vec<Action>,
    ) -> bool {
        if self.options.policy == PolicyName::Baseline {
            self.stop_attempts(now, lk, at, out);
            self.lost(now, lk, at, Lost::Failed, out);
            return true;
        }
        if self.admission.is_overloaded(now) {
            return false;
        }
        let Some(server) = self.place_hedge(now, lk, at) else {
            return false;
        };
        let is_taken = match is_lost {
            true => self.budget.take_retries(now, 1),
            false => self.budget.take_hedge(now),
        };
        if !is_taken {
            self.counters.extra_refused += 1;
            return false;
        }
        self.dispatch(now, lk, at, server, Kind::Hedge, out);
        true
    }

    /// Lets go of orphans that the shell never ended, so that they cannot hold connections for ever.
    pub(crate) fn drop_orphans(&mut self, now: Instant) {
        let expired: Vec<_> = self
            .orphans
            .iter()
            .filter(|(_, o)| o.expires <= now)
            .map(|(key, o)| (*key, o.server))
            .collect();
        for (key, server) in expired {
            log::warn!(
                "event=attempt-forgotten attempt={} server={}",
                self.id(key),
                self.servers.view(server).decl().name
            );
            self.orphans.remove(&key);
            self.servers.released(server);
            self.freed.push(server);
        }
        if let Some(next) = self.orphans.values().map(|o| o.expires).min() {
            self.timers.insert((next, Timer::Orphans));
        }
    }
}

/// The time after which a silent attempt of this lookup counts as lost.
fn lost_after(lk: &LookupRun) -> Duration {
    lk.answer_by.saturating_duration_since(lk.arrived) / LOST_AFTER_PART
}

/// When and where the shard's one attempt under way began; `None` if there is not exactly one, or if it was
/// hedged before.
fn slow_candidate(lk: &LookupRun, at: usize) -> Option<(Instant, ServerIdx)> {
    let shard = &lk.shards[at];
    if shard.state != ShardState::Running || shard.attempts.iter().any(|a| a.kind == Kind::Hedge) {
        return None;
    }
    let mut live = shard.attempts.iter().filter(|a| a.is_live());
    let first = live.next()?;
    live.next().is_none().then_some((first.at, first.server))
}
