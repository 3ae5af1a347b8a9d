//! What falls due: hedges, objectives and deadlines.

use std::time::Instant;

use crate::action::Action;
use crate::attempt::Attempt;
use crate::attempt::Cause;
use crate::relay::Core;
use crate::run::PartState;
use crate::run::Run;
use crate::servers::ServerKey;
use crate::stall;

impl Core {
    /// Hedges the attempts that took too long and plans the next look.
    ///
    /// Gives the server that was found to have stopped answering, if one was.
    pub(crate) fn look_at(
        &mut self,
        now: Instant,
        run: &mut Run,
        out: &mut Vec<Action>,
    ) -> Option<ServerKey> {
        let mut stalled = None;
        if run.is_once() {
            self.arm(run, run.answer_by);
            return None;
        }
        for at in 0..run.parts.len() {
            let Some((begun, server)) = lone_attempt(run, at) else {
                continue;
            };
            let due = begun + self.delay_at(run, server);
            if due > now {
                self.arm(run, due);
                continue;
            }
            if self.is_stalled(now, run, server) {
                stalled = Some(server);
            }
            self.hedge(now, run, at, out);
        }
        let next = if now < run.objective_at {
            run.objective_at
        } else {
            run.answer_by
        };
        self.arm(run, next);
        stalled
    }

    /// Hedges a part that waits for a server which has stopped answering.
    pub(crate) fn spare(
        &mut self,
        now: Instant,
        run: &mut Run,
        part: u16,
        server: ServerKey,
        out: &mut Vec<Action>,
    ) {
        let at = usize::from(part);
        if run.is_once() || lone_attempt(run, at).is_none_or(|(_, s)| s != server) {
            return;
        }
        self.hedge(now, run, at, out);
    }

    /// Makes a second attempt beside a slow one, if it may still be of use.
    fn hedge(&mut self, now: Instant, run: &mut Run, at: usize, out: &mut Vec<Action>) {
        let scene = self.scene(now, run);
        let Some((server, expected)) = scene.place_hedge(&run.parts[at]) else {
            return;
        };
        let is_late = now + expected > run.objective_at;
        if is_late && run.whole >= run.parts_wanted {
            // The page goes out without it at the objective.
            return;
        }
        if !self.take_extra(now, run, at, true) {
            return;
        }
        self.send(now, run, at, server, Cause::Hedge, out);
    }

    fn delay_at(&self, run: &Run, server: ServerKey) -> std::time::Duration {
        let view = self.servers.get(server);
        let is_near = view.is_some_and(|v| v.entry.data_centre == self.options.data_centre);
        self.times[&run.route.name].delay(is_near)
    }

    fn is_stalled(&self, now: Instant, run: &Run, server: ServerKey) -> bool {
        let Some(view) = self.servers.get(server) else {
            return false;
        };
        let expected = self.scene(now, run).expected(view);
        stall::is_stalled(now, view, expected)
    }
}

/// When and where the part's only attempt began, if it has made just one that is under way.
fn lone_attempt(run: &Run, at: usize) -> Option<(Instant, ServerKey)> {
    let part = &run.parts[at];
    if part.state != PartState::Running {
        return None;
    }
    let mut live = part.attempts.iter().filter(|a| Attempt::is_live(a));
    let first = live.next()?;
    live.next().is_none().then_some((first.at, first.server))
}
