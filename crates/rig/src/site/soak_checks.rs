//! Checks of what callers and backend servers observed in a soak.

use std::collections::HashMap;
use std::sync::PoisonError;
use std::time::Duration;

use super::caller::CallOutcome;
use super::soak::ActiveSoak;
use super::soak::Outage;
use super::soak_load::ObservedRequest;

/// The maximum number of violations that are reported.
const VIOLATIONS_MAX: usize = 20;

impl ActiveSoak {
    /// Compares what callers observed with what backend servers ran.
    pub(super) fn check_requests(&mut self, requests: &[ObservedRequest]) {
        let runs = self
            .site
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut ran: HashMap<&str, u32> = HashMap::new();
        for ((_, id), n) in runs.iter() {
            *ran.entry(id).or_default() += n;
        }
        let mut violations = Vec::new();
        for s in requests {
            let ran = ran.get(s.id.as_str()).copied().unwrap_or(0);
            let kind = match &s.outcome {
                CallOutcome::Right(0) => "whole",
                CallOutcome::Right(_) => "partial",
                CallOutcome::NotRun(_) => "not-run",
                CallOutcome::Failed(_) => "failed",
                CallOutcome::Unreached => "unreached",
                CallOutcome::Cut => "cut",
                CallOutcome::Wrong(_) => "wrong",
            };
            *self.report.ends.entry(kind).or_default() += 1;
            match &s.outcome {
                CallOutcome::Wrong(how) => violations.push(format!("{}: {how}", s.id)),
                CallOutcome::NotRun(_) if s.is_once && ran > 0 => {
                    violations.push(format!("{}: refused as not run, and ran {ran} times", s.id));
                }
                CallOutcome::NotRun(None) => {
                    violations.push(format!("{}: no time to come back", s.id))
                }
                CallOutcome::Cut if !self.is_cut_allowed(s) => {
                    violations.push(format!("{}: cut by vm {}", s.id, s.vm));
                }
                _ if s.is_once && ran > 1 => violations.push(format!("{}: ran {ran} times", s.id)),
                _ => {}
            }
        }
        let omitted = violations.len().saturating_sub(VIOLATIONS_MAX);
        violations.truncate(VIOLATIONS_MAX);
        if omitted > 0 {
            violations.push(format!("and {omitted} more"));
        }
        self.report.violations.extend(violations);
    }

    /// Compares the repeats that backend servers got with the budget that all VMs share.
    pub(super) fn check_repeats(&mut self) {
        let excesses = self.site.traffic.excesses(&self.repeats);
        let messages = excesses.iter().map(ToString::to_string);
        self.report.violations.extend(messages);
    }

    /// Whether a request may have been cut: its VM was killed or paused, or was not running at all.
    fn is_cut_allowed(&self, s: &ObservedRequest) -> bool {
        let overlaps = |o: &Outage| o.vm == s.vm && s.started < o.until && s.ended > o.from;
        let is_refused = s.ended - s.started < Duration::from_millis(50);
        is_refused || self.outages.iter().any(overlaps)
    }
}
