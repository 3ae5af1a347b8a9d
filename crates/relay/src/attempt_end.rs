//! How attempts end, and what is learned from it.

use std::time::Instant;

use gs_types::prelude::*;

use crate::abandon::AbandonReason;
use crate::action::Action;
use crate::active_request::ActiveRequest;
use crate::active_request::PartState;
use crate::attempt::AttemptKey;
use crate::attempt::AttemptState;
use crate::attempt::Cause;
use crate::bundle::BUNDLE_PART_NUMBER;
use crate::relay::Core;
use crate::relay::Relay;
use crate::reply::AttemptEnd;
use crate::servers::ServerKey;

impl Relay {
    /// An attempt ended.
    pub(crate) fn ended(
        &mut self,
        now: Instant,
        id: AttemptKey,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        if let Some((server, at, route)) = self.core.orphans.remove(&id) {
            // Its request was late; how long it would have taken on an idle server is not known.
            self.core
                .update_server_health(now, server, id, (at, 0.0), &route, &end);
            return;
        }
        self.with(id.lookup, |core, request| {
            if id.part == BUNDLE_PART_NUMBER {
                core.bundle_ended(now, request, id, end, out);
            } else {
                core.attempt_ended(now, request, id, end, out);
            }
            false
        });
        self.to_review.insert(id.lookup);
    }
}

impl Core {
    /// Takes in the end of an attempt of a request in flight.
    fn attempt_ended(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        id: AttemptKey,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let at = usize::from(id.part);
        let Some(attempt) = request.parts[at].attempts.get_mut(usize::from(id.attempt)) else {
            log::error!("event=attempt-unknown attempt={id}");
            return;
        };
        attempt.state = match end {
            AttemptEnd::Shed(_) | AttemptEnd::WrongServer | AttemptEnd::NotSent => {
                AttemptState::NotRun
            }
            _ => AttemptState::Ran,
        };
        let rounds = attempt.rounds;
        attempt.ended = Some((now, (&end).into()));
        let (server, begun, cause) = (attempt.server, attempt.at, attempt.cause);
        let route = request.route.name.clone();
        self.update_server_health(now, server, id, (begun, rounds), &route, &end);
        self.update_suspicion(now, request, at, server, &end);
        if matches!(end, AttemptEnd::NotSent) && cause != Cause::First {
            let service = request.parts[at].service.clone();
            self.service(&service).extra.give_back();
        }
        if !request.parts[at].is_open() {
            return;
        }
        let is_good = matches!(&end, AttemptEnd::Answered(a, _) if a.is_good());
        if let AttemptEnd::Answered(answer, _) = end {
            request.parts[at].answer = Some(answer);
        }
        if is_good {
            request.parts[at].state = PartState::Whole;
            request.whole += 1;
            if cause == Cause::Hedge {
                self.counters.hedges_won += 1;
            }
            return;
        }
        self.part_failed(now, request, at, id, out);
    }

    /// Learns from how an attempt ended whether its request crashes servers.
    fn update_suspicion(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        at: usize,
        server: ServerKey,
        end: &AttemptEnd,
    ) {
        let service = &request.parts[at].service;
        match end {
            AttemptEnd::Broken => {
                let born = self.servers.get(server).and_then(|view| view.entry.born);
                let fingerprint = request.req.fingerprint();
                self.suspects
                    .note_crash(now, fingerprint, service, (server, born));
            }
            AttemptEnd::Answered(..) => {
                request.survived = true;
                if !self.suspects.is_empty() {
                    self.suspects
                        .note_survived(request.req.fingerprint(), service);
                }
            }
            _ => {}
        }
    }

    /// Servers that a peer asked ran the request and lived.
    pub(crate) fn survived_elsewhere(&mut self, request: &mut ActiveRequest) {
        request.survived = true;
        if !self.suspects.is_empty() {
            self.suspects
                .note_survived_somewhere(request.req.fingerprint());
        }
    }

    /// Refuses a request from now on that broke servers and was answered by none, or by none of a shard, as it
    /// ends.
    ///
    /// Guards against a search that is refused everywhere because some servers lost connections under it:
    /// they do so at once, and the others answer only after their work. Decided at each break, it would be set
    /// aside before those have had the time to.
    pub(crate) fn quarantine_if_crashing(
        &mut self,
        now: Instant,
        request: &ActiveRequest,
        out: &mut Vec<Action>,
    ) {
        if self.suspects.is_empty() {
            return;
        }
        let fingerprint = request.req.fingerprint();
        if self
            .suspects
            .quarantine_if_proved(now, fingerprint, request.survived)
        {
            log::warn!(
                "event=quarantine request={fingerprint} id={}",
                request.req.id
            );
            out.push(Action::Quarantine(fingerprint));
        }
    }

    /// Decides what follows when an attempt at a part failed.
    fn part_failed(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        at: usize,
        id: AttemptKey,
        out: &mut Vec<Action>,
    ) {
        if request.parts[at].has_live() || request.parts[at].state != PartState::Running {
            return;
        }
        let failed = &request.parts[at].attempts[usize::from(id.attempt)];
        if request.is_once() && failed.may_have_run() {
            self.abandon_part(request, at, AbandonReason::Once);
            return;
        }
        // An attempt that never reached a server is not counted there, so its repeat is no extra.
        let cause = match failed.cause {
            Cause::First
                if failed.state == AttemptState::NotRun && !self.was_heard(failed.server) =>
            {
                Cause::First
            }
            _ => Cause::Retry,
        };
        self.try_part(now, request, at, cause, out);
    }

    /// Whether a server is known to take connections at present.
    fn was_heard(&self, server: ServerKey) -> bool {
        let view = self.servers.get(server);
        view.is_some_and(|v| !v.is_backing_off())
    }

    /// Learns from how an attempt ended at a server.
    pub(crate) fn update_server_health(
        &mut self,
        now: Instant,
        server: ServerKey,
        id: AttemptKey,
        (begun, rounds): (Instant, f64),
        route: &LookupName,
        end: &AttemptEnd,
    ) {
        let took = now.saturating_duration_since(begun);
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        view.ended(id);
        self.freed.push(view.entry.service.clone());
        match end {
            AttemptEnd::Answered(answer, load) => {
                let is_near = view.entry.data_centre == self.options.data_centre;
                self.round_trips.observe(&view.entry.data_centre, took);
                let way = self.round_trips.round_trip(&view.entry.data_centre);
                let times = self.times.get_mut(route);
                let ratio = times.map_or(1.0, |t| t.observe(is_near, took, way, rounds));
                view.answered(now, begun, ratio, *load, answer.is_good());
            }
            AttemptEnd::Shed(load) => {
                self.counters.sheds += 1;
                view.shed(now, *load);
            }
            AttemptEnd::WrongServer => {
                log::info!("event=server-replaced server={}", view.entry.name);
                view.is_gone = true;
            }
            AttemptEnd::NotSent => view.unreachable(now),
            AttemptEnd::Late(_) => {
                self.counters.broken += 1;
                if view.is_silent_since(begun) {
                    view.unreachable(now);
                } else {
                    view.broke(now);
                }
            }
            AttemptEnd::Broken | AttemptEnd::Garbled => {
                self.counters.broken += 1;
                view.broke(now);
            }
            AttemptEnd::Paged(..) | AttemptEnd::Overloaded(_) => {
                view.answered(now, begun, 1.0, None, true);
            }
            AttemptEnd::Cancelled => {}
        }
        self.servers.drop_if_done(server);
    }
}
