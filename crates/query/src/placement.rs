//! Chooses a server for an attempt and dispatches the attempt.

use std::time::Instant;

use gs_route::Candidate;
use gs_route::DispatchStatus;
use gs_route::ServerIdx;
use gs_route::SnapshotHolding;
use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::action::Action;
use crate::action::Dispatch;
use crate::attempt::Attempt;
use crate::attempt::AttemptState;
use crate::attempt::Cause;
use crate::engine_state::EngineState;
use crate::engine_state::TimerPurpose;
use crate::lookup::ActiveLookup;
use crate::lookup::ShardState;

/// The servers chosen for an attempt.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// Dispatch it to this server now.
    Now(ServerIdx),
    /// Queue it for the first of these servers with a free connection.
    Wait(SmallVec<[ServerIdx; 2]>),
    /// No server can take it.
    Unavailable(MissReason),
}

/// Whether earlier attempts at the same shard of a lookup rule out a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PriorAttempt {
    Untried,
    /// Eligible only if no other replica is left.
    Failed,
    /// Not eligible: an attempt at it has not ended, or broke its connection.
    Excluded,
}

fn prior_attempt(attempts: &[Attempt], server: ServerIdx) -> PriorAttempt {
    let mut found = PriorAttempt::Untried;
    for a in attempts.iter().filter(|a| a.server == server) {
        match a.state {
            AttemptState::Handed | AttemptState::Sent | AttemptState::Stopping => {
                return PriorAttempt::Excluded;
            }
            _ if a.connection_broke => return PriorAttempt::Excluded,
            AttemptState::Whole | AttemptState::NotRun | AttemptState::Failed => {
                found = PriorAttempt::Failed;
            }
        }
    }
    found
}

/// The replicas that may take an attempt, by their dispatch status.
#[derive(Default)]
struct UsableReplicas {
    free: SmallVec<[Candidate; 4]>,
    busy: SmallVec<[ServerIdx; 2]>,
    paused: SmallVec<[(Instant, ServerIdx); 2]>,
    ejected: SmallVec<[Candidate; 4]>,
}

impl EngineState {
    /// Chooses a server for an attempt at the shard at `pos`.
    ///
    /// Replicas that were not tried yet come before those at which an attempt failed. Among either, a
    /// free replica is chosen; without one, the attempt waits for the busy and paused ones; an
    /// ejected replica is chosen only if there are no others.
    pub(crate) fn choose_server(
        &mut self,
        now: Instant,
        lk: &ActiveLookup,
        pos: usize,
    ) -> Placement {
        let untried = self.usable_replicas(now, lk, pos, PriorAttempt::Untried);
        if let Some(placement) = self.choose_among(lk, pos, untried) {
            return placement;
        }
        if !lk.shards[pos].attempts.is_empty() {
            let retried = self.usable_replicas(now, lk, pos, PriorAttempt::Failed);
            if let Some(placement) = self.choose_among(lk, pos, retried) {
                return placement;
            }
        }
        Placement::Unavailable(self.miss_reason(lk, pos))
    }

    /// Returns a server for a hedge: one not tried yet, with a free connection and an empty queue.
    pub(crate) fn choose_hedge_server(
        &mut self,
        now: Instant,
        lk: &ActiveLookup,
        pos: usize,
    ) -> Option<ServerIdx> {
        let mut found = self.usable_replicas(now, lk, pos, PriorAttempt::Untried);
        found
            .free
            .retain(|c| self.wait_queues.waiting_count(c.server) == 0);
        if found.free.is_empty() {
            return None;
        }
        let shard_number = lk.shards[pos].id.0 as usize;
        let n = self
            .replica_policy
            .choose(shard_number, &found.free, &mut self.rng);
        found.free.get(n).map(|c| c.server)
    }

    fn usable_replicas(
        &self,
        now: Instant,
        lk: &ActiveLookup,
        pos: usize,
        wanted: PriorAttempt,
    ) -> UsableReplicas {
        let mut found = UsableReplicas::default();
        let route = self.servers.options();
        for server in lk.replicas(pos) {
            let view = self.servers.view(*server);
            let is_usable = view.is_eligible(lk.snapshot.id)
                && prior_attempt(&lk.shards[pos].attempts, *server) == wanted;
            if !is_usable {
                continue;
            }
            match view.dispatch_status(now, route) {
                DispatchStatus::Free => found.free.push(view.candidate(*server, now, route)),
                DispatchStatus::Busy => found.busy.push(*server),
                DispatchStatus::Paused(until) => found.paused.push((until, *server)),
                DispatchStatus::Ejected(_) if view.has_free_connection() => {
                    found.ejected.push(view.candidate(*server, now, route));
                }
                DispatchStatus::Ejected(_) => found.busy.push(*server),
                DispatchStatus::Draining => {}
            }
        }
        found
    }

    fn choose_among(
        &mut self,
        lk: &ActiveLookup,
        pos: usize,
        found: UsableReplicas,
    ) -> Option<Placement> {
        let shard_number = lk.shards[pos].id.0 as usize;
        let mut pick = |candidates: &[Candidate]| {
            let n = self
                .replica_policy
                .choose(shard_number, candidates, &mut self.rng);
            candidates.get(n).map(|c| Placement::Now(c.server))
        };
        if !found.free.is_empty() {
            return pick(&found.free);
        }
        if found.busy.is_empty() && found.paused.is_empty() {
            // Only ejected replicas are left. One of them is queried all the same, so that a wrong
            // signal about every replica does not lose the shard.
            return (!found.ejected.is_empty())
                .then(|| pick(&found.ejected))
                .flatten();
        }
        for (until, server) in &found.paused {
            self.timers.insert((*until, TimerPurpose::Server(*server)));
        }
        let mut wait = found.busy;
        wait.extend(found.paused.iter().map(|(_, s)| *s));
        Some(Placement::Wait(wait))
    }

    fn miss_reason(&self, lk: &ActiveLookup, pos: usize) -> MissReason {
        let shard = &lk.shards[pos];
        let id = lk.snapshot.id;
        let views = || lk.replicas(pos).iter().map(|s| self.servers.view(*s));
        let any_holds = views().any(|v| v.snapshot_holding(id) != SnapshotHolding::No);
        if !any_holds && views().next().is_some() {
            return MissReason::SnapshotGone;
        }
        match shard.miss_reason {
            MissReason::Failed | MissReason::Shed if !shard.attempts.is_empty() => {
                shard.miss_reason
            }
            _ => MissReason::NoReplica,
        }
    }

    /// Dispatches an attempt.
    pub(crate) fn dispatch(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        pos: usize,
        server: ServerIdx,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        let shard = &mut lk.shards[pos];
        // The options limit the attempts at a shard far below the number's range.
        let number = lk
            .first_attempt_number
            .saturating_add(shard.attempts.len() as u16);
        shard.state = ShardState::Running;
        shard.attempts.push(Attempt {
            number,
            server,
            state: self.chart.initial(),
            cause,
            dispatched_at: now,
            sent_at: None,
            connection_broke: false,
        });
        let shard = shard.id;
        lk.may_have_run += 1;
        self.count_attempt(lk, cause);
        self.servers.on_dispatch(now, server);
        out.push(Action::Dispatch(Dispatch {
            attempt: self.attempt_id((lk.seq, shard, number)),
            server: self.servers.view(server).decl().clone(),
            snapshot: lk.snapshot.id,
            query: lk.query.clone(),
            key: lk.key.clone(),
            page: lk.decl.page,
            budget: lk.answer_by.saturating_duration_since(now),
            once: lk.is_at_most_once(),
            idempotency_key: lk.idempotency_key.clone().filter(|_| lk.is_at_most_once()),
        }));
        self.set_attempt_check_timer(now, lk, server, cause);
    }

    fn count_attempt(&mut self, lk: &mut ActiveLookup, cause: Cause) {
        self.counters.attempts += 1;
        if cause != Cause::First {
            lk.extra_attempts += 1;
        }
        match cause {
            Cause::First => self.extra_budget.on_initial_attempt(),
            Cause::Hedge => self.counters.hedges += 1,
            Cause::Retry => self.counters.retries += 1,
            Cause::Resend => self.counters.resends += 1,
        }
    }

    fn set_attempt_check_timer(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        server: ServerIdx,
        cause: Cause,
    ) {
        if cause == Cause::Hedge {
            return;
        }
        if let Some(delay) = self.check_delay(lk, server) {
            self.set_lookup_timer(lk, now + delay);
        }
    }
}
