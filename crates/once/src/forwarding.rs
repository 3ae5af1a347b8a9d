//! Claim requests forwarded to the bucket's writer, and those that other VMs forward to this one.

use std::sync::Arc;
use std::time::Duration;

use gs_member::MembershipView;
use gs_types::prelude::*;

use crate::action::Action;
use crate::claim::ClaimEvent;
use crate::claim::ClaimRequest;
use crate::claim::ClaimRequestId;
use crate::claim::ClaimState;
use crate::idempotency_claims::Cx;
use crate::idempotency_claims::IdempotencyClaims;
use crate::message::ClaimResult;
use crate::message::Message;

/// The number of senders above which those that are not in the view are forgotten.
const TRACKED_SENDERS_MAX: usize = 10_000;

impl IdempotencyClaims {
    /// Applies a newer view.
    pub(crate) fn on_view(&mut self, view: Arc<MembershipView>) {
        if self.last_forward_numbers.len() > TRACKED_SENDERS_MAX {
            let is_in_view = |vm: &VmId| view.vms.iter().any(|v| v.entry.vm == *vm);
            self.last_forward_numbers.retain(|vm, _| is_in_view(vm));
        }
        self.view = Some(view);
    }

    /// Forwards a request to the bucket's writer. This is only an optimisation: more requests share
    /// a write there.
    pub(crate) fn forward_request(
        &mut self,
        cx: &mut Cx<'_>,
        writer: VmId,
        request: ClaimRequest,
        budget: Duration,
    ) {
        self.counts.forwarded += 1;
        self.forwards_sent += 1;
        self.claim_requests
            .note_forwarded(&request.id, cx.now + self.cfg.forward_timeout);
        let message = Message::Make {
            number: self.forwards_sent,
            request,
            budget,
        };
        cx.out.push(Action::Send(writer, message));
    }

    pub(crate) fn on_peer_message(&mut self, cx: &mut Cx<'_>, from: &VmId, message: Message) {
        match message {
            Message::Make {
                number,
                request,
                budget,
            } => {
                if request.id.vm == *from && self.is_newer_forward(&request.id, number) {
                    self.on_forwarded_request(cx, from, request, budget);
                }
            }
            Message::Made(id, result) => self.on_forward_result(cx, &id, result),
        }
    }

    /// Returns whether a forwarded request is newer than all others from its sender.
    ///
    /// A duplicated or delayed message could otherwise restore a request that was reported as
    /// `Dropped`, and whose caller was informed that nothing would be executed.
    fn is_newer_forward(&mut self, id: &ClaimRequestId, number: u64) -> bool {
        let this = (id.incarnation, number);
        let last = self.last_forward_numbers.entry(id.vm.clone()).or_default();
        let is_newer = this > *last;
        *last = this.max(*last);
        is_newer
    }

    fn on_forwarded_request(
        &mut self,
        cx: &mut Cx<'_>,
        from: &VmId,
        request: ClaimRequest,
        budget: Duration,
    ) {
        let id = request.id.clone();
        let closed = request.window <= self.watermark.last_known.closed;
        if closed || self.claim_requests.len() >= self.cfg.claim_requests_max {
            let dropped = Message::Made(id, ClaimResult::Dropped);
            cx.out.push(Action::Send(from.clone(), dropped));
            return;
        }
        let deadline = cx.now + budget;
        self.claim_requests
            .add(request, 0, Some(from.clone()), deadline);
        self.enqueue(cx, &id);
    }

    fn on_forward_result(&mut self, cx: &mut Cx<'_>, id: &ClaimRequestId, result: ClaimResult) {
        let Some(p) = self.claim_requests.get(id).filter(|p| p.forward_may_write) else {
            return;
        };
        let state = p.state;
        match result {
            ClaimResult::Yours => self.grant(cx, id),
            ClaimResult::Taken => self.apply_event(cx, id, ClaimEvent::Clash),
            // A duplicate must not affect the write that this VM makes by then.
            ClaimResult::Unsure if state != ClaimState::Forwarded => {}
            ClaimResult::Unsure => {
                self.apply_event(cx, id, ClaimEvent::Lose);
                self.enqueue(cx, id);
            }
            ClaimResult::Dropped => {
                self.claim_requests.note_forward_dropped(id);
                if matches!(state, ClaimState::Forwarded | ClaimState::Exposed) {
                    self.apply_miss_if_ruled_out(cx, id);
                    self.enqueue(cx, id);
                }
            }
        }
    }
}
