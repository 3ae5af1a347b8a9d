//! How attempts end, and what is learned from it.

use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::attempt::Cause;
use crate::attempt::Doing;
use crate::attempt::RunId;
use crate::bundle::BUNDLE;
use crate::gave_up::GaveUp;
use crate::relay::Core;
use crate::relay::Relay;
use crate::reply::AttemptEnd;
use crate::run::PartState;
use crate::run::Run;
use crate::servers::ServerKey;

impl Relay {
    /// An attempt ended.
    pub(crate) fn ended(
        &mut self,
        now: Instant,
        id: RunId,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        if let Some((server, at, route)) = self.core.orphans.remove(&id) {
            // Its request was late; how long it would have taken on an idle server is not known.
            self.core
                .judge_server(now, server, id, (at, 0.0), &route, &end);
            return;
        }
        self.with(id.lookup, |core, run| {
            if id.part == BUNDLE {
                core.bundle_ended(now, run, id, end, out);
            } else {
                core.attempt_ended(now, run, id, end, out);
            }
            false
        });
        self.unsettled.insert(id.lookup);
    }
}

impl Core {
    /// Takes in the end of an attempt of a request in flight.
    fn attempt_ended(
        &mut self,
        now: Instant,
        run: &mut Run,
        id: RunId,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let at = usize::from(id.part);
        let Some(attempt) = run.parts[at].attempts.get_mut(usize::from(id.attempt)) else {
            log::error!("event=attempt-unknown attempt={id}");
            return;
        };
        attempt.doing = match end {
            AttemptEnd::Shed(_) | AttemptEnd::WrongServer | AttemptEnd::NotSent => Doing::NotRun,
            _ => Doing::Ran,
        };
        let rounds = attempt.rounds;
        attempt.ended = Some((now, (&end).into()));
        let (server, begun, cause) = (attempt.server, attempt.at, attempt.cause);
        let route = run.route.name.clone();
        self.judge_server(now, server, id, (begun, rounds), &route, &end);
        self.judge_request(now, run, at, server, &end);
        if matches!(end, AttemptEnd::NotSent) && cause != Cause::First {
            let service = run.parts[at].service.clone();
            self.service(&service).extra.give_back();
        }
        if !run.parts[at].is_open() {
            return;
        }
        let is_good = matches!(&end, AttemptEnd::Answered(a, _) if a.is_good());
        if let AttemptEnd::Answered(answer, _) = end {
            run.parts[at].answer = Some(answer);
        }
        if is_good {
            run.parts[at].state = PartState::Whole;
            run.whole += 1;
            if cause == Cause::Hedge {
                self.counters.hedges_won += 1;
            }
            return;
        }
        self.part_failed(now, run, at, id, out);
    }

    /// Learns from how an attempt ended whether its request crashes servers.
    fn judge_request(
        &mut self,
        now: Instant,
        run: &mut Run,
        at: usize,
        server: ServerKey,
        end: &AttemptEnd,
    ) {
        let service = &run.parts[at].service;
        match end {
            AttemptEnd::Broken => {
                let born = self.servers.get(server).and_then(|view| view.entry.born);
                let request = run.req.fingerprint();
                self.suspects.broke(now, request, service, (server, born));
            }
            AttemptEnd::Answered(..) => {
                run.survived = true;
                if !self.suspects.is_calm() {
                    self.suspects.answered(run.req.fingerprint(), service);
                }
            }
            _ => {}
        }
    }

    /// Servers that a peer asked ran the request and lived.
    pub(crate) fn survived_elsewhere(&mut self, run: &mut Run) {
        run.survived = true;
        if !self.suspects.is_calm() {
            self.suspects.answered_somewhere(run.req.fingerprint());
        }
    }

    /// Refuses a request from now on that broke servers and was answered by none, or by none of a shard, as it
    /// ends.
    ///
    /// Guards against a search that is refused everywhere because some servers lost connections under it:
    /// they do so at once, and the others answer only after their work. Decided at each break, it would be set
    /// aside before those have had the time to.
    pub(crate) fn judge_run(&mut self, now: Instant, run: &Run, out: &mut Vec<Action>) {
        if self.suspects.is_calm() {
            return;
        }
        let request = run.req.fingerprint();
        if self.suspects.convict(now, request, run.survived) {
            log::warn!("event=quarantine request={request} id={}", run.req.id);
            out.push(Action::Quarantine(request));
        }
    }

    /// Decides what follows when an attempt at a part failed.
    fn part_failed(
        &mut self,
        now: Instant,
        run: &mut Run,
        at: usize,
        id: RunId,
        out: &mut Vec<Action>,
    ) {
        if run.parts[at].has_live() || run.parts[at].state != PartState::Running {
            return;
        }
        let failed = &run.parts[at].attempts[usize::from(id.attempt)];
        if run.is_once() && failed.may_have_run() {
            self.give_up(run, at, GaveUp::Once);
            return;
        }
        // An attempt that never reached a server is not counted there, so its repeat is no extra.
        let cause = match failed.cause {
            Cause::First if failed.doing == Doing::NotRun && !self.was_heard(failed.server) => {
                Cause::First
            }
            _ => Cause::Retry,
        };
        self.try_part(now, run, at, cause, out);
    }

    /// Whether a server is known to take connections at present.
    fn was_heard(&self, server: ServerKey) -> bool {
        let view = self.servers.get(server);
        view.is_some_and(|v| !v.is_resting())
    }

    /// Learns from how an attempt ended at a server.
    pub(crate) fn judge_server(
        &mut self,
        now: Instant,
        server: ServerKey,
        id: RunId,
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
                self.ways.observe(&view.entry.data_centre, took);
                let way = self.ways.to(&view.entry.data_centre);
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
