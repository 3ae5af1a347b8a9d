//! Distribution of a prepared or committed record to every VM.

use std::time::Duration;

use gs_types::prelude::*;

use crate::action::Action;
use crate::decide::ACK_AGE_MAX;
use crate::manager::ConfigManager;
use crate::manager::Cx;
use crate::message::Message;
use crate::patch_outcome::PatchOutcome;
use crate::proposal::Proposal;
use crate::state::PatchEvent;

/// The interval at which a record is resent to a VM that has not replied.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// The margin added to the promise of an unresponsive VM for clock drift.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(250);

/// The largest content that is sent without a request, in bytes; peers request a larger one.
const INLINE_RECORD_MAX_BYTES: usize = 64 << 10;

impl ConfigManager {
    pub(crate) fn step_spreading(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
    ) -> Option<PatchEvent> {
        let version = p.committed_version?;
        let members = self.fleet.members();
        let everywhere =
            !members.is_empty() && members.iter().all(|vm| self.is_in_force(vm, version));
        if everywhere || cx.now >= p.entered_state_at + self.promise_timeout(p) {
            self.answer_calls(cx, p);
            return Some(PatchEvent::Everywhere);
        }
        self.resend_latest_record(cx, p, move |manager, _, vm| {
            !manager.is_in_force(vm, version)
        });
        None
    }

    /// Returns how long a partitioned VM may continue to serve by the previous version.
    ///
    /// Once a patch is committed, its proposer extends no VM's promise. A VM that handles an operator's
    /// resend does not know when the proposer learned of the commit, only that the proposer had a recent
    /// acknowledgement from this VM before that; it waits longer by twice [`ACK_AGE_MAX`].
    fn promise_timeout(&self, p: &Proposal) -> Duration {
        let promise = self.options.in_doubt_after + CLOCK_DRIFT_MARGIN;
        match p.committed_here {
            true => promise,
            false => promise + ACK_AGE_MAX * 2,
        }
    }

    pub(crate) fn accepted_outcome(&self, p: &Proposal, version: ConfVersion) -> PatchOutcome {
        let members = self.fleet.members().iter();
        let (in_force, awaiting) = members
            .cloned()
            .partition(|vm| self.is_in_force(vm, version));
        PatchOutcome::Accepted {
            version,
            in_force,
            awaiting,
            warnings: p.warnings.clone(),
        }
    }

    fn is_in_force(&self, vm: &VmId, version: ConfVersion) -> bool {
        let theirs = match *vm == self.options.vm {
            true => self.config().map(|c| c.version),
            false => self.fleet.reported_version(vm),
        };
        theirs.is_some_and(|v| v >= version)
    }

    /// Sends the newest record to every peer, or its summary if the record is large.
    pub(crate) fn broadcast_latest_record(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) {
        p.last_sent_at = Some(cx.now);
        let message = self.latest_record_message();
        cx.out.push(Action::Broadcast(message));
    }

    /// Sends the newest record again to the VMs that have not replied.
    pub(crate) fn resend_latest_record(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
        missing: impl Fn(&Self, &Proposal, &VmId) -> bool,
    ) {
        if p.last_sent_at
            .is_some_and(|at| cx.now < at + RESEND_INTERVAL)
        {
            return;
        }
        p.last_sent_at = Some(cx.now);
        let message = self.latest_record_message();
        for vm in self.fleet.members().to_vec() {
            if vm != self.options.vm && missing(self, p, &vm) {
                cx.send(&vm, message.clone());
            }
        }
    }

    /// Returns a message with the newest record, or with its summary if the record is large.
    pub(crate) fn latest_record_message(&self) -> Message {
        match &self.latest_record {
            Some(r) if r.content.len() <= INLINE_RECORD_MAX_BYTES => Message::Newest {
                object: r.object,
                content: r.content.clone(),
            },
            _ => Message::Gossip(self.summary()),
        }
    }
}
