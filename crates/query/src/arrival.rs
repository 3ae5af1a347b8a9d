//! Admits or rejects arriving lookups and starts those admitted.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_limit::AdmissionDecision;
use gs_limit::AdmissionRequest;
use gs_route::PinnableSnapshot;
use gs_route::Readiness;
use gs_route::ServerIdx;
use gs_types::prelude::*;
use rand::RngExt;

use crate::action::Action;
use crate::crash_suspects::SuspectStatus;
use crate::engine_state::EngineState;
use crate::event::Arrival;
use crate::finish::RETRY_AFTER;
use crate::finish::not_run_outcome;
use crate::lookup::ActiveLookup;
use crate::lookup::LookupPhase;

/// The divisor of a lookup's time budget that gives the margin for merging and sending the answer.
const ANSWER_MARGIN_DIVISOR: u32 = 20;

/// The shortest margin.
const ANSWER_MARGIN_MIN: Duration = Duration::from_millis(1);
/// The longest margin.
const ANSWER_MARGIN_MAX: Duration = Duration::from_millis(5);

/// When a caller may retry if this VM is leaving or not ready; another VM can accept it at once.
pub(crate) const OTHER_VM_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The refusal of a lookup that is not started.
type ArrivalRefusal = Refusal;

impl EngineState {
    /// Admits a lookup or refuses it at once; returns `None` if it has already ended.
    pub(crate) fn on_arrival(
        &mut self,
        now: Instant,
        arrival: Arrival,
        out: &mut Vec<Action>,
    ) -> Option<Box<ActiveLookup>> {
        self.counters.arrived += 1;
        let seq = arrival.seq;
        let has_key = arrival.req.idempotency_key.is_some();
        let mut lk = match self.admit(now, arrival) {
            Ok(lk) => Box::new(lk),
            Err(refusal) => {
                let outcome = not_run_outcome(has_key, false, refusal);
                self.counters.count_outcome(&outcome);
                out.push(Action::Answer(seq, outcome));
                return None;
            }
        };
        let answer_by = lk.answer_by;
        self.set_lookup_timer(&mut lk, answer_by);
        if lk.is_at_most_once() {
            // Has an effect only on a suspect: no other lookup with its fingerprint is admitted
            // while this one waits for its claim.
            self.crash_suspects.assign_canary(now, lk.fingerprint, seq);
            self.request_claim(now, &lk, out);
        } else {
            self.start_lookup(now, &mut lk, out);
        }
        (!lk.is_done).then_some(lk)
    }

    fn admit(&mut self, now: Instant, arrival: Arrival) -> Result<ActiveLookup, ArrivalRefusal> {
        let Arrival { seq, req } = arrival;
        let decl = self.find_decl(&req)?;
        check_request(&decl, &req)?;
        let fingerprint = req.fingerprint();
        let needs_canary = self.check_suspicion(now, fingerprint)?;
        let group = self.find_group(&decl)?;
        let view = &mut self.groups[group].view;
        let pin = view
            .pin(&self.servers, req.floor, None)
            .ok_or_else(|| Refusal::new(RefusalReason::NoSnapshot, Some(RETRY_AFTER)))?;
        let budget = req.deadline.map_or(decl.deadline, |d| d.min(decl.deadline));
        let margin = (budget / ANSWER_MARGIN_DIVISOR).clamp(ANSWER_MARGIN_MIN, ANSWER_MARGIN_MAX);
        let answer_by = self.limit_to_shutdown(now + budget.saturating_sub(margin));
        let phase = match decl.promise {
            Promise::AtMostOnce => LookupPhase::Claiming,
            Promise::Urgent | Promise::Complete => LookupPhase::Running,
        };
        let mut lk = ActiveLookup {
            seq,
            decl,
            group,
            query: req.query,
            key: req.key,
            idempotency_key: req.idempotency_key,
            fingerprint,
            snapshot_min: req.floor,
            arrived_at: now,
            answer_by,
            phase,
            snapshot: Arc::clone(&pin.snapshot),
            shards: Vec::new(),
            held_until: None,
            needs_canary,
            first_attempt_number: 0,
            complete_parts: 0,
            missing_parts: 0,
            hits: 0,
            may_have_run: 0,
            was_sent: false,
            was_granted: false,
            is_proven: false,
            is_congested: false,
            extra_attempts: 0,
            restarts: 0,
            timer_at: None,
            wants_restart: false,
            is_caller_disconnected: false,
            is_done: false,
        };
        lk.pin_snapshot(Arc::clone(&pin.snapshot));
        self.check_ends_before_shutdown(now, &lk)?;
        self.check_shards_reachable(now, &lk, &pin)?;
        self.check_admission(now, &lk)?;
        Ok(lk)
    }

    fn find_decl(&self, req: &LookupRequest) -> Result<Arc<Lookup>, ArrivalRefusal> {
        if self.is_leaving {
            return Err(Refusal::new(
                RefusalReason::Leaving,
                Some(OTHER_VM_RETRY_AFTER),
            ));
        }
        if self.config_version.is_none() {
            return Err(Refusal::new(
                RefusalReason::NotReady,
                Some(OTHER_VM_RETRY_AFTER),
            ));
        }
        self.decls
            .get(&(req.front.clone(), req.lookup.clone()))
            .cloned()
            .ok_or_else(|| Refusal::new(RefusalReason::NoSuchLookup, None))
    }

    /// Refuses a quarantined lookup; returns whether a suspect must send a canary first.
    fn check_suspicion(&self, now: Instant, fp: Fingerprint) -> Result<bool, ArrivalRefusal> {
        match self.crash_suspects.suspect_status(now, fp) {
            SuspectStatus::Clear => Ok(false),
            SuspectStatus::Canary => Ok(true),
            SuspectStatus::Refused(retry) => {
                Err(Refusal::new(RefusalReason::Quarantined, Some(retry)))
            }
        }
    }

    fn find_group(&self, decl: &Lookup) -> Result<usize, ArrivalRefusal> {
        self.group_names
            .get(&decl.group)
            .copied()
            .ok_or_else(|| Refusal::new(RefusalReason::NoSnapshot, Some(RETRY_AFTER)))
    }

    /// Refuses a lookup that needs every shard while one has no replica or none that responds.
    ///
    /// A shard without a replica counts only if the readiness of the pinned snapshot is
    /// [`Readiness::Incomplete`]: no other snapshot has replicas for all shards then.
    fn check_shards_reachable(
        &self,
        now: Instant,
        lk: &ActiveLookup,
        pin: &PinnableSnapshot,
    ) -> Result<(), ArrivalRefusal> {
        let needs_all = lk.decl.promise != Promise::Urgent || lk.decl.scope == Scope::Keyed;
        if !needs_all {
            return Ok(());
        }
        let is_incomplete = pin.readiness == Readiness::Incomplete;
        let shards = lk.shards.iter().enumerate();
        let missing = shards.filter_map(|(pos, shard)| {
            let reason = self.unavailable_reason(now, lk, pos)?;
            let counts = is_incomplete || reason != MissReason::NoReplica;
            counts.then_some(MissingShard {
                shard: shard.id,
                reason,
            })
        });
        let missing: Vec<MissingShard> = missing.collect();
        if missing.is_empty() {
            return Ok(());
        }
        Err(Refusal {
            missing,
            ..Refusal::new(RefusalReason::Incomplete, Some(RETRY_AFTER))
        })
    }

    /// Returns why a shard cannot answer now, or `None` if it may.
    fn unavailable_reason(
        &self,
        now: Instant,
        lk: &ActiveLookup,
        pos: usize,
    ) -> Option<MissReason> {
        let is_eligible = |s: &&ServerIdx| self.servers.view(**s).is_eligible(lk.snapshot.id);
        let mut eligible = lk.replicas(pos).iter().filter(is_eligible).peekable();
        if eligible.peek().is_none() {
            return Some(MissReason::NoReplica);
        }
        let are_unresponsive = eligible.all(|s| self.servers.is_lost(now, *s));
        are_unresponsive.then_some(MissReason::Late)
    }

    fn check_admission(&mut self, now: Instant, lk: &ActiveLookup) -> Result<(), ArrivalRefusal> {
        if lk.answer_by <= now {
            return Err(Refusal::new(RefusalReason::TooLate, Some(RETRY_AFTER)));
        }
        let request = self.admission_request(now, lk);
        // The policies have this limit too; it applies here whatever a policy decides.
        let full = request.in_flight >= self.options.lookups_max as usize;
        let retry = match self.admission_policy.admit(now, &request) {
            AdmissionDecision::Admit if !full => return Ok(()),
            AdmissionDecision::Admit => RETRY_AFTER,
            AdmissionDecision::Refuse(retry) => retry,
        };
        // Jitter, so that callers refused at the same time do not retry at the same time.
        let jitter = self.rng.random_range(1.0..1.5);
        Err(Refusal::new(
            RefusalReason::Overload,
            Some(retry.mul_f64(jitter)),
        ))
    }

    /// Estimates the lookup's latency, including the parts queued before it, for the admission
    /// policy.
    pub(crate) fn admission_request(&self, now: Instant, lk: &ActiveLookup) -> AdmissionRequest {
        let mut sum = 0.0_f64;
        let mut worst = 0.0_f64;
        for pos in 0..lk.shards.len() {
            let (wait, latency) = self.expected_shard_time(now, lk, pos);
            sum += wait + latency;
            worst = worst.max(wait + latency);
        }
        let mean = sum / lk.shards.len().max(1) as f64;
        AdmissionRequest {
            promise: lk.decl.promise,
            budget: lk.answer_by.saturating_duration_since(now),
            mean_part_time: duration_from_micros(mean),
            slowest_part_time: duration_from_micros(worst),
            in_flight: self.in_flight,
        }
    }

    /// Returns a part's expected queueing time and latency at the shard, in microseconds.
    fn expected_shard_time(&self, now: Instant, lk: &ActiveLookup, pos: usize) -> (f64, f64) {
        let mut queued = 0;
        let mut connections = 0;
        let mut latency = f64::INFINITY;
        for server in lk.replicas(pos) {
            let view = self.servers.view(*server);
            if !view.is_eligible(lk.snapshot.id) {
                continue;
            }
            queued = queued.max(self.wait_queues.waiting_count(*server));
            connections += view.connection_share().0;
            latency = latency.min(view.latency().aged_micros(now).unwrap_or(0.0));
        }
        if !latency.is_finite() || connections == 0 {
            return (0.0, 0.0);
        }
        let rounds = queued as f64 / f64::from(connections);
        (rounds * latency, latency)
    }
}

/// Refuses a request without the keys that its declaration requires, and any request for an
/// at-most-once lookup that queries every shard.
fn check_request(decl: &Lookup, req: &LookupRequest) -> Result<(), ArrivalRefusal> {
    let bad = Err(Refusal::new(RefusalReason::BadRequest, None));
    let once = decl.promise == Promise::AtMostOnce;
    match decl.scope {
        Scope::Keyed if req.key.is_none() => bad,
        // One claim can cover one attempt only.
        Scope::Scatter if once => bad,
        _ if once && req.idempotency_key.is_none() => bad,
        Scope::Keyed | Scope::Scatter => Ok(()),
    }
}

fn duration_from_micros(n: f64) -> Duration {
    Duration::from_secs_f64(n.clamp(0.0, 1e9) / 1e6)
}
