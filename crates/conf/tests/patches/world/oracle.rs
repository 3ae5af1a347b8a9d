//! What the brief promises of patches, and nothing else.

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

/// Notes what was asked, written, applied and told, and fails where a promise is broken.
#[derive(Default)]
pub struct Oracle {
    asks: u64,
    asked: BTreeMap<CallId, (usize, u64, PatchId)>,
    touched: BTreeMap<PatchId, Vec<AffectedTarget>>,
    verdicts: BTreeMap<CallId, PatchOutcome>,
    /// The patch of each version, as the platform took them.
    versions: BTreeMap<ConfVersion, PatchId>,
    refused: BTreeMap<PatchId, CallId>,
    accepted: BTreeMap<PatchId, ConfVersion>,
    /// Of each accepted patch: the VMs that the verdict speaks for.
    claims: Vec<(ConfVersion, PatchId, Vec<VmId>)>,
    in_force: BTreeMap<(usize, u64), ConfVersion>,
}

impl Oracle {
    pub fn asked(&mut self, vm: usize, incarnation: u64, patch: &Patch) -> CallId {
        self.asks += 1;
        let ask = CallId(self.asks);
        self.asked.insert(ask, (vm, incarnation, patch.id.clone()));
        self.touched.insert(patch.id.clone(), patch.affected());
        ask
    }

    pub fn verdict(&self, ask: CallId) -> Option<PatchOutcome> {
        self.verdicts.get(&ask).cloned()
    }

    /// Calls without a verdict whose process still runs.
    pub fn unanswered(&self, vms: &[Vm]) -> Vec<CallId> {
        let lives = |vm: usize, run: u64| vms[vm].book.is_some() && vms[vm].incarnation == run;
        let open = self
            .asked
            .iter()
            .filter(|(ask, (vm, run, _))| lives(*vm, *run) && !self.verdicts.contains_key(ask));
        open.map(|(ask, _)| *ask).collect()
    }

    /// Each version is made by one patch, each patch makes one version, and none is left out.
    pub fn wrote(&mut self, write: &Written) {
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

    /// No process goes back, and none has a refused patch in force.
    pub fn applied(&mut self, vm: usize, incarnation: u64, cfg: &Config) {
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

    /// A verdict is given once, and no two verdicts on a patch differ.
    pub fn decided(&mut self, ask: CallId, verdict: PatchOutcome) {
        let id = self.asked.get(&ask).expect("asked").2.clone();
        match &verdict {
            PatchOutcome::Accepted {
                version,
                in_force,
                awaiting,
                ..
            } => {
                let made = self.versions.get(version);
                assert_eq!(made, Some(&id), "accepted, but not in the history");
                let before = self.accepted.insert(id.clone(), *version);
                assert!(before.is_none_or(|v| v == *version), "two versions of {id}");
                assert!(!self.refused.contains_key(&id), "{id} was refused before");
                let vms = in_force.iter().chain(awaiting).cloned().collect();
                self.claims.push((*version, id, vms));
            }
            PatchOutcome::Refused { .. } => {
                let made = self.versions.values().any(|p| *p == id);
                assert!(!made, "{id} is refused, and in the history");
                self.refused.insert(id, ask);
            }
            PatchOutcome::Undecided { .. } => {}
            PatchOutcome::Checked { .. } => panic!("nobody asked for a dry run"),
        }
        let before = self.verdicts.insert(ask, verdict);
        assert_eq!(before, None, "two verdicts for one call");
    }

    /// Once a patch is accepted, no VM that the verdict speaks for serves what it changes by an
    /// older version.
    pub fn check(&self, now: Instant, vms: &[Vm]) {
        for (version, patch, names) in &self.claims {
            for (at, vm) in vms.iter().enumerate() {
                let Some(book) = vm.book.as_ref().filter(|b| b.is_ready()) else {
                    continue;
                };
                if !names.contains(&name(at)) {
                    continue;
                }
                let held = book.config().expect("a ready VM holds one").version;
                let silent = self.touched[patch].iter().all(|t| {
                    let lookup = t
                        .lookup
                        .clone()
                        .unwrap_or_else(|| "any".parse().expect("a name"));
                    book.in_doubt(now, &t.front, &lookup)
                });
                assert!(
                    held >= *version || silent,
                    "{patch} is accepted as {version}, and {} serves by {held}",
                    name(at)
                );
            }
        }
    }
}
