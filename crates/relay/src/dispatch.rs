//! Dispatches attempts to servers.

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
use crate::budget::BudgetUse;
use crate::placement::Placement;
use crate::placement::PlacementContext;
use crate::relay::Core;
use crate::servers::ServerKey;

/// The most attempts at one part, including those that were never sent.
const ATTEMPTS_MAX: usize = 12;

/// Timeout of an attempt at a part of a fan-out, as a multiple of the objective: an unresponsive
/// server would otherwise hold each connection until the caller's timeout.
const ATTEMPT_TIMEOUT_TO_OBJECTIVE_RATIO: u32 = 4;

/// The shortest timeout of an attempt; longer than two usual stalls.
const ATTEMPT_TIMEOUT_MIN: Duration = Duration::from_millis(500);

impl Core {
    /// Makes an attempt at a part if a server is available and the budget allows it; otherwise
    /// queues the part if a server may become free, or abandons it.
    pub(crate) fn try_part(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        index: usize,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        if request.parts[index].attempts.len() >= ATTEMPTS_MAX || now >= request.answer_by {
            self.abandon_part(request, index, AbandonReason::UsedUp);
            return;
        }
        if self.abandon_if_quarantined(now, request, index) {
            return;
        }
        match self
            .placement_context(now, request)
            .choose_server(&request.parts[index])
        {
            Placement::Now(server, _) => {
                if cause != Cause::First && !self.take_extra_attempt(now, request, index, false) {
                    self.abandon_part(request, index, AbandonReason::Budget);
                    return;
                }
                self.send_attempt(now, request, index, server, cause, out);
            }
            Placement::Wait => self.enqueue(request, index, cause),
            Placement::Unavailable(_) => self.abandon_part(request, index, AbandonReason::NoServer),
        }
    }

    /// Returns the input for choosing a server for this request.
    pub(crate) fn placement_context(
        &self,
        now: Instant,
        request: &ActiveRequest,
    ) -> PlacementContext<'_> {
        PlacementContext {
            now,
            servers: &self.servers,
            route_times: &self.route_times[&request.route.name],
            round_trips: &self.round_trips,
            data_centre: &self.options.data_centre,
            servers_max: request.route.servers_max,
            objective: request.route.objective,
            sending_vms: self
                .connection_shares
                .sending_vms(request.route.is_scatter()),
        }
    }

    /// Takes an extra attempt from the service's budget; returns `false` if it is used up.
    pub(crate) fn take_extra_attempt(
        &mut self,
        now: Instant,
        request: &ActiveRequest,
        index: usize,
        is_hedge: bool,
    ) -> bool {
        let service = request.parts[index].service.clone();
        let slack = self.usable_slack(now, &service);
        let budget = &mut self.service_state(&service).extra_budget;
        budget.set_slack(slack);
        let is_taken = budget.try_take(now, is_hedge);
        if !is_taken {
            self.counters.extra_refused += 1;
        }
        is_taken
    }

    /// Abandons a part for the given reason, which is final.
    pub(crate) fn abandon_part(
        &mut self,
        request: &mut ActiveRequest,
        index: usize,
        reason: AbandonReason,
    ) {
        request.parts[index].state = PartState::Abandoned;
        request.parts[index].abandon_reason = Some(reason);
        request.abandoned += 1;
    }

    /// Dispatches an attempt through the I/O driver and schedules the checks of it.
    pub(crate) fn send_attempt(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        index: usize,
        server: ServerKey,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        let time_to_answer = request.time_to_answer(now);
        let attempt_timeout = if request.route.is_scatter() {
            (request.route.objective * ATTEMPT_TIMEOUT_TO_OBJECTIVE_RATIO)
                .max(ATTEMPT_TIMEOUT_MIN)
                .min(time_to_answer)
        } else {
            time_to_answer
        };
        let keep_connection =
            request.route.is_scatter() || self.keeps_idle_connection(&request.parts[index].service);
        let budget_use = self.budget_use(now, &request.parts[index].service, cause);
        let part = &mut request.parts[index];
        let id = AttemptKey {
            lookup: request.seq,
            // The counts are bounded far below the ranges of these types.
            part: index as u16,
            attempt: part.attempts.len() as u16,
        };
        let is_resent = cause == Cause::First && !part.attempts.is_empty();
        part.state = PartState::Running;
        part.attempts.push(Attempt {
            server,
            dispatched_at: now,
            state: AttemptState::InFlight,
            cause,
            rounds_ahead: self
                .servers
                .get(server)
                .map_or(0.0, |v| v.rounds_ahead(now, 0.0)),
            budget_use,
            ended: None,
        });
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        view.on_dispatched(now, id);
        let is_same_data_centre = view.entry.data_centre == self.options.data_centre;
        out.push(Action::Send(Dispatch {
            attempt: id,
            server: Arc::clone(&view.entry),
            id: Arc::clone(&request.req.id),
            content: Arc::clone(&request.req.content),
            time_left: request
                .caller_timeout
                .saturating_sub(now - request.arrived_at),
            attempt_timeout,
            once: request.is_once(),
            keep_connection,
            delegation: None,
        }));
        self.count_attempt(request, cause, is_resent);
        if !request.is_once() {
            let delay = self.route_times[&request.route.name].hedge_delay(is_same_data_centre);
            self.schedule_check(request, now + delay);
        }
        self.schedule_check(request, request.objective_at.max(now));
    }

    fn keeps_idle_connection(&self, service: &ServiceName) -> bool {
        let decl = self.table.as_ref().and_then(|t| t.service(service));
        self.connection_shares.keeps_idle_connection(decl, service)
    }

    /// Returns the use of a service's budget, for an attempt that was just taken from it.
    fn budget_use(
        &mut self,
        now: Instant,
        service: &ServiceName,
        cause: Cause,
    ) -> Option<BudgetUse> {
        if cause == Cause::First {
            return None;
        }
        let state = self.services.get_mut(service)?;
        Some(state.extra_budget.usage(now))
    }

    fn count_attempt(&mut self, request: &mut ActiveRequest, cause: Cause, is_resent: bool) {
        self.counters.attempts += 1;
        if is_resent {
            self.counters.resent += 1;
            request.resent_attempts += 1;
        }
        match cause {
            Cause::First => return,
            Cause::Hedge => self.counters.hedges += 1,
            Cause::Retry => self.counters.retries += 1,
        }
        request.extra_attempts += 1;
    }
}
