//! Handles the end of an attempt and updates what is known of its server and its request.

use std::sync::Arc;
use std::time::Instant;

use gs_types::prelude::*;

use crate::abandon::AbandonReason;
use crate::action::Action;
use crate::active_request::ActiveRequest;
use crate::active_request::PartState;
use crate::attempt::AttemptKey;
use crate::attempt::AttemptState;
use crate::attempt::Cause;
use crate::attempt_origin::AttemptOrigin;
use crate::bundle::BUNDLE_PART_NUMBER;
use crate::crash_report::ExecutedServices;
use crate::entry::ServerEntry;
use crate::relay::Core;
use crate::relay::Relay;
use crate::reply::AttemptEnd;
use crate::servers::ServerKey;
use crate::unanswered::UnansweredPart;
use crate::unanswered::unanswered_attempt;

impl Relay {
    /// Handles the end of an attempt, of a request in flight or one that has ended.
    pub(crate) fn on_ended(
        &mut self,
        now: Instant,
        id: AttemptKey,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        if let Some(orphan) = self.core.orphaned_attempts.remove(&id) {
            self.core.on_orphan_ended(now, id, orphan, &end, out);
            return;
        }
        self.with_request(id.lookup, |core, request| {
            if id.part == BUNDLE_PART_NUMBER {
                core.on_bundle_ended(now, request, id, end, out);
            } else {
                core.on_attempt_ended(now, request, id, end, out);
            }
            core.settle_held(now, request, out);
            false
        });
        self.ended_since_check.insert(id.lookup);
    }
}

impl Core {
    /// Handles the end of an attempt of a request in flight.
    fn on_attempt_ended(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        id: AttemptKey,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let index = usize::from(id.part);
        let Some(attempt) = request.parts[index]
            .attempts
            .get_mut(usize::from(id.attempt))
        else {
            log::error!("event=attempt-unknown attempt={id}");
            return;
        };
        attempt.state = match end {
            AttemptEnd::NotSent => AttemptState::NotSent,
            AttemptEnd::Shed(_) | AttemptEnd::WrongServer => AttemptState::Rejected,
            _ => AttemptState::MayHaveRun,
        };
        if matches!(end, AttemptEnd::Shed(_) | AttemptEnd::WrongServer) {
            request.rejected_attempts += 1;
        }
        let rounds_ahead = attempt.rounds_ahead;
        attempt.ended = Some((now, (&end).into()));
        let (server, dispatched_at, cause) = (attempt.server, attempt.dispatched_at, attempt.cause);
        let route = request.route.name.clone();
        // A server that has left is forgotten with its last attempt.
        let entry = self.servers.get(server).map(|v| Arc::clone(&v.entry));
        self.update_server_health(now, server, id, (dispatched_at, rounds_ahead), &route, &end);
        if let Some(entry) = entry {
            self.update_suspicion(now, request, (index, dispatched_at), entry, &end, out);
        }
        if matches!(end, AttemptEnd::NotSent) && cause != Cause::First {
            let service = request.parts[index].service.clone();
            self.service_state(&service)
                .extra_budget
                .give_back(dispatched_at);
        }
        if !request.parts[index].is_unfinished() {
            return;
        }
        let is_good = matches!(&end, AttemptEnd::Answered(a, _) if a.is_good());
        if let AttemptEnd::Answered(answer, _) = end {
            request.parts[index].answer = Some(answer);
        }
        if is_good {
            request.parts[index].state = PartState::Complete;
            request.complete += 1;
            if cause == Cause::Hedge {
                self.counters.hedges_won += 1;
            }
            return;
        }
        self.on_part_failed(now, request, index, id, out);
    }

    /// Updates the evidence that a request crashes servers after an attempt at one of its parts, sent at the given
    /// time, has ended.
    fn update_suspicion(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        (index, sent_at): (usize, Instant),
        server: Arc<ServerEntry>,
        end: &AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        if matches!(end, AttemptEnd::Answered(..)) {
            self.on_executed(now, request);
            let services = [server.service.clone()];
            self.note_executed_if_suspected(now, request.fingerprint, &services, out);
            return;
        }
        let origin = AttemptOrigin::of(request);
        let Some(attempt) = unanswered_attempt(now, origin, sent_at, end) else {
            return;
        };
        if !request.route.is_scatter() {
            self.count_unanswered(now, &server, attempt, out);
            return;
        }
        if attempt.is_broken() {
            self.check_broken_server(now, &server, out);
        }
        request.unanswered.push(UnansweredPart {
            index,
            server,
            attempt,
        });
    }

    /// Records that servers which a peer queried executed the request without crashing.
    pub(crate) fn note_executed_at_peer(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        out: &mut Vec<Action>,
    ) {
        self.on_executed(now, request);
        self.note_executed_if_suspected(now, request.fingerprint, &[], out);
    }

    /// Records that servers of these services executed a request, if anything is known against a request.
    pub(crate) fn note_executed_if_suspected(
        &mut self,
        now: Instant,
        request: Fingerprint,
        services: &[ServiceName],
        out: &mut Vec<Action>,
    ) {
        if self.crash_ledger.is_empty() && self.quarantine.is_empty() {
            return;
        }
        let services = ExecutedServices::Only(services.to_vec());
        self.note_executed(now, request, services, out);
    }

    /// Retries or abandons a part after one of its attempts failed.
    fn on_part_failed(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        index: usize,
        id: AttemptKey,
        out: &mut Vec<Action>,
    ) {
        if request.parts[index].has_attempt_in_flight()
            || request.parts[index].state != PartState::Running
        {
            return;
        }
        let failed = &request.parts[index].attempts[usize::from(id.attempt)];
        if request.is_once() && failed.may_have_run() {
            self.abandon_part(request, index, AbandonReason::Once);
            return;
        }
        // Only what was never sent does not arrive at a server; a rejected attempt does.
        let cause = match (failed.cause, failed.state) {
            (Cause::First, AttemptState::NotSent) => Cause::First,
            _ => Cause::Retry,
        };
        self.retry_or_hold(now, request, index, cause, out);
    }

    /// Updates the health and load of a server, and the times of the route, after an attempt ended.
    pub(crate) fn update_server_health(
        &mut self,
        now: Instant,
        server: ServerKey,
        id: AttemptKey,
        (dispatched_at, rounds_ahead): (Instant, f64),
        route: &LookupName,
        end: &AttemptEnd,
    ) {
        let took = now.saturating_duration_since(dispatched_at);
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        view.on_ended(id);
        self.services_to_dispatch.push(view.entry.service.clone());
        match end {
            AttemptEnd::Answered(answer, load) => {
                let is_same_data_centre = view.entry.data_centre == self.options.data_centre;
                self.round_trips.observe(&view.entry.data_centre, took);
                let round_trip = self.round_trips.round_trip(&view.entry.data_centre);
                let times = self.route_times.get_mut(route);
                let ratio = times.map_or(1.0, |t| {
                    t.observe(is_same_data_centre, took, round_trip, rounds_ahead)
                });
                view.on_answered(now, dispatched_at, ratio, *load, answer.is_good());
            }
            AttemptEnd::Shed(load) => {
                self.counters.sheds += 1;
                view.on_shed(now, *load);
            }
            AttemptEnd::WrongServer => {
                self.counters.misdirected += 1;
                log::info!("event=server-replaced server={}", view.entry.name);
                view.is_removed = true;
            }
            AttemptEnd::NotSent => view.on_unreachable(now),
            AttemptEnd::Late(_) => {
                self.counters.broken += 1;
                if view.is_silent_since(dispatched_at) {
                    view.on_unreachable(now);
                } else {
                    view.on_broken(now);
                }
            }
            AttemptEnd::Broken | AttemptEnd::Garbled => {
                self.counters.broken += 1;
                view.on_broken(now);
            }
            AttemptEnd::Paged(..) | AttemptEnd::Overloaded(_) => {
                view.on_answered(now, dispatched_at, 1.0, None, true);
            }
            AttemptEnd::Cancelled => {}
        }
        self.servers.remove_view_if_unused(server);
    }
}
