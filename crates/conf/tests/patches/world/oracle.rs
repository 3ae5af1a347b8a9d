//! Checks the guarantees for patches, and nothing else.

use std::collections::BTreeMap;
use std::time::Instant;

use gs_conf::AffectedTarget;
use gs_conf::CallId;
use gs_conf::Patch;
use gs_conf::PatchOutcome;
use gs_conf::Record;
use gs_types::prelude::*;

use super::Vm;
use super::name;
use super::platform::Written;

/// Records calls, writes, applied versions and outcomes, and panics if a guarantee is violated.
#[derive(Default)]
pub struct Oracle {
    calls_made: u64,
    calls: BTreeMap<CallId, (usize, u64, PatchId)>,
    affected: BTreeMap<PatchId, Vec<AffectedTarget>>,
    outcomes: BTreeMap<CallId, PatchOutcome>,
    /// The patch of each version, as written to the platform.
    versions: BTreeMap<ConfVersion, PatchId>,
    refused: BTreeMap<PatchId, CallId>,
    accepted: BTreeMap<PatchId, ConfVersion>,
    /// For each accepted patch, the VMs that its outcome covers.
    covered: Vec<(ConfVersion, PatchId, Vec<VmId>)>,
    in_force: BTreeMap<(usize, u64), ConfVersion>,
}

impl Oracle {
    pub fn on_call(&mut self, vm: usize, incarnation: u64, patch: &Patch) -> CallId {
        self.calls_made += 1;
        let call = CallId(self.calls_made);
        self.calls.insert(call, (vm, incarnation, patch.id.clone()));
        self.affected.insert(patch.id.clone(), patch.affected());
        call
    }

    pub fn outcome(&self, call: CallId) -> Option<PatchOutcome> {
        self.outcomes.get(&call).cloned()
    }

    /// Returns the calls without an outcome whose process still runs.
    pub fn unanswered(&self, vms: &[Vm]) -> Vec<CallId> {
        let is_running = |vm: usize, incarnation: u64| {
            vms[vm].manager.is_some() && vms[vm].incarnation == incarnation
        };
        let open = self.calls.iter().filter(|(call, (vm, incarnation, _))| {
            is_running(*vm, *incarnation) && !self.outcomes.contains_key(call)
        });
        open.map(|(call, _)| *call).collect()
    }

    /// Checks that each version is created by one patch, each patch creates one version, and none is
    /// skipped.
    pub fn on_write(&mut self, write: &Written) {
        if !write.is_current() {
            return;
        }
        let record = Record::parse(&write.content).expect("a record");
        let Some(patch) = record.patch else {
            return;
        };
        if self.versions.get(&record.version) == Some(&patch) {
            return;
        }
        let newest = self.versions.keys().last().map_or(1, |v| v.0);
        assert_eq!(record.version.0, newest + 1, "versions follow each other");
        let twice = self.versions.values().any(|p| *p == patch);
        assert!(!twice, "patch {patch} is applied twice");
        let refused = self.refused.get(&patch);
        assert_eq!(refused, None, "patch {patch} was refused, and is committed");
        self.versions.insert(record.version, patch);
    }

    /// Checks that no process returns to an older version or has a refused patch in force.
    pub fn on_apply(&mut self, vm: usize, incarnation: u64, cfg: &Config) {
        let before = self.in_force.insert((vm, incarnation), cfg.version);
        let forward = before.is_none_or(|v| cfg.version > v);
        assert!(
            forward,
            "{} went from {before:?} to {}",
            name(vm),
            cfg.version
        );
        if let Some(patch) = &cfg.patch {
            let refused = self.refused.get(patch);
            assert_eq!(refused, None, "refused patch {patch} is in force");
            assert_eq!(self.versions.get(&cfg.version), Some(patch));
        }
    }

    /// Checks that a call gets one outcome and that the outcomes of a patch do not contradict.
    pub fn on_outcome(&mut self, call: CallId, outcome: PatchOutcome) {
        let id = self.calls.get(&call).expect("a known call").2.clone();
        match &outcome {
            PatchOutcome::Accepted {
                version,
                in_force,
                awaiting,
                ..
            } => {
                let created = self.versions.get(version);
                assert_eq!(created, Some(&id), "accepted, but not in the history");
                let before = self.accepted.insert(id.clone(), *version);
                assert!(before.is_none_or(|v| v == *version), "two versions of {id}");
                assert!(!self.refused.contains_key(&id), "{id} was refused before");
                let vms = in_force.iter().chain(awaiting).cloned().collect();
                self.covered.push((*version, id, vms));
            }
            PatchOutcome::Refused { .. } => {
                let created = self.versions.values().any(|p| *p == id);
                assert!(!created, "{id} is refused, and in the history");
                self.refused.insert(id, call);
            }
            PatchOutcome::Undecided { .. } => {}
            PatchOutcome::Checked { .. } => panic!("the call is not a dry run"),
        }
        let before = self.outcomes.insert(call, outcome);
        assert_eq!(before, None, "two outcomes for one call");
    }

    /// Checks that once a patch is accepted, no VM that its outcome covers serves the changed lookups by
    /// an older version.
    pub fn check(&self, now: Instant, vms: &[Vm]) {
        for (version, patch, names) in &self.covered {
            for (at, vm) in vms.iter().enumerate() {
                let Some(manager) = vm.manager.as_ref().filter(|m| m.is_ready()) else {
                    continue;
                };
                if !names.contains(&name(at)) {
                    continue;
                }
                let known = manager.config().expect("a ready VM holds one").version;
                let refuses = self.affected[patch].iter().all(|t| {
                    let lookup = t
                        .lookup
                        .clone()
                        .unwrap_or_else(|| "any".parse().expect("a name"));
                    manager.in_doubt(now, &t.front, &lookup)
                });
                assert!(
                    known >= *version || refuses,
                    "{patch} is accepted as {version}, and {} serves by {known}",
                    name(at)
                );
            }
        }
    }
}
