//! Parts that wait for a connection.
//!
//! The load it answers: every connection of this VM to a shard's replicas busy, as after a pause of
//! both. The higher rank goes first, then the older request.

use std::time::Instant;

use crate::action::Action;
use crate::attempt::Cause;
use crate::placement::Place;
use crate::relay::Core;
use crate::relay::Relay;
use crate::run::PartState;
use crate::run::Run;
use crate::service::Waiter;

impl Core {
    /// Puts a part in its service's queue.
    pub(crate) fn queue(&mut self, run: &mut Run, at: usize, cause: Cause) {
        run.parts[at].state = PartState::Waiting(cause);
        let waiter = waiter(run, at);
        let service = run.parts[at].service.clone();
        self.service(&service).waiting.insert(waiter);
    }

    /// Takes a part out of its service's queue.
    pub(crate) fn unqueue(&mut self, run: &Run, at: usize) {
        if let Some(s) = self.services.get_mut(&run.parts[at].service) {
            s.waiting.remove(&waiter(run, at));
        }
    }
}

impl Relay {
    /// Places parts that wait for servers with a connection freed.
    pub(crate) fn serve_queues(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(service) = self.core.freed.pop() {
            while let Some(w) = self.first_waiting(&service) {
                if !self.place_waiter(now, w, out) {
                    break;
                }
            }
        }
    }

    fn first_waiting(&self, service: &gs_types::prelude::ServiceName) -> Option<Waiter> {
        let s = self.core.services.get(service)?;
        s.waiting.first().copied()
    }

    /// Places the first in a queue; `false` if it has to go on waiting.
    fn place_waiter(
        &mut self,
        now: Instant,
        (_, seq, part): Waiter,
        out: &mut Vec<Action>,
    ) -> bool {
        let mut is_placed = true;
        self.with(seq, |core, run| {
            let at = usize::from(part);
            let PartState::Waiting(cause) = run.parts[at].state else {
                core.unqueue(run, at);
                return false;
            };
            if core.scene(now, run).place(&run.parts[at]) == Place::Wait {
                is_placed = false;
                return false;
            }
            core.unqueue(run, at);
            core.try_part(now, run, at, cause, out);
            core.settle(now, run, out)
        });
        is_placed
    }
}

fn waiter(run: &Run, at: usize) -> Waiter {
    // A fan-out has far fewer than 2^16 shards.
    (run.route.priority, run.seq, at as u16)
}
