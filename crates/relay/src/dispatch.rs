//! Hands attempts over.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::abandon::AbandonReason;
use crate::action::Action;
use crate::action::Dispatch;
use crate::active_request::ActiveRequest;
use crate::active_request::PartState;
use crate::attempt::Attempt;
use crate::attempt::AttemptKey;
use crate::attempt::AttemptState;
use crate::attempt::Cause;
use crate::placement::Placement;
use crate::placement::PlacementContext;
use crate::relay::Core;
use crate::servers::ServerKey;

/// The most attempts at one part, those that never left included.
const ATTEMPTS_MAX: usize = 12;

/// How many objectives a part of a fan-out may take before its connection is given up: a server that
/// went dark would else hold each connection to the end of the caller's patience.
const ATTEMPT_TIMEOUT_OBJECTIVES: u32 = 4;

/// The least time before an attempt is given up; longer than two usual pauses.
const ATTEMPT_TIMEOUT_MIN: Duration = Duration::from_millis(500);

impl Core {
    /// Makes an attempt at a part if a server is free and the budget allows it.
    pub(crate) fn try_part(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        at: usize,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        if request.parts[at].attempts.len() >= ATTEMPTS_MAX || now >= request.answer_by {
            self.abandon_part(request, at, AbandonReason::UsedUp);
            return;
        }
        match self
            .placement_context(now, request)
            .choose_server(&request.parts[at])
        {
            Placement::Now(server, _) => {
                if cause != Cause::First && !self.take_extra(now, request, at, false) {
                    self.abandon_part(request, at, AbandonReason::Budget);
                    return;
                }
                self.send(now, request, at, server, cause, out);
            }
            Placement::Wait => self.enqueue(request, at, cause),
            Placement::Nowhere(_) => self.abandon_part(request, at, AbandonReason::NoServer),
        }
    }

    /// What a placement for this request is made from.
    pub(crate) fn placement_context(
        &self,
        now: Instant,
        request: &ActiveRequest,
    ) -> PlacementContext<'_> {
        PlacementContext {
            now,
            servers: &self.servers,
            times: &self.times[&request.route.name],
            round_trips: &self.round_trips,
            data_centre: &self.options.data_centre,
            servers_max: request.route.servers_max,
            objective: request.route.objective,
            sending_vms: self
                .connection_shares
                .sending_vms(request.route.is_scatter()),
        }
    }

    /// Takes an extra attempt out of the service's budget.
    pub(crate) fn take_extra(
        &mut self,
        now: Instant,
        request: &ActiveRequest,
        at: usize,
        hedge: bool,
    ) -> bool {
        let service = request.parts[at].service.clone();
        let taken = self.service(&service).extra.take(now, hedge);
        if !taken {
            self.counters.extra_refused += 1;
        }
        taken
    }

    /// Gives a part up.
    pub(crate) fn abandon_part(
        &mut self,
        request: &mut ActiveRequest,
        at: usize,
        why: AbandonReason,
    ) {
        request.parts[at].state = PartState::Missing;
        request.parts[at].abandon_reason = Some(why);
        request.missing += 1;
    }

    /// Hands an attempt over to the shell.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        at: usize,
        server: ServerKey,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        let left = request.left(now);
        let attempt_timeout = if request.route.is_scatter() {
            (request.route.objective * ATTEMPT_TIMEOUT_OBJECTIVES)
                .max(ATTEMPT_TIMEOUT_MIN)
                .min(left)
        } else {
            left
        };
        let keep_connection =
            request.route.is_scatter() || self.keeps_connections(&request.parts[at].service);
        let part = &mut request.parts[at];
        let id = AttemptKey {
            lookup: request.seq,
            // The counts are bounded far below these types' ranges.
            part: at as u16,
            attempt: part.attempts.len() as u16,
        };
        part.state = PartState::Running;
        part.attempts.push(Attempt {
            server,
            at: now,
            state: AttemptState::Live,
            cause,
            rounds: self.servers.get(server).map_or(0.0, |v| v.rounds(now, 0.0)),
            ended: None,
        });
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        view.begun(now, id);
        let is_near = view.entry.data_centre == self.options.data_centre;
        out.push(Action::Send(Dispatch {
            attempt: id,
            server: Arc::clone(&view.entry),
            id: Arc::clone(&request.req.id),
            content: Arc::clone(&request.req.content),
            time_left: request.caller_timeout.saturating_sub(now - request.arrived),
            attempt_timeout,
            once: request.is_once(),
            keep_connection,
            delegation: None,
        }));
        self.count(request, cause);
        if !request.is_once() {
            let delay = self.times[&request.route.name].delay(is_near);
            self.arm(request, now + delay);
        }
        self.arm(request, request.objective_at.max(now));
    }

    fn keeps_connections(&self, service: &ServiceName) -> bool {
        let decl = self.table.as_ref().and_then(|t| t.service(service));
        self.connection_shares.keeps_idle_connection(decl, service)
    }

    fn count(&mut self, request: &mut ActiveRequest, cause: Cause) {
        self.counters.attempts += 1;
        match cause {
            Cause::First => return,
            Cause::Hedge => self.counters.hedges += 1,
            Cause::Retry => self.counters.retries += 1,
        }
        request.extra += 1;
    }
}
