//! What falls due: hedges, objectives and deadlines.

use std::time::Instant;

use crate::action::Action;
use crate::active_request::ActiveRequest;
use crate::active_request::PartState;
use crate::attempt::Attempt;
use crate::attempt::Cause;
use crate::relay::Core;
use crate::servers::ServerKey;
use crate::stall;

impl Core {
    /// Hedges the attempts that took too long and plans the next look.
    ///
    /// Gives the server that was found to have stopped answering, if one was.
    pub(crate) fn check_attempts(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        out: &mut Vec<Action>,
    ) -> Option<ServerKey> {
        let mut stalled = None;
        if request.is_once() {
            self.arm(request, request.answer_by);
            return None;
        }
        for at in 0..request.parts.len() {
            let Some((begun, server)) = lone_attempt(request, at) else {
                continue;
            };
            let due = begun + self.delay_at(request, server);
            if due > now {
                self.arm(request, due);
                continue;
            }
            if self.is_stalled(now, request, server) {
                stalled = Some(server);
            }
            self.hedge(now, request, at, out);
        }
        let next = if now < request.objective_at {
            request.objective_at
        } else {
            request.answer_by
        };
        self.arm(request, next);
        stalled
    }

    /// Hedges a part that waits for a server which has stopped answering.
    pub(crate) fn hedge_stalled(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        part: u16,
        server: ServerKey,
        out: &mut Vec<Action>,
    ) {
        let at = usize::from(part);
        if request.is_once() || lone_attempt(request, at).is_none_or(|(_, s)| s != server) {
            return;
        }
        self.hedge(now, request, at, out);
    }

    /// Makes a second attempt beside a slow one, if it may still be of use.
    fn hedge(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        at: usize,
        out: &mut Vec<Action>,
    ) {
        let placement_context = self.placement_context(now, request);
        let Some((server, expected)) = placement_context.choose_hedge_server(&request.parts[at])
        else {
            return;
        };
        let is_late = now + expected > request.objective_at;
        if is_late && request.whole >= request.parts_wanted {
            // The page goes out without it at the objective.
            return;
        }
        if !self.take_extra(now, request, at, true) {
            return;
        }
        self.send(now, request, at, server, Cause::Hedge, out);
    }

    fn delay_at(&self, request: &ActiveRequest, server: ServerKey) -> std::time::Duration {
        let view = self.servers.get(server);
        let is_near = view.is_some_and(|v| v.entry.data_centre == self.options.data_centre);
        self.times[&request.route.name].delay(is_near)
    }

    fn is_stalled(&self, now: Instant, request: &ActiveRequest, server: ServerKey) -> bool {
        let Some(view) = self.servers.get(server) else {
            return false;
        };
        let expected = self.placement_context(now, request).expected(view);
        stall::is_stalled(now, view, expected)
    }
}

/// When and where the part's only attempt began, if it has made just one that is under way.
fn lone_attempt(request: &ActiveRequest, at: usize) -> Option<(Instant, ServerKey)> {
    let part = &request.parts[at];
    if part.state != PartState::Running {
        return None;
    }
    let mut live = part.attempts.iter().filter(|a| Attempt::is_live(a));
    let first = live.next()?;
    live.next().is_none().then_some((first.at, first.server))
}
