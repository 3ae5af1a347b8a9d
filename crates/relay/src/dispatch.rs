//! Hands attempts over.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::action::Dispatch;
use crate::attempt::Attempt;
use crate::attempt::Cause;
use crate::attempt::Doing;
use crate::attempt::RunId;
use crate::gave_up::GaveUp;
use crate::placement::Place;
use crate::placement::Scene;
use crate::relay::Core;
use crate::run::PartState;
use crate::run::Run;
use crate::servers::ServerKey;

/// The most attempts at one part, those that never left included.
const ATTEMPTS_MAX: usize = 12;

/// How many objectives a part of a fan-out may take before its connection is given up: a server that
/// went dark would else hold each connection to the end of the caller's patience.
const GIVE_UP_OBJECTIVES: u32 = 4;

/// The least time before an attempt is given up; longer than two usual pauses.
const GIVE_UP_MIN: Duration = Duration::from_millis(500);

impl Core {
    /// Makes an attempt at a part if a server is free and the budget allows it.
    pub(crate) fn try_part(
        &mut self,
        now: Instant,
        run: &mut Run,
        at: usize,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        if run.parts[at].attempts.len() >= ATTEMPTS_MAX || now >= run.answer_by {
            self.give_up(run, at, GaveUp::UsedUp);
            return;
        }
        match self.scene(now, run).place(&run.parts[at]) {
            Place::Now(server, _) => {
                if cause != Cause::First && !self.take_extra(now, run, at, false) {
                    self.give_up(run, at, GaveUp::Budget);
                    return;
                }
                self.send(now, run, at, server, cause, out);
            }
            Place::Wait => self.queue(run, at, cause),
            Place::Nowhere(_) => self.give_up(run, at, GaveUp::NoServer),
        }
    }

    /// What a placement for this request is made from.
    pub(crate) fn scene(&self, now: Instant, run: &Run) -> Scene<'_> {
        Scene {
            now,
            servers: &self.servers,
            times: &self.times[&run.route.name],
            ways: &self.ways,
            data_centre: &self.options.data_centre,
            servers_max: run.route.servers_max,
            objective: run.route.objective,
            sharers: self.sharing.sharers(run.route.is_scatter()),
        }
    }

    /// Takes an extra attempt out of the service's budget.
    pub(crate) fn take_extra(&mut self, now: Instant, run: &Run, at: usize, hedge: bool) -> bool {
        let service = run.parts[at].service.clone();
        let taken = self.service(&service).extra.take(now, hedge);
        if !taken {
            self.counters.extra_refused += 1;
        }
        taken
    }

    /// Gives a part up.
    pub(crate) fn give_up(&mut self, run: &mut Run, at: usize, why: GaveUp) {
        run.parts[at].state = PartState::Missing;
        run.parts[at].gave_up = Some(why);
        run.missing += 1;
    }

    /// Hands an attempt over to the shell.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        run: &mut Run,
        at: usize,
        server: ServerKey,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        let left = run.left(now);
        let give_up = if run.route.is_scatter() {
            (run.route.objective * GIVE_UP_OBJECTIVES)
                .max(GIVE_UP_MIN)
                .min(left)
        } else {
            left
        };
        let keep = run.route.is_scatter() || self.keeps_connections(&run.parts[at].service);
        let part = &mut run.parts[at];
        let id = RunId {
            lookup: run.seq,
            // The counts are bounded far below these types' ranges.
            part: at as u16,
            attempt: part.attempts.len() as u16,
        };
        part.state = PartState::Running;
        part.attempts.push(Attempt {
            server,
            at: now,
            doing: Doing::Live,
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
            run: id,
            server: Arc::clone(&view.entry),
            id: Arc::clone(&run.req.id),
            content: Arc::clone(&run.req.content),
            time_left: run.patience.saturating_sub(now - run.arrived),
            give_up,
            once: run.is_once(),
            keep,
            hand_over: None,
        }));
        self.count(run, cause);
        if !run.is_once() {
            let delay = self.times[&run.route.name].delay(is_near);
            self.arm(run, now + delay);
        }
        self.arm(run, run.objective_at.max(now));
    }

    fn keeps_connections(&self, service: &ServiceName) -> bool {
        let decl = self.table.as_ref().and_then(|t| t.service(service));
        self.sharing.keeps(decl, service)
    }

    fn count(&mut self, run: &mut Run, cause: Cause) {
        self.counters.attempts += 1;
        match cause {
            Cause::First => return,
            Cause::Hedge => self.counters.hedges += 1,
            Cause::Retry => self.counters.retries += 1,
        }
        run.extra += 1;
    }
}
