//! Checks a request when its timer expires: hedges slow attempts and schedules the next check, for
//! the end of a hedge delay, the objective or the time at which the final response must be sent.

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
    /// Hedges the attempts that exceeded their hedge delay and schedules the next check.
    ///
    /// Returns a server that was found to have stalled, if there is one.
    pub(crate) fn check_attempts(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        out: &mut Vec<Action>,
    ) -> Option<ServerKey> {
        let mut stalled = None;
        if request.is_once() {
            self.schedule_check(request, request.answer_by);
            return None;
        }
        for index in 0..request.parts.len() {
            let Some((dispatched_at, server)) = single_attempt_in_flight(request, index) else {
                continue;
            };
            let due = dispatched_at + self.hedge_delay(request, server);
            if due > now {
                self.schedule_check(request, due);
                continue;
            }
            if self.is_stalled(now, request, server) {
                stalled = Some(server);
            }
            self.hedge(now, request, index, out);
        }
        let next = if now < request.objective_at {
            request.objective_at
        } else {
            request.answer_by
        };
        self.schedule_check(request, next);
        stalled
    }

    /// Hedges a part whose only attempt is in flight at a stalled server.
    pub(crate) fn hedge_stalled(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        part: u16,
        server: ServerKey,
        out: &mut Vec<Action>,
    ) {
        let index = usize::from(part);
        if request.is_once()
            || single_attempt_in_flight(request, index).is_none_or(|(_, s)| s != server)
        {
            return;
        }
        self.hedge(now, request, index, out);
    }

    /// Makes a second attempt in parallel with a slow one, if it can still be of use.
    fn hedge(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        index: usize,
        out: &mut Vec<Action>,
    ) {
        if self
            .quarantine
            .remaining(now, request.fingerprint)
            .is_some()
            || request.holds_hedges()
        {
            return;
        }
        let placement_context = self.placement_context(now, request);
        let Some((server, expected)) = placement_context.choose_hedge_server(&request.parts[index])
        else {
            return;
        };
        let is_late = now + expected > request.objective_at;
        if is_late && request.complete >= request.parts_wanted {
            // The page is returned without it at the objective.
            return;
        }
        if !self.take_extra_attempt(now, request, index, true) {
            return;
        }
        self.send_attempt(now, request, index, server, Cause::Hedge, out);
    }

    fn hedge_delay(&self, request: &ActiveRequest, server: ServerKey) -> std::time::Duration {
        let view = self.servers.get(server);
        let is_same_data_centre =
            view.is_some_and(|v| v.entry.data_centre == self.options.data_centre);
        self.route_times[&request.route.name].hedge_delay(is_same_data_centre)
    }

    fn is_stalled(&self, now: Instant, request: &ActiveRequest, server: ServerKey) -> bool {
        let Some(view) = self.servers.get(server) else {
            return false;
        };
        let expected = self.placement_context(now, request).expected_time(view);
        stall::is_stalled(now, view, expected)
    }
}

/// Returns the dispatch time and the server of a part's attempt in flight, if there is exactly one.
fn single_attempt_in_flight(request: &ActiveRequest, index: usize) -> Option<(Instant, ServerKey)> {
    let part = &request.parts[index];
    if part.state != PartState::Running {
        return None;
    }
    let mut live = part.attempts.iter().filter(|a| Attempt::is_in_flight(a));
    let first = live.next()?;
    live.next()
        .is_none()
        .then_some((first.dispatched_at, first.server))
}
