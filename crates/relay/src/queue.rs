//! Queues of parts that wait for a server, one for each service.
//!
//! A part is queued when each available server of its service has all connections of this VM busy,
//! or as many of its attempts in flight as are executed in time, as after both replicas of a shard
//! have stalled. Parts of higher priority are dispatched first, then those of older requests.

use std::time::Instant;

use crate::action::Action;
use crate::active_request::ActiveRequest;
use crate::active_request::PartState;
use crate::attempt::Cause;
use crate::placement::Placement;
use crate::relay::Core;
use crate::relay::Relay;
use crate::service_state::QueuedPart;

impl Core {
    /// Adds a part to the queue of its service.
    pub(crate) fn enqueue(&mut self, request: &mut ActiveRequest, index: usize, cause: Cause) {
        request.parts[index].state = PartState::Waiting(cause);
        let queued_part = queued_part(request, index);
        let service = request.parts[index].service.clone();
        self.service_state(&service).waiting.insert(queued_part);
    }

    /// Removes a part from the queue of its service.
    pub(crate) fn dequeue(&mut self, request: &ActiveRequest, index: usize) {
        if let Some(s) = self.services.get_mut(&request.parts[index].service) {
            s.waiting.remove(&queued_part(request, index));
        }
    }
}

impl Relay {
    /// Dispatches queued parts of the services whose servers may have become free.
    pub(crate) fn dispatch_waiting(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(service) = self.core.services_to_dispatch.pop() {
            while let Some(w) = self.first_queued(&service) {
                if !self.dispatch_queued(now, w, out) {
                    break;
                }
            }
        }
    }

    fn first_queued(&self, service: &gs_types::prelude::ServiceName) -> Option<QueuedPart> {
        let s = self.core.services.get(service)?;
        s.waiting.first().copied()
    }

    /// Dispatches or abandons the first part of a queue; returns `false` if it has to keep waiting.
    fn dispatch_queued(
        &mut self,
        now: Instant,
        (_, seq, part): QueuedPart,
        out: &mut Vec<Action>,
    ) -> bool {
        let mut is_placed = true;
        self.with_request(seq, |core, request| {
            let index = usize::from(part);
            let PartState::Waiting(cause) = request.parts[index].state else {
                core.dequeue(request, index);
                return false;
            };
            if core
                .placement_context(now, request)
                .choose_server(&request.parts[index])
                == Placement::Wait
            {
                is_placed = false;
                return false;
            }
            core.dequeue(request, index);
            core.try_part(now, request, index, cause, out);
            core.settle_held(now, request, out);
            core.finish_if_done(now, request, out)
        });
        is_placed
    }
}

fn queued_part(request: &ActiveRequest, index: usize) -> QueuedPart {
    // A fan-out has far fewer than 2^16 shards.
    (request.route.priority, request.seq, index as u16)
}
