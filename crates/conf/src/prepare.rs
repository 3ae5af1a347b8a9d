//! The steps of a proposal up to the write that prepares it.

use std::sync::Arc;

use gs_types::prelude::*;

use crate::action::Action;
use crate::latest_record::LatestRecord;
use crate::manager::ConfigManager;
use crate::manager::Cx;
use crate::patch::Patch;
use crate::patch_eligibility::PatchEligibility;
use crate::patch_eligibility::evaluate_patch;
use crate::patch_outcome::PatchOutcome;
use crate::proposal::Proposal;
use crate::record::CURRENT_PATH;
use crate::record::PendingPatch;
use crate::state::PatchEvent;

impl ConfigManager {
    pub(crate) fn step_reading(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) -> Option<PatchEvent> {
        let late = p.are_calls_expired(cx.now).then_some(PatchEvent::Late);
        let Some(latest) = self.latest_record.clone() else {
            self.read_state.wanted = true;
            return late;
        };
        if p.eligible_object == Some(latest.object) && !self.can_prepare(&latest) {
            return late;
        }
        match evaluate_patch(&latest, &p.team, &p.patch, self.groups.as_ref()) {
            PatchEligibility::Accepted(version) => {
                p.committed_version = Some(version);
                Some(PatchEvent::Committed)
            }
            PatchEligibility::Refused(error) => {
                p.refusal = Some((error, Vec::new()));
                Some(PatchEvent::Settled)
            }
            PatchEligibility::Undecided(error) => {
                self.send_outcome(cx, p, PatchOutcome::Undecided { error });
                Some(PatchEvent::Settled)
            }
            PatchEligibility::UnknownVersion => self.read_newer_version(cx, p, &latest).or(late),
            PatchEligibility::Eligible(next, warnings) if self.can_prepare(&latest) => {
                p.next_config = Some(Arc::new(*next));
                p.warnings = warnings;
                p.base_object = latest.object;
                Some(PatchEvent::Fits)
            }
            PatchEligibility::Eligible(..) => {
                p.eligible_object = Some(latest.object);
                late
            }
        }
    }

    /// Returns the outcome of a dry run against the newest known record.
    pub(crate) fn dry_run_outcome(&self, team: &TeamName, patch: &Patch) -> PatchOutcome {
        let Some(latest) = &self.latest_record else {
            let error = Error::new(ErrorKind::Unavailable, "this VM holds no configuration yet")
                .at("dry run")
                .with_hint("try another VM, or retry in a few seconds");
            return PatchOutcome::Undecided { error };
        };
        match evaluate_patch(latest, team, patch, self.groups.as_ref()) {
            PatchEligibility::Eligible(next, warnings) => PatchOutcome::Checked {
                version: next.version,
                warnings,
            },
            PatchEligibility::Accepted(version) => PatchOutcome::Undecided {
                error: Error::new(
                    ErrorKind::Conflict,
                    format!("the patch was accepted and created version {version}"),
                )
                .at("dry run"),
            },
            PatchEligibility::Refused(error) => PatchOutcome::Refused {
                error,
                against: Vec::new(),
            },
            PatchEligibility::Undecided(error) => PatchOutcome::Undecided { error },
            PatchEligibility::UnknownVersion => PatchOutcome::Undecided {
                error: unknown_version_error(patch, latest),
            },
        }
    }

    /// Whether no other patch is being decided and the list of VMs is known.
    fn can_prepare(&self, latest: &LatestRecord) -> bool {
        latest.record.pending.is_none() && !self.fleet.members().is_empty()
    }

    /// Handles a patch against a version that is not known here: only a fresh read shows whether it
    /// exists.
    fn read_newer_version(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
        latest: &LatestRecord,
    ) -> Option<PatchEvent> {
        if self
            .read_state
            .answered_at
            .is_none_or(|at| at <= p.entered_state_at)
        {
            self.read_state.wanted = true;
            return None;
        }
        let error = unknown_version_error(&p.patch, latest);
        self.send_outcome(cx, p, PatchOutcome::Undecided { error });
        Some(PatchEvent::Settled)
    }

    pub(crate) fn send_outcome(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
        outcome: PatchOutcome,
    ) {
        for call in p.take_calls() {
            cx.out.push(Action::Verdict(call, outcome.clone()));
        }
    }

    pub(crate) fn step_preparing(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
    ) -> Option<PatchEvent> {
        let latest = self.latest_record.clone()?;
        if self.is_own_pending(&latest, p) {
            p.prepared_object = latest.object;
            return Some(PatchEvent::Prepared);
        }
        if latest.object > p.base_object {
            return self.decision_event(&latest, p).or(Some(PatchEvent::Beaten));
        }
        if p.are_calls_expired(cx.now) {
            return Some(PatchEvent::Late);
        }
        if p.write_retry.is_due(cx.now) {
            let mut record = (*latest.record).clone();
            record.pending = Some(self.new_pending_patch(p));
            self.start_write(
                cx,
                p,
                CURRENT_PATH.to_owned(),
                latest.object,
                record.encode(),
            );
        }
        None
    }

    fn new_pending_patch(&self, p: &Proposal) -> PendingPatch {
        PendingPatch {
            patch: p.patch.clone(),
            team: p.team.clone(),
            proposer: self.options.vm.clone(),
            incarnation: self.options.incarnation,
            nonce: p.nonce,
        }
    }

    fn is_own_pending(&self, latest: &LatestRecord, p: &Proposal) -> bool {
        let pending = latest.record.pending.as_ref();
        pending.is_some_and(|x| {
            x.nonce == p.nonce
                && x.proposer == self.options.vm
                && x.incarnation == self.options.incarnation
        })
    }

    /// Returns the event for a patch whose decision is in the record, for example by another VM's write.
    pub(crate) fn decision_event(
        &self,
        latest: &LatestRecord,
        p: &mut Proposal,
    ) -> Option<PatchEvent> {
        let decided = latest.record.find_decided(&p.patch.id)?;
        if decided.digest != p.digest {
            return None;
        }
        if let Some(version) = decided.version {
            p.committed_version = Some(version);
            return Some(PatchEvent::Committed);
        }
        let reason = decided.reason.clone().unwrap_or_default();
        let error = Error::new(ErrorKind::Unavailable, reason).at("decide patch");
        p.refusal.get_or_insert((error, Vec::new()));
        Some(PatchEvent::Settled)
    }
}

fn unknown_version_error(patch: &Patch, latest: &LatestRecord) -> Error {
    let text = format!(
        "the patch is against version {}, and {} is the newest",
        patch.against, latest.record.version
    );
    Error::new(ErrorKind::BadInput, text)
        .at("check version")
        .with_hint("read the newest version and send the patch against it")
}
