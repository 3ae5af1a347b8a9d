//! Tracks the lookups of a trace and checks the invariants of each.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gs_query::Action;
use gs_query::Arrival;
use gs_query::ClaimDecision;
use gs_query::Dispatch;
use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;

use super::ANSWER_GRACE;
use super::lookup_history::Attempt;
use super::lookup_history::AttemptState;
use super::lookup_history::LookupHistory;
use crate::replay::Step;

/// The lookups of a trace.
#[derive(Debug, Default)]
pub(crate) struct Lookups {
    config: Option<Arc<Config>>,
    lookups: BTreeMap<LookupSeq, LookupHistory>,
    /// For each idempotency key, the attempt that may have run.
    possible_runs: BTreeMap<IdempotencyKey, AttemptId>,
    /// When every lookup must have its outcome, once the process shuts down.
    shutdown_at: Option<Duration>,
}

impl Lookups {
    pub(crate) fn on(&mut self, step: &Step) -> Result<(), String> {
        self.on_event(step)?;
        for action in &step.actions {
            match action {
                Action::Dispatch(d) => self.on_dispatch(d)?,
                Action::Answer(seq, outcome) => self.on_answer(*seq, outcome)?,
                _ => {}
            }
        }
        Ok(())
    }

    pub(crate) fn end(&self, at: Duration) -> Result<(), String> {
        let overdue = self.lookups.iter().find(|(_, l)| {
            let deadline = self.shutdown_at.map_or(l.deadline, |t| t.min(l.deadline));
            l.outcome.is_none()
                && !l.caller_disconnected
                && at > deadline.saturating_add(ANSWER_GRACE)
        });
        match overdue {
            Some((seq, _)) => Err(format!(
                "lookup {seq} is past its deadline without an answer"
            )),
            None => Ok(()),
        }
    }

    fn on_event(&mut self, step: &Step) -> Result<(), String> {
        match &step.event {
            Event::Config(c)
                if self
                    .config
                    .as_ref()
                    .is_none_or(|old| old.version < c.version) =>
            {
                self.config = Some(c.clone());
            }
            Event::Arrive(a) => self.on_arrive(step.at, a),
            Event::ShutDown(within) => {
                let at = step.at.saturating_add(*within);
                self.shutdown_at = Some(self.shutdown_at.map_or(at, |earlier| earlier.min(at)));
            }
            Event::Claim(seq, decision) => {
                if let Some(l) = self.lookups.get_mut(seq) {
                    l.claim_granted |= *decision == ClaimDecision::Granted;
                }
            }
            Event::Sent(id) => self.on_sent(id)?,
            Event::Reply(id, reply) => self.on_reply(id, reply)?,
            Event::Gone(seq) => {
                if let Some(l) = self.lookups.get_mut(seq) {
                    l.caller_disconnected = true;
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn on_arrive(&mut self, at: Duration, a: &Arrival) {
        let config = self.config.as_deref();
        let declared = config.and_then(|c| c.lookup(&a.req.front, &a.req.lookup));
        let deadline_max = declared.map_or(Duration::ZERO, |l| l.deadline);
        let timeout = a.req.deadline.map_or(deadline_max, |d| d.min(deadline_max));
        let history = LookupHistory {
            arrival: a.clone(),
            deadline: at.saturating_add(timeout),
            promise: declared.map(|l| l.promise),
            claim_granted: false,
            attempts: BTreeMap::new(),
            parts: BTreeMap::new(),
            outcome: None,
            caller_disconnected: false,
        };
        self.lookups.insert(a.seq, history);
    }

    fn on_sent(&mut self, id: &AttemptId) -> Result<(), String> {
        let l = lookup_of(&mut self.lookups, id)?;
        let Some(a) = l.attempts.get_mut(id) else {
            return Err(unknown_attempt(id));
        };
        a.state = AttemptState::MayHaveRun;
        if let Some(Outcome::NotRun(_)) = l.outcome {
            return Err(format!("attempt {id} is sent after the outcome `not-run`"));
        }
        let key = l.arrival.req.idempotency_key.clone();
        if let (Some(Promise::AtMostOnce), Some(key)) = (l.promise, key) {
            let first = self.possible_runs.entry(key).or_insert_with(|| id.clone());
            if first != id {
                return Err(format!(
                    "attempt {id} is sent, but {first} with its key may have run"
                ));
            }
        }
        Ok(())
    }

    fn on_reply(&mut self, id: &AttemptId, reply: &PartReply) -> Result<(), String> {
        let l = lookup_of(&mut self.lookups, id)?;
        let Some(a) = l.attempts.get_mut(id) else {
            return Err(unknown_attempt(id));
        };
        match reply {
            PartReply::Shed { .. }
            | PartReply::Draining
            | PartReply::NoSnapshot { .. }
            | PartReply::NotSent => {
                a.state = AttemptState::NotRun;
                self.possible_runs.retain(|_, attempt| attempt != id);
            }
            PartReply::Whole { snapshot, part, .. } => {
                a.state = AttemptState::MayHaveRun;
                if *snapshot == a.snapshot {
                    let docs = part.hits.iter().map(|h| h.doc.clone());
                    l.parts
                        .entry((*snapshot, a.shard))
                        .or_default()
                        .extend(docs);
                }
            }
            _ => a.state = AttemptState::MayHaveRun,
        }
        Ok(())
    }

    fn on_dispatch(&mut self, d: &Dispatch) -> Result<(), String> {
        let id = &d.attempt;
        let Some(l) = self.lookups.get_mut(&id.lookup) else {
            return Err(format!("attempt {id} is for a lookup that never arrived"));
        };
        if l.outcome.is_some() {
            return Err(format!(
                "attempt {id} is dispatched after its lookup's answer"
            ));
        }
        if l.promise == Some(Promise::AtMostOnce) {
            l.check_at_most_once(d)?;
        }
        let attempt = Attempt {
            shard: id.shard,
            snapshot: d.snapshot,
            state: AttemptState::Dispatched,
        };
        match l.attempts.insert(id.clone(), attempt) {
            None => Ok(()),
            Some(_) => Err(format!("attempt {id} is dispatched twice")),
        }
    }

    fn on_answer(&mut self, seq: LookupSeq, outcome: &Outcome) -> Result<(), String> {
        let Some(l) = self.lookups.get_mut(&seq) else {
            return Err(format!("lookup {seq} is answered but never arrived"));
        };
        if l.outcome.is_some() {
            return Err(format!("lookup {seq} is answered twice"));
        }
        match outcome {
            Outcome::Answered(a) => l.check_page(a),
            Outcome::NotRun(_) => l.check_not_run(),
            Outcome::Unknown(_) => Ok(()),
        }
        .map_err(|text| format!("lookup {seq}: {text}"))?;
        l.outcome = Some(outcome.clone());
        Ok(())
    }
}

/// Returns the lookup that an attempt of the trace belongs to.
fn lookup_of<'a>(
    lookups: &'a mut BTreeMap<LookupSeq, LookupHistory>,
    id: &AttemptId,
) -> Result<&'a mut LookupHistory, String> {
    lookups
        .get_mut(&id.lookup)
        .ok_or_else(|| unknown_attempt(id))
}

/// Returns the error for an attempt in the trace's events that the replay did not dispatch. The
/// recording made other decisions, so the rest of the trace does not fit this replay.
fn unknown_attempt(id: &AttemptId) -> String {
    format!("attempt {id} is in the recording, but this replay did not dispatch it")
}
