//! How attempts and requests end.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use http::StatusCode;
use smallvec::SmallVec;

use crate::action::Action;
use crate::attempt::Cause;
use crate::attempt::Doing;
use crate::attempt::RunId;
use crate::merge::best_records;
use crate::outcome::Ending;
use crate::outcome::FailReason;
use crate::outcome::Outcome;
use crate::outcome::Page;
use crate::outcome::RefuseReason;
use crate::relay::Core;
use crate::relay::Relay;
use crate::reply::AttemptEnd;
use crate::reply::ServerAnswer;
use crate::route::Target;
use crate::run::PartState;
use crate::run::Run;
use crate::servers::ServerKey;
use crate::verdict::Progress;
use crate::verdict::Verdict;
use crate::verdict::verdict;

/// When a request that no server took is worth sending again: a server's queue empties in that time.
const BUSY_RETRY: Duration = Duration::from_millis(100);

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
            self.core.judge_server(now, server, id, at, &route, &end);
            return;
        }
        self.with(id.lookup, |core, run| {
            core.attempt_ended(now, run, id, end, out);
            core.settle(now, run, out)
        });
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
        let (server, begun, cause) = (attempt.server, attempt.at, attempt.cause);
        let route = run.route.name.clone();
        self.judge_server(now, server, id, begun, &route, &end);
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
            self.give_up(run, at);
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
    fn judge_server(
        &mut self,
        now: Instant,
        server: ServerKey,
        id: RunId,
        begun: Instant,
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
                let times = self.times.get_mut(route);
                let dc = view.entry.data_centre.clone();
                let ratio = times.map_or(1.0, |t| t.observe(&dc, is_near, took));
                view.answered(now, ratio, *load, answer.is_good());
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
            AttemptEnd::Cancelled => {}
        }
        self.servers.drop_if_done(server);
    }

    /// The caller hung up: nothing of its request is worth running any more.
    pub(crate) fn caller_gone(
        &mut self,
        now: Instant,
        run: &mut Run,
        out: &mut Vec<Action>,
    ) -> bool {
        self.counters.gone += 1;
        for (at, part) in run.parts.iter().enumerate() {
            for (n, a) in part.attempts.iter().enumerate() {
                if a.is_live() {
                    out.push(Action::Cancel(RunId {
                        lookup: run.seq,
                        part: at as u16,
                        attempt: n as u16,
                    }));
                }
            }
        }
        self.let_go(now, run);
        true
    }

    /// Answers a request if it has come to its end; `true` if it has.
    pub(crate) fn settle(&mut self, now: Instant, run: &mut Run, out: &mut Vec<Action>) -> bool {
        let progress = Progress {
            parts: run.parts.len(),
            whole: run.whole,
            missing: run.missing,
            parts_min: run.parts_min(),
            objective_at: run.objective_at,
            answer_by: run.answer_by,
        };
        let outcome = match verdict(now, &progress) {
            Verdict::Wait => return false,
            Verdict::Deliver => deliver(run),
            Verdict::Fail => fail(now, run),
        };
        let took = now.saturating_duration_since(run.arrived);
        self.note_end(run, took, &outcome);
        let ending = Ending {
            outcome,
            took,
            objective: run.route.objective,
            parts: (run.whole, run.parts.len()),
            extra: run.extra,
        };
        out.push(Action::Answer(run.seq, Box::new(ending)));
        self.let_go(now, run);
        true
    }

    fn note_end(&mut self, run: &Run, took: Duration, outcome: &Outcome) {
        match outcome {
            Outcome::Failed(_) => self.counters.failed += 1,
            Outcome::Refused(..) => self.counters.refused += 1,
            _ if took > run.route.objective => self.counters.late += 1,
            Outcome::Page(p) if p.missing > 0 => self.counters.partial += 1,
            _ => {}
        }
    }

    /// Forgets a request; its attempts under way are left to end, so that connections stay usable.
    fn let_go(&mut self, _now: Instant, run: &mut Run) {
        self.disarm(run);
        for at in 0..run.parts.len() {
            if matches!(run.parts[at].state, PartState::Waiting(_)) {
                self.unqueue(run, at);
            }
            for (n, a) in run.parts[at].attempts.iter().enumerate() {
                if !a.is_live() {
                    continue;
                }
                let id = RunId {
                    lookup: run.seq,
                    part: at as u16,
                    attempt: n as u16,
                };
                self.orphans
                    .insert(id, (a.server, a.at, run.route.name.clone()));
            }
        }
    }
}

fn deliver(run: &mut Run) -> Outcome {
    let page = match &run.route.target {
        Target::One(_) => None,
        Target::Scatter(s) => Some(s.page),
    };
    let whole = run.parts.iter_mut();
    let whole = whole.filter(|p| p.state == PartState::Whole);
    let mut answers = whole.filter_map(|p| p.answer.take());
    match page {
        None => answers
            .next()
            .map_or(Outcome::Failed(FailReason::Failed), Outcome::Relayed),
        Some(page) => {
            let answers: Vec<Box<ServerAnswer>> = answers.collect();
            let stamps: SmallVec<_> = answers.iter().filter_map(|a| a.stamp.clone()).collect();
            Outcome::Page(Box::new(Page {
                missing: run.parts.len() - stamps.len(),
                stamps,
                body: best_records(answers.iter().map(|a| &a.body), page),
            }))
        }
    }
}

/// The end of a request without a success.
///
/// A server's own failure is handed on as it is. Where nothing ran, the refusal may say so.
fn fail(now: Instant, run: &mut Run) -> Outcome {
    let failures = run.parts.iter_mut().filter_map(|p| p.answer.take());
    if !run.route.is_scatter()
        && let Some(answer) = { failures }.find(|a| may_pass_on(a))
    {
        return Outcome::Relayed(answer);
    }
    if !run.may_have_run() {
        return Outcome::Refused(RefuseReason::Overload, Some(BUSY_RETRY));
    }
    if now >= run.answer_by {
        return Outcome::Failed(FailReason::Late);
    }
    Outcome::Failed(FailReason::Failed)
}

/// Whether a server's failure may be handed on as it is.
///
/// Guards against a promise that nobody can keep: these statuses say that the request has not run and
/// never will, and this server has run it. A success without a stamp is no answer at all.
fn may_pass_on(answer: &ServerAnswer) -> bool {
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    !answer.status.is_success() && !promises.contains(&answer.status)
}
