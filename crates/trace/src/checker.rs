//! Compares a replay with the expected outcomes and with the invariants of every trace.

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

/// Checks the steps of a replay one by one, and its end.
#[derive(Debug, Default)]
pub struct Checker {
    expectations: Expectations,
    invariants: Invariants,
    outcomes: BTreeMap<LookupSeq, OutcomeKind>,
    dispatches: BTreeMap<LookupSeq, u32>,
    /// The dispatches counted for each expected server, in the order of the file.
    server_counts: Vec<u32>,
    last: (u64, Duration),
    exact: bool,
    compared_steps: u64,
}

impl Checker {
    /// Creates a checker for the expected outcomes; the invariants are always checked too.
    #[must_use]
    pub fn new(expectations: Expectations) -> Self {
        Self {
            server_counts: vec![0; expectations.server.len()],
            expectations,
            ..Self::default()
        }
    }

    /// Also checks that the actions of each step equal the recorded ones, where the trace contains
    /// their digest. Only for the build that recorded: one with changed decisions acts differently.
    #[must_use]
    pub fn exact(self) -> Self {
        Self {
            exact: true,
            ..self
        }
    }

    /// Returns how many lookups have ended with this outcome so far.
    #[must_use]
    pub fn count(&self, kind: OutcomeKind) -> usize {
        self.outcomes.values().filter(|k| **k == kind).count()
    }

    /// Returns how many steps have been compared with their recorded actions.
    #[must_use]
    pub fn compared_steps(&self) -> u64 {
        self.compared_steps
    }

    /// Returns how many attempts have been dispatched so far.
    #[must_use]
    pub fn attempts(&self) -> u64 {
        self.dispatches.values().map(|n| u64::from(*n)).sum()
    }

    /// Checks one step.
    ///
    /// # Errors
    ///
    /// The first invariant or expectation that the step breaks.
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
                "its actions differ from the recorded ones".to_owned(),
            ));
        }
        self.invariants.on(step).map_err(diverges)?;
        for action in &step.actions {
            match action {
                Action::Dispatch(d) => self.on_dispatch(step.at, d).map_err(diverges)?,
                Action::Answer(seq, outcome) => {
                    self.on_answer(step.at, *seq, outcome).map_err(diverges)?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Checks what can be decided only at the end of the trace.
    ///
    /// # Errors
    ///
    /// The first lookup or server that does not end as expected.
    pub fn end(&self) -> Result<(), Divergence> {
        let (step, at) = self.last;
        let diverges = |text| Divergence { step, at, text };
        self.invariants.end(at).map_err(diverges)?;
        for e in &self.expectations.lookup {
            self.check_lookup_end(e).map_err(diverges)?;
        }
        for (e, n) in self.expectations.server.iter().zip(&self.server_counts) {
            if e.dispatches_min.is_some_and(|min| *n < min) {
                let text = format!("server {} received {n} attempts; stated: {e:?}", e.name);
                return Err(diverges(text));
            }
        }
        Ok(())
    }

    fn on_dispatch(&mut self, at: Duration, d: &Dispatch) -> Result<(), String> {
        let seq = d.attempt.lookup;
        let n = self.dispatches.entry(seq).or_default();
        *n += 1;
        let expected = self.expectations.lookup.iter().find(|e| e.seq == seq);
        let dispatches_max = expected.and_then(|e| e.dispatches.or(e.dispatches_max));
        if dispatches_max.is_some_and(|max| *n > max) {
            return Err(format!(
                "lookup {seq} is dispatched {n} times, to {}",
                d.server.name
            ));
        }
        for (e, n) in self.expectations.server.iter().zip(&mut self.server_counts) {
            if !counts_for(e, at, d) {
                continue;
            }
            *n += 1;
            if e.dispatches_max.is_some_and(|max| *n > max) {
                let name = &e.name;
                return Err(format!(
                    "server {name} receives attempt {}, its dispatch number {n}",
                    d.attempt
                ));
            }
        }
        Ok(())
    }

    fn on_answer(&mut self, at: Duration, seq: LookupSeq, outcome: &Outcome) -> Result<(), String> {
        self.outcomes.insert(seq, OutcomeKind::of(outcome));
        let Some(e) = self.expectations.lookup.iter().find(|e| e.seq == seq) else {
            return Ok(());
        };
        let observed = ObservedOutcome::of(outcome);
        let differs = |what: &str, observed: String, expected: String| {
            Err(format!(
                "lookup {seq}: {what} is {observed}; stated: {expected}"
            ))
        };
        if e.outcome != observed.kind {
            return differs("outcome", format!("{outcome:?}"), e.outcome.to_string());
        }
        observed
            .compare(e)
            .or_else(|(what, observed, expected)| differs(what, observed, expected))?;
        if e.by.is_some_and(|by| at > by) {
            let expected = e.by.map(humantime::format_duration);
            return differs(
                "its time",
                humantime::format_duration(at).to_string(),
                expected.map_or_else(String::new, |d| d.to_string()),
            );
        }
        Ok(())
    }

    fn check_lookup_end(&self, e: &LookupExpectation) -> Result<(), String> {
        let seq = e.seq;
        let observed = self.outcomes.get(&seq).copied();
        if observed.unwrap_or(OutcomeKind::Pending) != e.outcome {
            return Err(format!(
                "lookup {seq} has no outcome; stated: {}",
                e.outcome
            ));
        }
        let n = self.dispatches.get(&seq).copied().unwrap_or(0);
        match e.dispatches {
            Some(expected) if expected != n => Err(format!(
                "lookup {seq} was dispatched {n} times; stated: {expected}"
            )),
            _ => Ok(()),
        }
    }
}

/// Returns whether a dispatch counts for an expected server.
fn counts_for(e: &ServerExpectation, at: Duration, d: &Dispatch) -> bool {
    e.name == d.server.name
        && at >= e.after
        && e.before.is_none_or(|before| at < before)
        && e.lookup.is_none_or(|seq| seq == d.attempt.lookup)
}
