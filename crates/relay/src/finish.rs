//! Finishes requests: sends the final response and releases what they held.

use std::time::Duration;
use std::time::Instant;

use http::StatusCode;

use crate::abandon::AbandonCounts;
use crate::abandon::AbandonReason;
use crate::action::Action;
use crate::active_request::ActiveRequest;
use crate::active_request::Part;
use crate::active_request::PartState;
use crate::attempt_log::attempt_log;
use crate::attempt_origin::AttemptOrigin;
use crate::bundle::BUNDLE_PART_NUMBER;
use crate::completion::CompletionDecision;
use crate::completion::RequestProgress;
use crate::completion::decide_completion;
use crate::merge::best_records;
use crate::orphan::OrphanedAttempt;
use crate::outcome::FailReason;
use crate::outcome::MissingPart;
use crate::outcome::Outcome;
use crate::outcome::Page;
use crate::outcome::RefuseReason;
use crate::outcome::RequestReport;
use crate::possible_servers::PossibleServers;
use crate::relay::Core;
use crate::reply::ServerAnswer;
use crate::route::Target;

/// When to retry a request that no server accepted: a server's queue empties in that time.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Core {
    /// Stops a request whose caller disconnected, as its result is no longer needed.
    pub(crate) fn on_caller_disconnect(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        out: &mut Vec<Action>,
    ) -> bool {
        self.counters.gone += 1;
        self.judge_fan_out(now, request, out);
        let live = request.attempts_in_flight();
        out.extend(live.into_iter().map(|(id, _)| Action::Cancel(id)));
        self.release(request);
        true
    }

    /// Answers a request if it is done; returns `true` if it is.
    pub(crate) fn finish_if_done(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        out: &mut Vec<Action>,
    ) -> bool {
        let progress = RequestProgress {
            parts: request.parts.len(),
            complete: request.complete,
            abandoned: request.abandoned,
            parts_min: request.parts_min,
            parts_wanted: request.parts_wanted,
            objective_at: self.postpone_for_pause(request.objective_at),
            answer_by: request.answer_by,
        };
        let outcome = match decide_completion(now, &progress) {
            CompletionDecision::Wait => return false,
            CompletionDecision::Deliver => self.success_outcome(request),
            CompletionDecision::Fail => failure_outcome(now, request),
        };
        self.send_response(now, request, outcome, out);
        true
    }

    /// Returns a time of the request, postponed if it passed during a pause of this process.
    fn postpone_for_pause(&self, at: Instant) -> Instant {
        self.process_pause.map_or(at, |s| s.postpone(at))
    }

    /// Sends the only response to a request's caller.
    pub(crate) fn send_response(
        &mut self,
        now: Instant,
        request: &mut ActiveRequest,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let took = now.saturating_duration_since(request.arrived_at);
        self.count_outcome(request, took, &outcome);
        self.judge_fan_out(now, request, out);
        self.remember_executed(now, request);
        let is_plain = match &outcome {
            Outcome::Page(p) => p.missing.is_empty() && took <= request.route.objective,
            Outcome::Relayed(a) => a.status.is_success() && took <= request.route.objective,
            Outcome::Refused(..) | Outcome::Failed(_) => false,
        };
        let report = RequestReport {
            attempt_log: if is_plain {
                Vec::new()
            } else {
                attempt_log(request, &self.servers)
            },
            route: Some(request.route.name.clone()),
            version: self.table.as_ref().map(|t| t.version()),
            outcome,
            took,
            objective: request.route.objective,
            parts: (request.complete, request.parts.len()),
            abandoned: AbandonCounts::of(request.parts.iter().filter_map(|p| p.abandon_reason)),
            extra: request.extra_attempts,
            resent: request.resent_attempts,
            rejected: request.rejected_attempts,
        };
        out.push(Action::Answer(request.seq, Box::new(report)));
        self.release(request);
    }

    fn success_outcome(&self, request: &mut ActiveRequest) -> Outcome {
        let Target::Scatter(scatter) = &request.route.target else {
            let answer = request.parts.iter_mut().find_map(|p| p.answer.take());
            return answer.map_or(Outcome::Failed(FailReason::Failed), Outcome::Relayed);
        };
        let is_complete = |p: &&Part| p.state == PartState::Complete;
        let answers = request
            .parts
            .iter()
            .filter(is_complete)
            .filter_map(|p| p.answer.as_ref());
        let pages = request.bundles.iter().filter_map(|b| b.page.as_ref());
        let own = answers.clone().filter_map(|a| a.stamp.clone());
        let others = pages.clone().flat_map(|p| p.stamps.iter().cloned());
        let bodies = answers.map(|a| &a.body).chain(pages.map(|p| &p.body));
        let missing = request.parts.iter().filter(|p| !is_complete(p));
        Outcome::Page(Box::new(Page {
            stamps: own.chain(others).collect(),
            missing: missing.map(|p| self.missing_part(p)).collect(),
            body: best_records(bodies, scatter.page),
        }))
    }

    /// Describes a part without an answer to the peer that requested it.
    fn missing_part(&self, part: &Part) -> MissingPart {
        let mut possible_servers = part.possible_servers.clone();
        if part.state == PartState::Bundled {
            possible_servers = PossibleServers::Unknown;
        }
        for attempt in part.attempts.iter().filter(|a| a.may_have_run()) {
            let view = self.servers.get(attempt.server);
            possible_servers.add(view.map(|v| v.entry.name.clone()));
        }
        MissingPart {
            shard: part.shard,
            possible_servers,
        }
    }

    fn count_outcome(&mut self, request: &ActiveRequest, took: Duration, outcome: &Outcome) {
        match outcome {
            Outcome::Failed(_) => self.counters.failed += 1,
            Outcome::Refused(..) => self.counters.refused += 1,
            _ if took > request.route.objective => self.counters.late += 1,
            Outcome::Page(p) if !p.missing.is_empty() => self.counters.partial += 1,
            _ => {}
        }
    }

    /// Releases what a request held. Its attempts in flight continue, so that their connections
    /// stay usable.
    fn release(&mut self, request: &mut ActiveRequest) {
        self.cancel_check(request);
        self.quarantine.end_trial(request.fingerprint, request.seq);
        for index in 0..request.parts.len() {
            if matches!(request.parts[index].state, PartState::Waiting(_)) {
                self.dequeue(request, index);
            }
        }
        for (id, a) in request.attempts_in_flight() {
            let orphan = OrphanedAttempt {
                server: a.server,
                dispatched_at: a.dispatched_at,
                route: request.route.name.clone(),
                origin: (id.part != BUNDLE_PART_NUMBER).then(|| AttemptOrigin::of(request)),
            };
            self.orphaned_attempts.insert(id, orphan);
        }
    }
}

/// Returns the outcome of a request without a success.
///
/// A server's own failure is forwarded unchanged. If nothing was executed, for example because
/// every server refused, the request is refused as for overload, which allows the caller to retry.
fn failure_outcome(now: Instant, request: &mut ActiveRequest) -> Outcome {
    let failures = request.parts.iter_mut().filter_map(|p| p.answer.take());
    if !request.route.is_scatter()
        && let Some(answer) = { failures }.find(|a| may_be_forwarded(a))
    {
        return Outcome::Relayed(answer);
    }
    if !request.may_have_run() {
        let retry = request.retry_after.unwrap_or(BUSY_RETRY_AFTER);
        let is_quarantined = |p: &Part| p.abandon_reason == Some(AbandonReason::Quarantined);
        let reason = match request.parts.iter().any(is_quarantined) {
            true => RefuseReason::Quarantined,
            false => RefuseReason::Overload,
        };
        return Outcome::Refused(reason, Some(retry));
    }
    if now >= request.answer_by {
        return Outcome::Failed(FailReason::Late);
    }
    Outcome::Failed(FailReason::Failed)
}

/// Returns whether a server's failure may be forwarded unchanged.
///
/// The listed statuses state that the request was not executed and never will be, which is not true
/// as this server has executed it. A success without a stamp does not count as an answer.
fn may_be_forwarded(answer: &ServerAnswer) -> bool {
    let not_executed = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    !answer.status.is_success() && !not_executed.contains(&answer.status)
}
