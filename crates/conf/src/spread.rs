//! Bringing a prepared or committed record to every VM.

use std::time::Duration;

use gs_types::prelude::*;

use crate::action::Action;
use crate::book::ConfigManager;
use crate::book::Cx;
use crate::decide::HEARD_WITHIN;
use crate::message::Message;
use crate::proposal::Proposal;
use crate::state::PatchEvent;
use crate::verdict::PatchOutcome;

/// How often what a VM has not answered is sent to it again.
const PUSH_EVERY: Duration = Duration::from_millis(250);
/// What the promise of a silent VM is given beyond its time, for clocks that run apart.
const MARGIN: Duration = Duration::from_millis(250);

/// The largest content that is sent unasked, in bytes; peers fetch what is larger.
const INLINE_MAX: usize = 64 << 10;

impl ConfigManager {
    pub(crate) fn step_spreading(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
    ) -> Option<PatchEvent> {
        let version = p.made?;
        let members = self.fleet.members();
        let everywhere =
            !members.is_empty() && members.iter().all(|vm| self.is_in_force(vm, version));
        if everywhere || cx.now >= p.since + self.spread_wait(p) {
            self.finish(cx, p);
            return Some(PatchEvent::Everywhere);
        }
        self.push(cx, p, move |book, _, vm| !book.is_in_force(vm, version));
        None
    }

    /// How long a VM that is cut off may go on serving by the version before.
    ///
    /// Once it is committed, its proposer extends no VM's promise. A resend's VM cannot know when
    /// that proposer learned of the commit, only that it heard from this one lately before it did.
    fn spread_wait(&self, p: &Proposal) -> Duration {
        let promise = self.options.in_doubt_after + MARGIN;
        match p.ours {
            true => promise,
            false => promise + HEARD_WITHIN * 2,
        }
    }

    pub(crate) fn accepted(&self, p: &Proposal, version: ConfVersion) -> PatchOutcome {
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
            false => self.fleet.version(vm),
        };
        theirs.is_some_and(|v| v >= version)
    }

    /// Sends the newest to every peer at once, or in short if it is large.
    pub(crate) fn spread(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) {
        p.pushed = Some(cx.now);
        let message = self.newest();
        cx.out.push(Action::Broadcast(message));
    }

    /// Sends the newest again to the VMs that have not answered.
    pub(crate) fn push(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
        missing: impl Fn(&Self, &Proposal, &VmId) -> bool,
    ) {
        if p.pushed.is_some_and(|at| cx.now < at + PUSH_EVERY) {
            return;
        }
        p.pushed = Some(cx.now);
        let message = self.newest();
        for vm in self.fleet.members().to_vec() {
            if vm != self.options.vm && missing(self, p, &vm) {
                cx.send(&vm, message.clone());
            }
        }
    }

    /// The newest held, whole if it is small.
    pub(crate) fn newest(&self) -> Message {
        match &self.held {
            Some(h) if h.content.len() <= INLINE_MAX => Message::Newest {
                object: h.object,
                content: h.content.clone(),
            },
            _ => Message::Gossip(self.summary()),
        }
    }
}
