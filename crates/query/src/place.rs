//! Finds a server for an attempt, and hands the attempt over.

use std::time::Instant;

use gs_route::Candidate;
use gs_route::DispatchStatus;
use gs_route::Holds;
use gs_route::ServerIdx;
use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::action::Action;
use crate::action::Dispatch;
use crate::attempt::Attempt;
use crate::attempt::AttemptState;
use crate::attempt::Kind;
use crate::core::Core;
use crate::core::Timer;
use crate::lookup::LookupRun;
use crate::lookup::ShardState;

/// Where an attempt can go.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// To this server, now.
    Now(ServerIdx),
    /// To the first of these that has a connection free.
    Wait(SmallVec<[ServerIdx; 2]>),
    /// Nowhere.
    Nowhere(MissReason),
}

/// What an earlier attempt at the same shard says against a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tried {
    No,
    /// Only if no other replica is left.
    Failed,
    /// Never again in this lookup.
    Barred,
}

fn tried(attempts: &[Attempt], server: ServerIdx) -> Tried {
    let mut found = Tried::No;
    for a in attempts.iter().filter(|a| a.server == server) {
        match a.state {
            AttemptState::Handed | AttemptState::Sent | AttemptState::Stopping => {
                return Tried::Barred;
            }
            _ if a.broken => return Tried::Barred,
            AttemptState::Whole | AttemptState::NotRun | AttemptState::Failed => {
                found = Tried::Failed;
            }
        }
    }
    found
}

/// The replicas that may take an attempt, by what they can do now.
#[derive(Default)]
struct Options {
    free: SmallVec<[Candidate; 4]>,
    busy: SmallVec<[ServerIdx; 2]>,
    paused: SmallVec<[(Instant, ServerIdx); 2]>,
    resting: SmallVec<[Candidate; 4]>,
}

impl Core {
    /// Finds a place for an attempt at the shard at `at`.
    pub(crate) fn place(&mut self, now: Instant, lk: &LookupRun, at: usize) -> Place {
        let fresh = self.options_for(now, lk, at, Tried::No);
        if let Some(place) = self.decide(lk, at, fresh) {
            return place;
        }
        if !lk.shards[at].attempts.is_empty() {
            let again = self.options_for(now, lk, at, Tried::Failed);
            if let Some(place) = self.decide(lk, at, again) {
                return place;
            }
        }
        Place::Nowhere(self.why_nowhere(lk, at))
    }

    /// A server for a hedge: untried, free, and with nobody waiting for it.
    pub(crate) fn place_hedge(
        &mut self,
        now: Instant,
        lk: &LookupRun,
        at: usize,
    ) -> Option<ServerIdx> {
        let mut found = self.options_for(now, lk, at, Tried::No);
        found.free.retain(|c| self.waiting.len(c.server) == 0);
        if found.free.is_empty() {
            return None;
        }
        let turn = lk.shards[at].id.0 as usize;
        let n = self.replica.choose(turn, &found.free, &mut self.rng);
        found.free.get(n).map(|c| c.server)
    }

    fn options_for(&self, now: Instant, lk: &LookupRun, at: usize, wanted: Tried) -> Options {
        let mut found = Options::default();
        let route = self.servers.options();
        for server in lk.replicas(at) {
            let view = self.servers.view(*server);
            let fits = view.is_eligible(lk.snapshot.id)
                && tried(&lk.shards[at].attempts, *server) == wanted;
            if !fits {
                continue;
            }
            match view.dispatch_status(now, route) {
                DispatchStatus::Free => found.free.push(view.candidate(*server, now, route)),
                DispatchStatus::Busy => found.busy.push(*server),
                DispatchStatus::Paused(until) => found.paused.push((until, *server)),
                DispatchStatus::Ejected(_) if view.has_free_connection() => {
                    found.resting.push(view.candidate(*server, now, route));
                }
                DispatchStatus::Ejected(_) => found.busy.push(*server),
                DispatchStatus::Draining => {}
            }
        }
        found
    }

    fn decide(&mut self, lk: &LookupRun, at: usize, o: Options) -> Option<Place> {
        let turn = lk.shards[at].id.0 as usize;
        let mut pick = |candidates: &[Candidate]| {
            let n = self.replica.choose(turn, candidates, &mut self.rng);
            candidates.get(n).map(|c| Place::Now(c.server))
        };
        if !o.free.is_empty() {
            return pick(&o.free);
        }
        if o.busy.is_empty() && o.paused.is_empty() {
            // All that is left rests after failures; it is asked rather than nobody, so that a
            // wrong signal about every replica cannot lose the shard.
            return (!o.resting.is_empty()).then(|| pick(&o.resting)).flatten();
        }
        for (until, server) in &o.paused {
            self.timers.insert((*until, Timer::Server(*server)));
        }
        let mut wait = o.busy;
        wait.extend(o.paused.iter().map(|(_, s)| *s));
        Some(Place::Wait(wait))
    }

    fn why_nowhere(&self, lk: &LookupRun, at: usize) -> MissReason {
        let shard = &lk.shards[at];
        let id = lk.snapshot.id;
        let views = || lk.replicas(at).iter().map(|s| self.servers.view(*s));
        let any_holds = views().any(|v| v.holds(id) != Holds::No);
        if !any_holds && views().next().is_some() {
            return MissReason::SnapshotGone;
        }
        match shard.miss {
            MissReason::Failed | MissReason::Shed if !shard.attempts.is_empty() => shard.miss,
            _ => MissReason::NoReplica,
        }
    }

    /// Hands an attempt over to the shell.
    pub(crate) fn dispatch(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        at: usize,
        server: ServerIdx,
        kind: Kind,
        out: &mut Vec<Action>,
    ) {
        let shard = &mut lk.shards[at];
        // Attempts at a shard are bounded by the options, far below the number's range.
        let number = lk.first_number.saturating_add(shard.attempts.len() as u16);
        shard.state = ShardState::Running;
        shard.attempts.push(Attempt {
            number,
            server,
            state: self.chart.initial(),
            kind,
            at: now,
            sent: None,
            broken: false,
        });
        let shard = shard.id;
        lk.may_have_run += 1;
        self.count(lk, kind);
        self.servers.dispatched(now, server);
        out.push(Action::Dispatch(Dispatch {
            attempt: self.id((lk.seq, shard, number)),
            server: self.servers.view(server).decl().clone(),
            snapshot: lk.snapshot.id,
            query: lk.query.clone(),
            key: lk.key.clone(),
            page: lk.decl.page,
            budget: lk.answer_by.saturating_duration_since(now),
            once: lk.is_once(),
            idempotency_key: lk.idempotency_key.clone().filter(|_| lk.is_once()),
        }));
        self.arm_attempt(now, lk, server, kind);
    }

    fn count(&mut self, lk: &mut LookupRun, kind: Kind) {
        self.counters.attempts += 1;
        if kind != Kind::First {
            lk.extra += 1;
        }
        match kind {
            Kind::First => self.budget.earn(),
            Kind::Hedge => self.counters.hedges += 1,
            Kind::Retry => self.counters.retries += 1,
            Kind::Resend => self.counters.resends += 1,
        }
    }

    fn arm_attempt(&mut self, now: Instant, lk: &mut LookupRun, server: ServerIdx, kind: Kind) {
        if kind == Kind::Hedge {
            return;
        }
        if let Some(after) = self.look_after(lk, server) {
            self.arm(lk, now + after);
        }
    }
}
