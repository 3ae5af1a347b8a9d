//! The life of one lookup between its begin and its end.

use std::time::Duration;
use std::time::Instant;

use gs_limit::Distance;
use gs_route::Readiness;
use gs_types::prelude::*;

use crate::action::Action;
use crate::attempt::AttemptEvent;
use crate::attempt::Kind;
use crate::core::Core;
use crate::lookup::LookupRun;
use crate::lookup::Phase;
use crate::lookup::ShardState;
use crate::place::Place;

/// Restarts on another snapshot that one lookup may make.
const RESTARTS_MAX: u8 = 3;

/// Why a shard has no attempt under way any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lost {
    /// The attempt says that it did not run.
    NotRun(MissReason),
    /// It may have run.
    Failed,
}

impl Core {
    /// Begins the fan-out, or the canary before it.
    pub(crate) fn begin(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        if lk.canary_first && !lk.is_proven && lk.shards.len() > 1 {
            self.begin_canary(now, lk, out);
            return;
        }
        self.fan_out(now, lk, out);
    }

    /// Begins every shard that is held.
    pub(crate) fn fan_out(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        lk.phase = Phase::Running;
        for at in 0..lk.shards.len() {
            if lk.is_hopeless() {
                break;
            }
            if lk.shards[at].state == ShardState::Held {
                let kind = if lk.shards[at].attempts.is_empty() {
                    Kind::First
                } else {
                    Kind::Resend
                };
                self.try_shard(now, lk, at, kind, out);
            }
        }
        self.check_end(now, lk, out);
    }

    /// Makes an attempt at a shard, or queues it, or gives the shard up.
    pub(crate) fn try_shard(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        at: usize,
        kind: Kind,
        out: &mut Vec<Action>,
    ) {
        if now >= lk.answer_by {
            // The event came before the timer's; an attempt could only be late.
            self.give_up(lk, at, MissReason::Late);
            return;
        }
        let place = self.place(now, lk, at);
        if let Place::Nowhere(reason) = place {
            self.give_up(lk, at, reason);
            return;
        }
        if kind == Kind::Retry && !self.budget.take_retries(now, 1) {
            self.counters.extra_refused += 1;
            self.give_up(lk, at, MissReason::Failed);
            return;
        }
        match place {
            Place::Now(server) => self.dispatch(now, lk, at, server, kind, out),
            Place::Wait(servers) => self.queue(lk, at, servers, kind),
            Place::Nowhere(_) => {}
        }
    }

    /// Decides what follows when a shard has no attempt under way any more.
    pub(crate) fn lost(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        at: usize,
        lost: Lost,
        out: &mut Vec<Action>,
    ) {
        let shard = &mut lk.shards[at];
        shard.miss = match lost {
            Lost::NotRun(reason) => reason,
            Lost::Failed => MissReason::Failed,
        };
        if shard.state != ShardState::Running || shard.has_live() {
            return;
        }
        if lk.is_once() && lk.was_sent {
            let miss = lk.shards[at].miss;
            self.give_up(lk, at, miss);
            return;
        }
        if lk.shards[at].is_used_up(self.options.tries_max) {
            let miss = lk.shards[at].miss;
            self.give_up(lk, at, miss);
            return;
        }
        let kind = match lost {
            Lost::NotRun(_) => Kind::Resend,
            Lost::Failed => Kind::Retry,
        };
        self.try_shard(now, lk, at, kind, out);
    }

    /// Gives a shard up; if its snapshot is gone, [`Core::check_end`] may begin the lookup again.
    pub(crate) fn give_up(&mut self, lk: &mut LookupRun, at: usize, reason: MissReason) {
        let shard = &mut lk.shards[at];
        shard.state = ShardState::Missing;
        shard.miss = reason;
        lk.missing += 1;
        lk.is_congested |= reason == MissReason::Shed;
        // A repartition that also empties the old servers leaves no replica where it did not drop
        // the snapshot; another snapshot may be whole all the same.
        lk.wants_restart |= matches!(reason, MissReason::SnapshotGone | MissReason::NoReplica);
    }

    /// Looks at what an event led to: a canary to send, or the end of the lookup.
    pub(crate) fn after(&mut self, now: Instant, lk: &mut LookupRun, out: &mut Vec<Action>) {
        if lk.is_done {
            return;
        }
        match lk.phase {
            Phase::Settling(_) => self.check_settled(now, lk, out),
            // The canary told nothing; another shard takes its place.
            Phase::Canary(at) if !lk.shards[at].is_open() => self.begin_canary(now, lk, out),
            Phase::Canary(_) | Phase::Claiming | Phase::Running => {}
        }
        self.check_end(now, lk, out);
    }

    /// Begins the lookup again on another snapshot, if there is time and budget for it.
    ///
    /// Repartition drops old snapshots while lookups are pinned to them: parts of two snapshots must
    /// never mix, so nothing of the old one is kept. The parts thrown away count as retries.
    pub(crate) fn restart(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        out: &mut Vec<Action>,
    ) -> bool {
        let stuck = lk.restarts >= RESTARTS_MAX || (lk.is_once() && lk.was_sent);
        let group = &mut self.groups[lk.group];
        let pin = group
            .view
            .pin(&self.servers, lk.floor, Some(lk.snapshot.id))
            .filter(|p| p.readiness != Readiness::Incomplete);
        let Some(pin) = pin.filter(|_| !stuck) else {
            return false;
        };
        let left = lk.answer_by.saturating_duration_since(now);
        if left <= group.hedge.delay(Distance::Far).unwrap_or(Duration::ZERO) {
            return false;
        }
        if !self.budget.take_retries(now, lk.whole) {
            self.counters.extra_refused += 1;
            return false;
        }
        for at in 0..lk.shards.len() {
            self.unqueue(lk, at);
            self.stop_attempts(now, lk, at, out);
        }
        self.orphan_all(now, lk);
        lk.restarts += 1;
        lk.extra += lk.whole;
        self.counters.restarts += 1;
        lk.pin(pin.snapshot);
        self.begin(now, lk, out);
        true
    }

    /// Cancels a shard's attempts that are under way.
    pub(crate) fn stop_attempts(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        at: usize,
        out: &mut Vec<Action>,
    ) {
        let group = lk.group;
        let shard = &mut lk.shards[at];
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
            // Its latency is not known, only that it is longer; a shorter value says nothing.
            let waited = now.saturating_duration_since(a.at);
            let mean = self.servers.view(a.server).latency().mean();
            if mean.is_none_or(|mean| waited > mean) {
                self.servers.record_latency(now, a.server, waited);
                let from = if self.servers.view(a.server).is_local() {
                    Distance::Near
                } else {
                    Distance::Far
                };
                self.groups[group].hedge.observe(from, waited);
            }
        }
    }
}
