//! Handles expired timers: deadlines, hedges, timeouts and canaries.

use std::time::Duration;
use std::time::Instant;

use gs_limit::Distance;
use gs_route::ServerIdx;
use gs_types::prelude::*;

use crate::action::Action;
use crate::attempt::Cause;
use crate::engine_state::EngineState;
use crate::engine_state::TimerPurpose;
use crate::finish::RETRY_AFTER;
use crate::lifecycle::ShardFailure;
use crate::lookup::ActiveLookup;
use crate::lookup::LookupPhase;
use crate::lookup::ShardState;
use crate::options::PolicyName;

/// The minimum time between two checks of a lookup whose hedge could not be made.
const RECHECK_INTERVAL: Duration = Duration::from_millis(2);

/// The divisor of a lookup's time budget that gives the time after which an attempt without a reply
/// counts as lost; most of the time budget is then left for another attempt.
const LOSS_TIMEOUT_DIVISOR: u32 = 4;

impl EngineState {
    /// Returns the time after an attempt's dispatch at which it is hedged, or timed out under the
    /// baseline policy; `None` for never.
    pub(crate) fn check_delay(&self, lk: &ActiveLookup, server: ServerIdx) -> Option<Duration> {
        if lk.is_at_most_once() {
            return None;
        }
        match self.options.policy {
            PolicyName::Baseline => Some(self.options.attempt_timeout),
            PolicyName::Chosen => {
                let learned = self.groups[lk.group]
                    .hedge_policy
                    .delay(self.server_distance(server));
                let loss = loss_timeout(lk);
                Some(learned.map_or(loss, |delay| delay.min(loss)))
            }
        }
    }

    /// Returns whether a server is in this or another data centre.
    pub(crate) fn server_distance(&self, server: ServerIdx) -> Distance {
        if self.servers.view(server).is_local() {
            Distance::SameDataCentre
        } else {
            Distance::OtherDataCentre
        }
    }

    /// Handles the expiry of a lookup's timer.
    pub(crate) fn on_timer(&mut self, now: Instant, lk: &mut ActiveLookup, out: &mut Vec<Action>) {
        lk.timer_at = None;
        if now >= lk.answer_by {
            self.on_deadline(now, lk, out);
            return;
        }
        if lk.held_until.is_some_and(|until| until <= now) {
            self.retry_held_shards(now, lk, out);
        }
        if lk.phase == LookupPhase::Running {
            self.check_attempts(now, lk, out);
        }
        self.after_event(now, lk, out);
        if lk.is_done {
            return;
        }
        let next = match lk.phase {
            LookupPhase::Quiescing(until) => until,
            _ => lk.held_until.unwrap_or(lk.answer_by),
        };
        self.set_lookup_timer(lk, next);
    }

    /// Ends a lookup at its deadline: answers it with the parts that have arrived, or refuses it if its
    /// promise needs more.
    fn on_deadline(&mut self, now: Instant, lk: &mut ActiveLookup, out: &mut Vec<Action>) {
        if lk.phase == LookupPhase::Claiming {
            // The claim may have been made, or an earlier submission under the key may have been
            // executed.
            let refusal = Refusal::new(RefusalReason::ClaimsAway, Some(RETRY_AFTER));
            self.finish(now, lk, Outcome::Unknown(refusal), out);
            return;
        }
        self.note_unanswered_attempts(now, lk);
        self.finish_with_parts(now, lk, false, out);
    }

    /// Records the servers that did not reply to this lookup's attempts.
    fn note_unanswered_attempts(&mut self, now: Instant, lk: &ActiveLookup) {
        let attempts = lk.shards.iter().flat_map(|s| &s.attempts);
        for a in attempts.filter(|a| a.is_live()) {
            self.note_unanswered(now, lk, a.server, a.dispatched_at);
        }
    }

    /// Records that a server did not reply to an attempt, if the attempt had at least the time after
    /// which it counts as lost. The server is then lost too, unless it replied to another attempt
    /// since.
    pub(crate) fn note_unanswered(
        &mut self,
        now: Instant,
        lk: &ActiveLookup,
        server: ServerIdx,
        dispatched_at: Instant,
    ) {
        if now.saturating_duration_since(dispatched_at) >= loss_timeout(lk) {
            self.servers.note_unanswered(now, server, dispatched_at);
        }
    }

    /// Hedges slow attempts, or times them out under the baseline policy, and sets the time of the
    /// next check.
    fn check_attempts(&mut self, now: Instant, lk: &mut ActiveLookup, out: &mut Vec<Action>) {
        let mut next = lk.answer_by;
        for pos in 0..lk.shards.len() {
            if lk.is_done || lk.phase != LookupPhase::Running {
                return;
            }
            let Some((dispatched_at, server)) = slow_candidate(lk, pos) else {
                continue;
            };
            let Some(delay) = self.check_delay(lk, server) else {
                continue;
            };
            let loss_at = dispatched_at + loss_timeout(lk);
            if dispatched_at + delay > now {
                next = next.min(dispatched_at + delay);
            } else if !self.hedge_or_time_out(now, lk, pos, loss_at <= now, out) {
                let recheck_at = now + delay.max(RECHECK_INTERVAL);
                let is_loss_ahead = loss_at > now;
                next = next.min(if is_loss_ahead {
                    recheck_at.min(loss_at)
                } else {
                    recheck_at
                });
            }
        }
        self.set_lookup_timer(lk, next);
    }

    /// Makes an attempt in parallel with a slow one; returns `false` if that is not possible now.
    /// Under the baseline policy, times the slow one out and retries it instead.
    ///
    /// `is_lost` says that the slow attempt counts as lost. Its hedge may use the tokens reserved for
    /// retries: otherwise an unresponsive server would cost its shard while another replica is idle.
    fn hedge_or_time_out(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        pos: usize,
        is_lost: bool,
        out: &mut Vec<Action>,
    ) -> bool {
        if self.options.policy == PolicyName::Baseline {
            self.cancel_attempts(now, lk, pos, out);
            self.retry_or_abandon(now, lk, pos, ShardFailure::Failed, out);
            return true;
        }
        if self.admission_policy.is_overloaded(now) {
            return false;
        }
        let Some(server) = self.choose_hedge_server(now, lk, pos) else {
            return false;
        };
        let is_within_budget = match is_lost {
            true => self.extra_budget.take_retries(now, 1),
            false => self.extra_budget.take_hedge(now),
        };
        if !is_within_budget {
            self.counters.extra_refused += 1;
            return false;
        }
        self.dispatch(now, lk, pos, server, Cause::Hedge, out);
        true
    }

    /// Releases orphans whose end was never reported, so that they do not occupy connections
    /// forever.
    pub(crate) fn release_expired_orphans(&mut self, now: Instant) {
        let expired: Vec<_> = self
            .orphans
            .iter()
            .filter(|(_, o)| o.expires_at <= now)
            .map(|(key, o)| (*key, o.server))
            .collect();
        for (key, server) in expired {
            log::warn!(
                "event=attempt-forgotten attempt={} server={}",
                self.attempt_id(key),
                self.servers.view(server).decl().name
            );
            self.orphans.remove(&key);
            self.servers.on_release(server);
            self.freed_servers.push(server);
        }
        if let Some(next) = self.orphans.values().map(|o| o.expires_at).min() {
            self.timers.insert((next, TimerPurpose::Orphans));
        }
    }
}

/// Returns the time after which an attempt of this lookup without a reply counts as lost.
fn loss_timeout(lk: &ActiveLookup) -> Duration {
    lk.answer_by.saturating_duration_since(lk.arrived_at) / LOSS_TIMEOUT_DIVISOR
}

/// Returns the dispatch time and server of the shard's only live attempt; `None` if there is not
/// exactly one, or if the shard was hedged before.
fn slow_candidate(lk: &ActiveLookup, pos: usize) -> Option<(Instant, ServerIdx)> {
    let shard = &lk.shards[pos];
    if shard.state != ShardState::Running || shard.attempts.iter().any(|a| a.cause == Cause::Hedge)
    {
        return None;
    }
    let mut live = shard.attempts.iter().filter(|a| a.is_live());
    let first = live.next()?;
    live.next()
        .is_none()
        .then_some((first.dispatched_at, first.server))
}
