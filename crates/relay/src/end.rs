//! How requests end.

use std::time::Duration;
use std::time::Instant;

use http::StatusCode;

use crate::action::Action;
use crate::asked::Asked;
use crate::gave_up::GivenUp;
use crate::merge::best_records;
use crate::outcome::Ending;
use crate::outcome::FailReason;
use crate::outcome::Missing;
use crate::outcome::Outcome;
use crate::outcome::Page;
use crate::outcome::RefuseReason;
use crate::relay::Core;
use crate::reply::ServerAnswer;
use crate::route::Target;
use crate::run::Part;
use crate::run::PartState;
use crate::run::Run;
use crate::trail::trail;
use crate::verdict::Progress;
use crate::verdict::Verdict;
use crate::verdict::verdict;

/// When a request that no server took is worth sending again: a server's queue empties in that time.
const BUSY_RETRY: Duration = Duration::from_millis(100);

impl Core {
    /// The caller hung up: nothing of its request is worth running any more.
    pub(crate) fn caller_gone(
        &mut self,
        now: Instant,
        run: &mut Run,
        out: &mut Vec<Action>,
    ) -> bool {
        self.counters.gone += 1;
        self.judge_run(now, run, out);
        let live = run.live_attempts();
        out.extend(live.into_iter().map(|(id, _)| Action::Cancel(id)));
        self.let_go(run);
        true
    }

    /// Answers a request if it has come to its end; `true` if it has.
    pub(crate) fn settle(&mut self, now: Instant, run: &mut Run, out: &mut Vec<Action>) -> bool {
        let progress = Progress {
            parts: run.parts.len(),
            whole: run.whole,
            missing: run.missing,
            parts_min: run.parts_min,
            parts_wanted: run.parts_wanted,
            objective_at: self.put_off(run.objective_at),
            answer_by: run.answer_by,
        };
        let outcome = match verdict(now, &progress) {
            Verdict::Wait => return false,
            Verdict::Deliver => self.deliver(run),
            Verdict::Fail => fail(now, run),
        };
        self.answer(now, run, outcome, out);
        true
    }

    fn put_off(&self, at: Instant) -> Instant {
        self.standstill.map_or(at, |s| s.put_off(at))
    }

    /// Gives a request's caller its only answer.
    pub(crate) fn answer(
        &mut self,
        now: Instant,
        run: &mut Run,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let took = now.saturating_duration_since(run.arrived);
        self.note_end(run, took, &outcome);
        self.judge_run(now, run, out);
        let is_plain = match &outcome {
            Outcome::Page(p) => p.missing.is_empty() && took <= run.route.objective,
            Outcome::Relayed(a) => a.status.is_success() && took <= run.route.objective,
            Outcome::Refused(..) | Outcome::Failed(_) => false,
        };
        let ending = Ending {
            trail: if is_plain {
                Vec::new()
            } else {
                trail(run, &self.servers)
            },
            route: Some(run.route.name.clone()),
            version: self.table.as_ref().map(|t| t.version()),
            outcome,
            took,
            objective: run.route.objective,
            parts: (run.whole, run.parts.len()),
            given_up: GivenUp::of(run.parts.iter().filter_map(|p| p.gave_up)),
            extra: run.extra,
        };
        out.push(Action::Answer(run.seq, Box::new(ending)));
        self.let_go(run);
    }

    fn deliver(&self, run: &mut Run) -> Outcome {
        let Target::Scatter(scatter) = &run.route.target else {
            let answer = run.parts.iter_mut().find_map(|p| p.answer.take());
            return answer.map_or(Outcome::Failed(FailReason::Failed), Outcome::Relayed);
        };
        let is_whole = |p: &&Part| p.state == PartState::Whole;
        let answers = run
            .parts
            .iter()
            .filter(is_whole)
            .filter_map(|p| p.answer.as_ref());
        let pages = run.bundles.iter().filter_map(|b| b.page.as_ref());
        let own = answers.clone().filter_map(|a| a.stamp.clone());
        let others = pages.clone().flat_map(|p| p.stamps.iter().cloned());
        let bodies = answers.map(|a| &a.body).chain(pages.map(|p| &p.body));
        let missing = run.parts.iter().filter(|p| !is_whole(p));
        Outcome::Page(Box::new(Page {
            stamps: own.chain(others).collect(),
            missing: missing.map(|p| self.missing_part(p)).collect(),
            body: best_records(bodies, scatter.page),
        }))
    }

    /// What is said of a part that is not in, to a peer that asked for it.
    fn missing_part(&self, part: &Part) -> Missing {
        let mut asked = part.elsewhere.clone();
        if part.state == PartState::Bundled {
            asked = Asked::Unknown;
        }
        for attempt in part.attempts.iter().filter(|a| a.may_have_run()) {
            let view = self.servers.get(attempt.server);
            asked.add(view.map(|v| v.entry.name.clone()));
        }
        Missing {
            shard: part.shard,
            asked,
        }
    }

    fn note_end(&mut self, run: &Run, took: Duration, outcome: &Outcome) {
        match outcome {
            Outcome::Failed(_) => self.counters.failed += 1,
            Outcome::Refused(..) => self.counters.refused += 1,
            _ if took > run.route.objective => self.counters.late += 1,
            Outcome::Page(p) if !p.missing.is_empty() => self.counters.partial += 1,
            _ => {}
        }
    }

    /// Forgets a request; its attempts under way are left to end, so that connections stay usable.
    fn let_go(&mut self, run: &mut Run) {
        self.disarm(run);
        for at in 0..run.parts.len() {
            if matches!(run.parts[at].state, PartState::Waiting(_)) {
                self.unqueue(run, at);
            }
        }
        for (id, a) in run.live_attempts() {
            self.orphans
                .insert(id, (a.server, a.at, run.route.name.clone()));
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
        let retry = run.retry_after.unwrap_or(BUSY_RETRY);
        return Outcome::Refused(RefuseReason::Overload, Some(retry));
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
