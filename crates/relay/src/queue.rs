//! Parts that wait for a connection.
//!
//! The load it answers: every connection of this VM to a shard's replicas busy, as after a pause of
//! both. The higher rank goes first, then the older request.

use std::time::Instant;

use crate::action::Action;
use crate::active_request::ActiveRequest;
use crate::active_request::PartState;
use crate::attempt::Cause;
use crate::placement::Placement;
use crate::relay::Core;
use crate::relay::Relay;
use crate::service::QueuedPart;

impl Core {
    /// Puts a part in its service's queue.
    pub(crate) fn enqueue(&mut self, request: &mut ActiveRequest, at: usize, cause: Cause) {
        request.parts[at].state = PartState::Waiting(cause);
        let queued_part = queued_part(request, at);
        let service = request.parts[at].service.clone();
        self.service(&service).waiting.insert(queued_part);
    }

    /// Takes a part out of its service's queue.
    pub(crate) fn dequeue(&mut self, request: &ActiveRequest, at: usize) {
        if let Some(s) = self.services.get_mut(&request.parts[at].service) {
            s.waiting.remove(&queued_part(request, at));
        }
    }
}

impl Relay {
    /// Places parts that wait for servers with a connection freed.
    pub(crate) fn dispatch_waiting(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(service) = self.core.freed.pop() {
            while let Some(w) = self.first_waiting(&service) {
                if !self.place_waiter(now, w, out) {
                    break;
                }
            }
        }
    }

    fn first_waiting(&self, service: &gs_types::prelude::ServiceName) -> Option<QueuedPart> {
        let s = self.core.services.get(service)?;
        s.waiting.first().copied()
    }

    /// Places the first in a queue; `false` if it has to go on waiting.
    fn place_waiter(
        &mut self,
        now: Instant,
        (_, seq, part): QueuedPart,
        out: &mut Vec<Action>,
    ) -> bool {
        let mut is_placed = true;
        self.with(seq, |core, request| {
            let at = usize::from(part);
            let PartState::Waiting(cause) = request.parts[at].state else {
                core.dequeue(request, at);
                return false;
            };
            if core
                .placement_context(now, request)
                .choose_server(&request.parts[at])
                == Placement::Wait
            {
                is_placed = false;
                return false;
            }
            core.dequeue(request, at);
            core.try_part(now, request, at, cause, out);
            core.finish_if_done(now, request, out)
        });
        is_placed
    }
}

fn queued_part(request: &ActiveRequest, at: usize) -> QueuedPart {
    // A fan-out has far fewer than 2^16 shards.
    (request.route.priority, request.seq, at as u16)
}
