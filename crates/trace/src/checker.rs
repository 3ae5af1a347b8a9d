//! Compares a replay with the stated outcomes and with what must always hold.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_query::Action;
use gs_query::Dispatch;
use gs_types::prelude::*;

use crate::divergence::Divergence;
use crate::expectations::Expectations;
use crate::expectations::LookupExpectation;
use crate::expectations::OutcomeKind;
use crate::expectations::ServerExpectation;
use crate::invariants::Invariants;
use crate::observed_outcome::ObservedOutcome;
use crate::replay::Step;

/// Judges the steps of a replay one by one and its end.
#[derive(Debug, Default)]
pub struct Checker {
    stated: Expectations,
    promises: Invariants,
    outcomes: BTreeMap<LookupSeq, OutcomeKind>,
    dispatches: BTreeMap<LookupSeq, u32>,
    /// Dispatches that count for each stated server, in the order of the file.
    server_counts: Vec<u32>,
    last: (u64, Duration),
    exact: bool,
    compared_steps: u64,
}

impl Checker {
    /// Starts with the outcomes stated; what must always hold is judged too.
    #[must_use]
    pub fn new(stated: Expectations) -> Self {
        Self {
            server_counts: vec![0; stated.server.len()],
            stated,
            ..Self::default()
        }
    }

    /// Also judges that each step does just what it did in the run that recorded, where the trace
    /// tells. For the same build only: decisions that were changed on purpose do other things.
    #[must_use]
    pub fn exact(self) -> Self {
        Self {
            exact: true,
            ..self
        }
    }

    /// How many lookups have ended in each way, by the steps seen.
    #[must_use]
    pub fn count(&self, kind: OutcomeKind) -> usize {
        self.outcomes.values().filter(|k| **k == kind).count()
    }

    /// Steps compared with what the run that recorded did there.
    #[must_use]
    pub fn compared_steps(&self) -> u64 {
        self.compared_steps
    }

    /// Attempts dispatched by the steps seen.
    #[must_use]
    pub fn attempts(&self) -> u64 {
        self.dispatches.values().map(|n| u64::from(*n)).sum()
    }

    /// Judges one step.
    ///
    /// # Errors
    ///
    /// The first thing in it that should not be.
    pub fn on(&mut self, step: &Step) -> Result<(), Divergence> {
        self.last = (step.number, step.at);
        let diverges = |text| Divergence {
            step: step.number,
            at: step.at,
            text,
        };
        let same = step.matches_recording().filter(|_| self.exact);
        self.compared_steps += u64::from(same.is_some());
        if same == Some(false) {
            return Err(diverges(
                "it does not do what the run that recorded did".to_owned(),
            ));
        }
        self.promises.on(step).map_err(diverges)?;
        for action in &step.actions {
            match action {
                Action::Dispatch(d) => self.dispatch(step.at, d).map_err(diverges)?,
                Action::Answer(seq, outcome) => {
                    self.answer(step.at, *seq, outcome).map_err(diverges)?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Judges what is left open once the trace has ended.
    ///
    /// # Errors
    ///
    /// The first lookup or server that did not come to what was stated.
    pub fn end(&self) -> Result<(), Divergence> {
        let (step, at) = self.last;
        let diverges = |text| Divergence { step, at, text };
        self.promises.end(at).map_err(diverges)?;
        for e in &self.stated.lookup {
            self.end_lookup(e).map_err(diverges)?;
        }
        for (e, n) in self.stated.server.iter().zip(&self.server_counts) {
            if e.dispatches_min.is_some_and(|min| *n < min) {
                let text = format!("server {} got {n} attempts; stated: {e:?}", e.name);
                return Err(diverges(text));
            }
        }
        Ok(())
    }

    fn dispatch(&mut self, at: Duration, d: &Dispatch) -> Result<(), String> {
        let seq = d.attempt.lookup;
        let n = self.dispatches.entry(seq).or_default();
        *n += 1;
        let stated = self.stated.lookup.iter().find(|e| e.seq == seq);
        let most = stated.and_then(|e| e.dispatches.or(e.dispatches_max));
        if most.is_some_and(|most| *n > most) {
            return Err(format!(
                "lookup {seq} is dispatched {n} times, to {}",
                d.server.name
            ));
        }
        for (e, n) in self.stated.server.iter().zip(&mut self.server_counts) {
            if !counts(e, at, d) {
                continue;
            }
            *n += 1;
            if e.dispatches_max.is_some_and(|max| *n > max) {
                let name = &e.name;
                return Err(format!(
                    "server {name} gets attempt {}, its number {n}",
                    d.attempt
                ));
            }
        }
        Ok(())
    }

    fn answer(&mut self, at: Duration, seq: LookupSeq, outcome: &Outcome) -> Result<(), String> {
        self.outcomes.insert(seq, OutcomeKind::of(outcome));
        let Some(e) = self.stated.lookup.iter().find(|e| e.seq == seq) else {
            return Ok(());
        };
        let found = ObservedOutcome::of(outcome);
        let wrong = |what: &str, found: String, stated: String| {
            Err(format!("lookup {seq}: {what} is {found}; stated: {stated}"))
        };
        if e.outcome != found.kind {
            return wrong("outcome", format!("{outcome:?}"), e.outcome.to_string());
        }
        found
            .compare(e)
            .or_else(|(what, found, stated)| wrong(what, found, stated))?;
        if e.by.is_some_and(|by| at > by) {
            let stated = e.by.map(humantime::format_duration);
            return wrong(
                "its time",
                humantime::format_duration(at).to_string(),
                stated.map_or_else(String::new, |d| d.to_string()),
            );
        }
        Ok(())
    }

    fn end_lookup(&self, e: &LookupExpectation) -> Result<(), String> {
        let seq = e.seq;
        let found = self.outcomes.get(&seq).copied();
        if found.unwrap_or(OutcomeKind::Pending) != e.outcome {
            return Err(format!(
                "lookup {seq} has no outcome; stated: {}",
                e.outcome
            ));
        }
        let n = self.dispatches.get(&seq).copied().unwrap_or(0);
        match e.dispatches {
            Some(stated) if stated != n => Err(format!(
                "lookup {seq} was dispatched {n} times; stated: {stated}"
            )),
            _ => Ok(()),
        }
    }
}

/// Whether a dispatch counts for a stated server.
fn counts(e: &ServerExpectation, at: Duration, d: &Dispatch) -> bool {
    e.name == d.server.name
        && at >= e.after
        && e.before.is_none_or(|before| at < before)
        && e.lookup.is_none_or(|seq| seq == d.attempt.lookup)
}
