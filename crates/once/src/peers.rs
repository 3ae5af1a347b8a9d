//! Asks handed to the bucket's writer, and those of other VMs.

use std::sync::Arc;
use std::time::Duration;

use gs_member::View;
use gs_types::prelude::*;

use crate::action::Action;
use crate::claim::ClaimEvent;
use crate::claim::ClaimRequest;
use crate::claim::ClaimRequestId;
use crate::claim::ClaimState;
use crate::message::ClaimResult;
use crate::message::Message;
use crate::once::Cx;
use crate::once::Once;

/// Senders remembered; beyond that, those that are not in view are forgotten.
const SENDERS_MAX: usize = 10_000;

impl Once {
    /// Takes a newer view.
    pub(crate) fn members(&mut self, view: Arc<View>) {
        if self.heard.len() > SENDERS_MAX {
            let seen = |vm: &VmId| view.vms.iter().any(|v| v.entry.vm == *vm);
            self.heard.retain(|vm, _| seen(vm));
        }
        self.view = Some(view);
    }

    /// Hands an ask to the bucket's writer, for speed only: more asks go into one write there.
    pub(crate) fn forward(
        &mut self,
        cx: &mut Cx<'_>,
        writer: VmId,
        request: ClaimRequest,
        budget: Duration,
    ) {
        self.counts.forwarded += 1;
        self.sent += 1;
        self.claim_requests
            .forward(&request.id, cx.now + self.cfg.forward_for);
        let message = Message::Make {
            number: self.sent,
            request,
            budget,
        };
        cx.out.push(Action::Send(writer, message));
    }

    pub(crate) fn peer(&mut self, cx: &mut Cx<'_>, from: &VmId, message: Message) {
        match message {
            Message::Make {
                number,
                request,
                budget,
            } => {
                if request.id.vm == *from && self.is_fresh(&request.id, number) {
                    self.make(cx, from, request, budget);
                }
            }
            Message::Made(id, settled) => self.made(cx, &id, settled),
        }
    }

    /// Whether a forward is newer than every one taken of its sender.
    ///
    /// One that came twice, or late, could otherwise bring an ask to life that was told `Dropped`,
    /// and whose caller was told that nothing would happen.
    fn is_fresh(&mut self, id: &ClaimRequestId, number: u64) -> bool {
        let this = (id.incarnation, number);
        let last = self.heard.entry(id.vm.clone()).or_default();
        let fresh = this > *last;
        *last = this.max(*last);
        fresh
    }

    fn make(&mut self, cx: &mut Cx<'_>, from: &VmId, request: ClaimRequest, budget: Duration) {
        let id = request.id.clone();
        let closed = request.window <= self.watermark.known.closed;
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

    fn made(&mut self, cx: &mut Cx<'_>, id: &ClaimRequestId, settled: ClaimResult) {
        let Some(p) = self.claim_requests.find(id).filter(|p| p.forward_open) else {
            return;
        };
        let state = p.state;
        match settled {
            ClaimResult::Yours => self.grant(cx, id),
            ClaimResult::Taken => self.end(cx, id, ClaimEvent::Clash),
            // Told twice it must not disturb the write that this VM makes by then.
            ClaimResult::Unsure if state != ClaimState::Forwarded => {}
            ClaimResult::Unsure => {
                self.end(cx, id, ClaimEvent::Lose);
                self.enqueue(cx, id);
            }
            ClaimResult::Dropped => {
                self.claim_requests.close_forward(id);
                if matches!(state, ClaimState::Forwarded | ClaimState::Exposed) {
                    self.rule_out(cx, id);
                    self.enqueue(cx, id);
                }
            }
        }
    }
}
