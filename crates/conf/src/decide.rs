//! The steps of a prepared proposal: acknowledgements, commit and withdrawal.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::latest_record::LatestRecord;
use crate::manager::ConfigManager;
use crate::manager::Cx;
use crate::message::Message;
use crate::patch_outcome::PatchOutcome;
use crate::patch_outcome::VmRejection;
use crate::proposal::Proposal;
use crate::record::CURRENT_PATH;
use crate::record::history_path;
use crate::state::PatchEvent;
use crate::state::PatchState;

/// The greatest age of every VM's last acknowledgement at which a patch whose commit is in flight
/// counts as in force nowhere.
pub(crate) const ACK_AGE_MAX: Duration = Duration::from_secs(1);

impl ConfigManager {
    pub(crate) fn step_asking(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) -> Option<PatchEvent> {
        let latest = self.latest_record.clone()?;
        if latest.object != p.prepared_object {
            return self.replacement_event(&latest, p);
        }
        let me = &self.options.vm;
        let rejections = p.rejections();
        if !rejections.is_empty() {
            let error = Error::new(ErrorKind::BadInput, "a VM rejects the patch");
            p.refusal = Some((error.at("ask VMs"), rejections));
            return Some(PatchEvent::Opposed);
        }
        let agreed = p.is_acked_by_all_since(self.fleet.members(), me, None);
        if agreed && p.history_written {
            return Some(PatchEvent::Agreed);
        }
        if cx.now >= p.entered_state_at + self.options.ack_timeout {
            p.refusal = Some(self.missing_ack_refusal(p));
            return Some(PatchEvent::Opposed);
        }
        if !p.history_written && p.write_retry.is_due(cx.now) {
            // Archived before it is replaced, so that the history never lacks a version.
            let content = serde_json::to_string(&*latest.config).unwrap_or_default();
            let path = history_path(latest.record.version);
            self.start_write(cx, p, path, 0, content.into());
        }
        self.resend_latest_record(cx, p, |manager, p, vm| {
            *vm != manager.options.vm && !p.acks.contains_key(vm)
        });
        None
    }

    fn missing_ack_refusal(&self, p: &Proposal) -> (Error, Vec<VmRejection>) {
        let unacknowledged = p.unacknowledged(self.fleet.members(), &self.options.vm);
        if unacknowledged.is_empty() {
            let e = Error::new(ErrorKind::Unavailable, "the history could not be written");
            return (e.at("write history"), Vec::new());
        }
        let names: Vec<_> = unacknowledged.iter().map(VmId::as_str).collect();
        let error = Error::new(
            ErrorKind::Unavailable,
            format!("no acknowledgement from {}", names.join(", ")),
        )
        .at("ask VMs")
        .with_hint("repair or remove these VMs, and send the change under a new id");
        let wait = self.options.ack_timeout;
        let one = |vm: VmId| VmRejection {
            vm,
            reason: format!("no acknowledgement within {wait:?}"),
        };
        (error, unacknowledged.into_iter().map(one).collect())
    }

    /// Returns the event for a prepared patch once a newer record than the one that prepared it is
    /// known.
    fn replacement_event(&self, latest: &LatestRecord, p: &mut Proposal) -> Option<PatchEvent> {
        if let Some(event) = self.decision_event(latest, p) {
            return Some(event);
        }
        // Every VM that replaces a prepared patch records its decision, so only a manual write leads here.
        let error = Error::new(ErrorKind::Conflict, "the object was modified manually");
        p.refusal
            .get_or_insert((error.at("decide patch"), Vec::new()));
        Some(PatchEvent::Settled)
    }

    pub(crate) fn step_committing(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
    ) -> Option<PatchEvent> {
        let latest = self.latest_record.clone()?;
        if latest.object != p.prepared_object {
            let event = self.replacement_event(&latest, p);
            p.committed_here = event == Some(PatchEvent::Committed);
            return event;
        }
        for call in p.take_expired_calls(cx.now) {
            let error = self.undecided_error(p);
            cx.out
                .push(Action::Verdict(call, PatchOutcome::Undecided { error }));
        }
        if p.write_retry.is_due(cx.now) {
            let next = p.next_config.clone()?;
            let pending = latest.record.pending.clone()?;
            let mut record = latest.record.with_config((*next).clone());
            record.record_decision(pending.to_decided_patch(Some(next.version), None));
            self.start_write(
                cx,
                p,
                CURRENT_PATH.to_owned(),
                p.prepared_object,
                record.encode(),
            );
        }
        None
    }

    pub(crate) fn step_withdrawing(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
    ) -> Option<PatchEvent> {
        let latest = self.latest_record.clone()?;
        if latest.object != p.prepared_object {
            return Some(PatchEvent::Settled);
        }
        if p.write_retry.is_due(cx.now) {
            let reason = p.refusal.as_ref().map(|(e, _)| e.to_string());
            let record = latest
                .record
                .with_pending_withdrawn(&reason.unwrap_or_default());
            self.start_write(
                cx,
                p,
                CURRENT_PATH.to_owned(),
                p.prepared_object,
                record.encode(),
            );
        }
        None
    }

    /// Returns the proposer's reply to an acknowledgement.
    pub(crate) fn reply_to_ack(&mut self, now: Instant, object: u64, seq: u64) -> Option<Message> {
        self.latest_record.as_ref().filter(|r| r.object == object)?;
        match self.own_pending_state()? {
            PatchState::Preparing | PatchState::Asking => Some(Message::Holding { object, seq }),
            // The commit may have taken effect, but while every VM acknowledges recently and none has
            // learned of the commit, it is in force nowhere.
            PatchState::Committing if self.has_recent_acks_from_all(now) => {
                Some(Message::Holding { object, seq })
            }
            PatchState::Withdrawing | PatchState::Done => Some(Message::Abandoned { object }),
            _ => None,
        }
    }

    /// Returns the state of the pending patch if this process proposed it.
    ///
    /// A patch that it dropped counts as withdrawing, because only this process could commit it.
    pub(crate) fn own_pending_state(&self) -> Option<PatchState> {
        let pending = self.latest_record.as_ref()?.record.pending.as_ref()?;
        let options = &self.options;
        if pending.proposer != options.vm || pending.incarnation != options.incarnation {
            return None;
        }
        let live = self
            .current_proposal
            .as_ref()
            .filter(|p| p.nonce == pending.nonce);
        Some(live.map_or(PatchState::Withdrawing, |p| p.state))
    }

    /// Whether every VM recently acknowledged the prepared patch as undecided.
    pub(crate) fn has_recent_acks_from_all(&self, now: Instant) -> bool {
        let Some(p) = &self.current_proposal else {
            return false;
        };
        let since = now.checked_sub(ACK_AGE_MAX);
        p.is_acked_by_all_since(self.fleet.members(), &self.options.vm, since)
    }
}
