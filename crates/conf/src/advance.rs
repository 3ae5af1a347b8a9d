//! Progress of the current proposal through its states.

use gs_types::prelude::*;

use crate::action::Action;
use crate::manager::ConfigManager;
use crate::manager::Cx;
use crate::message::Message;
use crate::patch_outcome::PatchOutcome;
use crate::proposal::Proposal;
use crate::state::PatchEvent;
use crate::state::PatchState;

impl ConfigManager {
    /// Advances the current proposal as far as possible now, and then the queued ones.
    pub(crate) fn advance_proposals(&mut self, cx: &mut Cx<'_>) {
        self.expire_queued_calls(cx);
        loop {
            let next = || self.queued_proposals.pop_front();
            let Some(mut p) = self.current_proposal.take().or_else(next) else {
                return;
            };
            while let Some(event) = self.step_proposal(cx, &mut p) {
                let Some(state) = self.chart.next(p.state, event) else {
                    break;
                };
                self.enter_state(cx, &mut p, state);
            }
            if !self.chart.is_final(p.state) {
                self.current_proposal = Some(p);
                return;
            }
            if p.calls.is_empty() {
                continue;
            }
            self.answer_calls(cx, &mut p);
        }
    }

    /// Answers the calls in the queue that have expired.
    fn expire_queued_calls(&mut self, cx: &mut Cx<'_>) {
        let error = Error::new(
            ErrorKind::Unavailable,
            "the call timed out while other patches were being decided",
        )
        .at("queue patch")
        .with_hint("send it again with the same id");
        for p in &mut self.queued_proposals {
            for call in p.take_expired_calls(cx.now) {
                let error = error.clone();
                cx.out
                    .push(Action::Verdict(call, PatchOutcome::Undecided { error }));
            }
        }
        self.queued_proposals.retain(|p| !p.calls.is_empty());
    }

    fn step_proposal(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) -> Option<PatchEvent> {
        match p.state {
            PatchState::Reading => self.step_reading(cx, p),
            PatchState::Preparing => self.step_preparing(cx, p),
            PatchState::Asking => self.step_asking(cx, p),
            PatchState::Committing => self.step_committing(cx, p),
            PatchState::Spreading => self.step_spreading(cx, p),
            PatchState::Withdrawing => self.step_withdrawing(cx, p),
            PatchState::Done => None,
        }
    }

    fn enter_state(&mut self, cx: &mut Cx<'_>, p: &mut Proposal, state: PatchState) {
        p.state = state;
        p.entered_state_at = cx.now;
        p.last_sent_at = None;
        p.write_retry.reset();
        match state {
            PatchState::Asking | PatchState::Spreading => self.broadcast_latest_record(cx, p),
            PatchState::Withdrawing => {
                let object = p.prepared_object;
                cx.out
                    .push(Action::Broadcast(Message::Abandoned { object }));
                if let Some(d) = self
                    .in_doubt_patch
                    .as_mut()
                    .filter(|d| d.object() == object)
                {
                    d.mark_abandoned();
                }
                // The outcome is final: only this VM could commit the patch, and it never will.
                self.answer_calls(cx, p);
            }
            _ => {}
        }
    }

    /// Sends the outcome to the calls that wait for it.
    pub(crate) fn answer_calls(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) {
        let outcome = match (p.committed_version, p.refusal_outcome()) {
            (Some(version), _) => self.accepted_outcome(p, version),
            (None, Some(refused)) => refused,
            (None, None) => PatchOutcome::Undecided {
                error: self.undecided_error(p),
            },
        };
        for call in p.take_calls() {
            cx.out.push(Action::Verdict(call, outcome.clone()));
        }
    }

    pub(crate) fn undecided_error(&self, p: &Proposal) -> Error {
        let text = match p.state {
            PatchState::Committing => {
                "the commit was sent to the platform and its result is unknown"
            }
            _ if self.latest_record.is_none() => "this VM holds no configuration yet",
            _ if self.fleet.members().is_empty() => "this VM has no list of VMs yet",
            _ if self.pending_patch_id().is_some_and(|id| *id != p.patch.id) => {
                "another patch is still being decided"
            }
            _ => "the platform did not answer in time",
        };
        Error::new(ErrorKind::Unavailable, text)
            .at("decide patch")
            .with_hint("send it again with the same id: it is applied at most once")
    }
}
