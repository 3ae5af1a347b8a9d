//! What must hold for each lookup.

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
use super::lookup_history::Run;
use super::lookup_history::Seen;
use crate::replay::Step;

/// All lookups of a trace.
#[derive(Debug, Default)]
pub(crate) struct Lookups {
    config: Option<Arc<Config>>,
    seen: BTreeMap<LookupSeq, Seen>,
    /// The attempt of each idempotency key that may have run.
    runs: BTreeMap<IdempotencyKey, AttemptId>,
}

impl Lookups {
    pub(crate) fn on(&mut self, step: &Step) -> Result<(), String> {
        self.take_in(step)?;
        for action in &step.actions {
            match action {
                Action::Dispatch(d) => self.dispatch(d)?,
                Action::Answer(seq, outcome) => self.answer(*seq, outcome)?,
                _ => {}
            }
        }
        Ok(())
    }

    pub(crate) fn end(&self, at: Duration) -> Result<(), String> {
        let cut = self.seen.iter().find(|(_, l)| {
            l.outcome.is_none() && !l.gone && at > l.due.saturating_add(ANSWER_GRACE)
        });
        match cut {
            Some((seq, _)) => Err(format!(
                "lookup {seq} is past its deadline without an answer"
            )),
            None => Ok(()),
        }
    }

    fn take_in(&mut self, step: &Step) -> Result<(), String> {
        match &step.event {
            Event::Config(c)
                if self
                    .config
                    .as_ref()
                    .is_none_or(|old| old.version < c.version) =>
            {
                self.config = Some(c.clone());
            }
            Event::Arrive(a) => self.arrive(step.at, a),
            Event::Claim(seq, verdict) => {
                if let Some(l) = self.seen.get_mut(seq) {
                    l.granted |= *verdict == ClaimDecision::Granted;
                }
            }
            Event::Sent(id) => self.sent(id)?,
            Event::Reply(id, reply) => self.reply(id, reply)?,
            Event::Gone(seq) => {
                if let Some(l) = self.seen.get_mut(seq) {
                    l.gone = true;
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn arrive(&mut self, at: Duration, a: &Arrival) {
        let config = self.config.as_deref();
        let declared = config.and_then(|c| c.lookup(&a.req.front, &a.req.lookup));
        let longest = declared.map_or(Duration::ZERO, |l| l.deadline);
        let time = a.req.deadline.map_or(longest, |d| d.min(longest));
        let seen = Seen {
            arrival: a.clone(),
            due: at.saturating_add(time),
            promise: declared.map(|l| l.promise),
            granted: false,
            attempts: BTreeMap::new(),
            parts: BTreeMap::new(),
            outcome: None,
            gone: false,
        };
        self.seen.insert(a.seq, seen);
    }

    fn sent(&mut self, id: &AttemptId) -> Result<(), String> {
        let l = known(&mut self.seen, id)?;
        let Some(a) = l.attempts.get_mut(id) else {
            return Err(not_made(id));
        };
        a.run = Run::Possible;
        if let Some(Outcome::NotRun(_)) = l.outcome {
            return Err(format!(
                "attempt {id} is sent after its caller was told `not-run`"
            ));
        }
        let key = l.arrival.req.idempotency_key.clone();
        if let (Some(Promise::AtMostOnce), Some(key)) = (l.promise, key) {
            let first = self.runs.entry(key).or_insert_with(|| id.clone());
            if first != id {
                return Err(format!(
                    "attempt {id} is sent; {first} with its key may have run"
                ));
            }
        }
        Ok(())
    }

    fn reply(&mut self, id: &AttemptId, reply: &PartReply) -> Result<(), String> {
        let l = known(&mut self.seen, id)?;
        let Some(a) = l.attempts.get_mut(id) else {
            return Err(not_made(id));
        };
        match reply {
            PartReply::Shed { .. }
            | PartReply::Draining
            | PartReply::NoSnapshot { .. }
            | PartReply::NotSent => {
                a.run = Run::Never;
                self.runs.retain(|_, run| run != id);
            }
            PartReply::Whole { snapshot, part, .. } => {
                a.run = Run::Possible;
                if *snapshot == a.snapshot {
                    let docs = part.hits.iter().map(|h| h.doc.clone());
                    l.parts
                        .entry((*snapshot, a.shard))
                        .or_default()
                        .extend(docs);
                }
            }
            _ => a.run = Run::Possible,
        }
        Ok(())
    }

    fn dispatch(&mut self, d: &Dispatch) -> Result<(), String> {
        let id = &d.attempt;
        let Some(l) = self.seen.get_mut(&id.lookup) else {
            return Err(format!("attempt {id} is for a lookup that never arrived"));
        };
        if l.outcome.is_some() {
            return Err(format!(
                "attempt {id} is dispatched after its lookup's answer"
            ));
        }
        if l.promise == Some(Promise::AtMostOnce) {
            l.check_once(d)?;
        }
        let attempt = Attempt {
            shard: id.shard,
            snapshot: d.snapshot,
            run: Run::Waiting,
        };
        match l.attempts.insert(id.clone(), attempt) {
            None => Ok(()),
            Some(_) => Err(format!("attempt {id} is dispatched twice")),
        }
    }

    fn answer(&mut self, seq: LookupSeq, outcome: &Outcome) -> Result<(), String> {
        let Some(l) = self.seen.get_mut(&seq) else {
            return Err(format!("lookup {seq} is answered and never arrived"));
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

fn known<'a>(
    seen: &'a mut BTreeMap<LookupSeq, Seen>,
    id: &AttemptId,
) -> Result<&'a mut Seen, String> {
    seen.get_mut(&id.lookup).ok_or_else(|| not_made(id))
}

/// The trace tells of an attempt that the machine did not make: the machine that recorded it went
/// another way, so from here on the trace says nothing about this one.
fn not_made(id: &AttemptId) -> String {
    format!("attempt {id} was made by the machine that recorded, and not by this one")
}
