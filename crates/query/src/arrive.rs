//! A lookup's arrival, and the claim of an at-most-once one.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_limit::AdmissionDecision;
use gs_limit::AdmissionRequest;
use gs_route::Pin;
use gs_route::Readiness;
use gs_route::ServerIdx;
use gs_types::prelude::*;
use rand::RngExt;

use crate::action::Action;
use crate::core::Core;
use crate::event::Arrival;
use crate::finish::RETRY_AFTER;
use crate::finish::by_key;
use crate::lookup::LookupRun;
use crate::lookup::Phase;
use crate::suspects::Standing;

/// The part of a deadline kept back for merging and sending the answer.
const MARGIN_PART: u32 = 20;

/// The least and the most of it.
const MARGIN_MIN: Duration = Duration::from_millis(1);
const MARGIN_MAX: Duration = Duration::from_millis(5);

/// When a caller may ask again that met a VM which is leaving or not ready: at once, another VM.
const ELSEWHERE: Duration = Duration::from_millis(50);

/// Why a lookup is not begun.
type Refused = Refusal;

impl Core {
    /// Takes a lookup on, or refuses it at once; `None` if it has ended already.
    pub(crate) fn arrive(
        &mut self,
        now: Instant,
        arrival: Arrival,
        out: &mut Vec<Action>,
    ) -> Option<Box<LookupRun>> {
        self.counters.arrived += 1;
        let seq = arrival.seq;
        let has_key = arrival.req.idempotency_key.is_some();
        let mut lk = match self.take_on(now, arrival) {
            Ok(lk) => Box::new(lk),
            Err(refusal) => {
                let outcome = by_key(has_key, false, refusal);
                self.counters.ended(&outcome);
                out.push(Action::Answer(seq, outcome));
                return None;
            }
        };
        let answer_by = lk.answer_by;
        self.arm(&mut lk, answer_by);
        if lk.is_once() {
            self.suspects.test(now, lk.fingerprint, seq);
            self.ask_claim(now, &lk, out);
        } else {
            self.begin(now, &mut lk, out);
        }
        (!lk.is_done).then_some(lk)
    }

    fn take_on(&mut self, now: Instant, arrival: Arrival) -> Result<LookupRun, Refused> {
        let Arrival { seq, req } = arrival;
        let decl = self.find_decl(&req)?;
        check_form(&decl, &req)?;
        let fingerprint = req.fingerprint();
        let canary_first = self.check_suspicion(now, fingerprint)?;
        let group = self.find_group(&decl)?;
        let view = &mut self.groups[group].view;
        let pin = view
            .pin(&self.servers, req.floor, None)
            .ok_or_else(|| Refusal::new(RefusalReason::NoSnapshot, Some(RETRY_AFTER)))?;
        let budget = req.deadline.map_or(decl.deadline, |d| d.min(decl.deadline));
        let margin = (budget / MARGIN_PART).clamp(MARGIN_MIN, MARGIN_MAX);
        let answer_by = now + budget.saturating_sub(margin);
        let phase = match decl.promise {
            Promise::AtMostOnce => Phase::Claiming,
            Promise::Urgent | Promise::Complete => Phase::Running,
        };
        let mut lk = LookupRun {
            seq,
            decl,
            group,
            query: req.query,
            key: req.key,
            idempotency_key: req.idempotency_key,
            fingerprint,
            floor: req.floor,
            arrived: now,
            answer_by,
            phase,
            snapshot: Arc::clone(&pin.snapshot),
            shards: Vec::new(),
            held_until: None,
            canary_first,
            first_number: 0,
            whole: 0,
            missing: 0,
            hits: 0,
            may_have_run: 0,
            was_sent: false,
            was_granted: false,
            is_proven: false,
            is_congested: false,
            extra: 0,
            restarts: 0,
            timer: None,
            wants_restart: false,
            is_gone: false,
            is_done: false,
        };
        lk.pin(Arc::clone(&pin.snapshot));
        self.check_reach(now, &lk, &pin)?;
        self.check_admission(now, &lk)?;
        Ok(lk)
    }

    fn find_decl(&self, req: &LookupRequest) -> Result<Arc<Lookup>, Refused> {
        if self.is_leaving {
            return Err(Refusal::new(RefusalReason::Leaving, Some(ELSEWHERE)));
        }
        if self.config.is_none() {
            return Err(Refusal::new(RefusalReason::NotReady, Some(ELSEWHERE)));
        }
        self.decls
            .get(&(req.front.clone(), req.lookup.clone()))
            .cloned()
            .ok_or_else(|| Refusal::new(RefusalReason::NoSuchLookup, None))
    }

    /// Refuses a quarantined lookup; tells whether a suspect must show one server alone first.
    fn check_suspicion(&self, now: Instant, fp: Fingerprint) -> Result<bool, Refused> {
        match self.suspects.standing(now, fp) {
            Standing::Clear => Ok(false),
            Standing::Canary => Ok(true),
            Standing::Refused(rest) => Err(Refusal::new(RefusalReason::Quarantined, Some(rest))),
        }
    }

    fn find_group(&self, decl: &Lookup) -> Result<usize, Refused> {
        self.group_names
            .get(&decl.group)
            .copied()
            .ok_or_else(|| Refusal::new(RefusalReason::NoSnapshot, Some(RETRY_AFTER)))
    }

    /// Refuses a lookup that needs every shard while one has no replica, or none that answers.
    fn check_reach(&self, now: Instant, lk: &LookupRun, pin: &Pin) -> Result<(), Refused> {
        let needs_all = lk.decl.promise != Promise::Urgent || lk.decl.scope == Scope::Keyed;
        if !needs_all {
            return Ok(());
        }
        let is_thin = pin.readiness == Readiness::Incomplete;
        let shards = lk.shards.iter().enumerate();
        let missing = shards.filter_map(|(at, shard)| {
            let reason = self.out_of_reach(now, lk, at)?;
            let counts = is_thin || reason != MissReason::NoReplica;
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

    /// Why a shard cannot be answered now; `None` if it may be.
    fn out_of_reach(&self, now: Instant, lk: &LookupRun, at: usize) -> Option<MissReason> {
        let is_eligible = |s: &&ServerIdx| self.servers.view(**s).is_eligible(lk.snapshot.id);
        let mut eligible = lk.replicas(at).iter().filter(is_eligible).peekable();
        if eligible.peek().is_none() {
            return Some(MissReason::NoReplica);
        }
        let are_lost = eligible.all(|s| self.servers.is_lost(now, *s));
        are_lost.then_some(MissReason::Late)
    }

    fn check_admission(&mut self, now: Instant, lk: &LookupRun) -> Result<(), Refused> {
        if lk.answer_by <= now {
            return Err(Refusal::new(RefusalReason::TooLate, Some(RETRY_AFTER)));
        }
        let ask = self.ask(now, lk);
        let full = ask.in_flight >= self.options.lookups_max as usize;
        let retry = match self.admission.admit(now, &ask) {
            AdmissionDecision::Admit if !full => return Ok(()),
            AdmissionDecision::Admit => RETRY_AFTER,
            AdmissionDecision::Refuse(retry) => retry,
        };
        // Callers that were refused together should not come back together.
        let spread = self.rng.random_range(1.0..1.5);
        Err(Refusal::new(
            RefusalReason::Overload,
            Some(retry.mul_f64(spread)),
        ))
    }

    /// What the lookup would have to wait, from the queues before it.
    fn ask(&self, now: Instant, lk: &LookupRun) -> AdmissionRequest {
        let mut sum = 0.0_f64;
        let mut worst = 0.0_f64;
        for at in 0..lk.shards.len() {
            let (wait, latency) = self.shard_wait(now, lk, at);
            sum += wait + latency;
            worst = worst.max(wait + latency);
        }
        let mean = sum / lk.shards.len().max(1) as f64;
        AdmissionRequest {
            promise: lk.decl.promise,
            budget: lk.answer_by.saturating_duration_since(now),
            typical: micros(mean),
            worst: micros(worst),
            in_flight: self.in_flight,
        }
    }

    /// The time that a part would wait at the shard, and would take then, in microseconds.
    fn shard_wait(&self, now: Instant, lk: &LookupRun, at: usize) -> (f64, f64) {
        let mut queued = 0;
        let mut connections = 0;
        let mut latency = f64::INFINITY;
        for server in lk.replicas(at) {
            let view = self.servers.view(*server);
            if !view.is_eligible(lk.snapshot.id) {
                continue;
            }
            queued = queued.max(self.waiting.len(*server));
            connections += view.share().0;
            latency = latency.min(view.latency().aged_micros(now).unwrap_or(0.0));
        }
        if !latency.is_finite() || connections == 0 {
            return (0.0, 0.0);
        }
        let rounds = queued as f64 / f64::from(connections);
        (rounds * latency, latency)
    }
}

/// Checks a request against its declaration.
fn check_form(decl: &Lookup, req: &LookupRequest) -> Result<(), Refused> {
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

fn micros(n: f64) -> Duration {
    Duration::from_secs_f64(n.clamp(0.0, 1e9) / 1e6)
}
