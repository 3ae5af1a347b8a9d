//! Handles the arrival of a request: finds its route, admits or refuses it, and sets its time
//! limits.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::abandon::AbandonCounts;
use crate::action::Action;
use crate::active_request::ActiveRequest;
use crate::active_request::Part;
use crate::event::Arrival;
use crate::event::DelegatedParts;
use crate::outcome::Outcome;
use crate::outcome::RefuseReason;
use crate::outcome::RequestReport;
use crate::relay::Core;
use crate::request::CallerRequest;
use crate::route::Route;
use crate::route::Target;
use crate::split;

/// Divisor of a request's timeout that gives the time reserved for the final response to reach the
/// caller.
const RESPONSE_MARGIN_DIVISOR: u32 = 20;

/// The longest time reserved for the final response: two one-way latencies between regions.
const RESPONSE_MARGIN_MAX: Duration = Duration::from_millis(30);

impl Core {
    /// Admits a request and starts it, or refuses it immediately.
    pub(crate) fn on_arrival(
        &mut self,
        now: Instant,
        arrival: Arrival,
        out: &mut Vec<Action>,
    ) -> Option<Box<ActiveRequest>> {
        self.counters.arrivals += 1;
        let Arrival {
            seq,
            req,
            delegated,
        } = arrival;
        let (mut request, is_trial) = match self.admit(now, seq, req, delegated) {
            Ok(admitted) => admitted,
            Err((reason, retry_after)) => {
                self.refuse(seq, reason, retry_after, out);
                return None;
            }
        };
        let checked = self
            .check_ends_before_shutdown(now, &request)
            .and_then(|()| self.check_servers_reachable(now, &request))
            .and_then(|()| self.check_expected_latency(now, &request));
        if let Err((reason, retry_after)) = checked {
            self.refuse(seq, reason, retry_after, out);
            return None;
        }
        if is_trial {
            self.quarantine.start_trial(request.fingerprint, seq);
        }
        self.start_request(now, &mut request, out);
        if self.finish_if_done(now, &mut request, out) {
            return None;
        }
        Some(request)
    }

    /// Admits a request; returns `true` with it if it is tried on probation.
    fn admit(
        &mut self,
        now: Instant,
        seq: LookupSeq,
        req: CallerRequest,
        delegated: Option<DelegatedParts>,
    ) -> Result<(Box<ActiveRequest>, bool), (RefuseReason, Option<Duration>)> {
        let route = self.find_route(&req)?;
        let is_trial = self.check_quarantine(now, req.fingerprint())?;
        self.check_in_flight()?;
        let mut request = self.new_request(now, seq, req, route);
        let Some(delegated) = delegated else {
            return Ok((request, is_trial));
        };
        // A page must not combine parts of the shards of two route versions.
        if delegated.route != request.route.fingerprint() {
            return Err((RefuseReason::OtherRoute, None));
        }
        request.objective_at = (now + delegated.on_time).min(request.answer_by);
        request.shards_wanted = Some(delegated.shards);
        request.hops = delegated.hops;
        request.answer_by = request.answer_by.min(now + delegated.latest);
        request.parts_min = 0;
        request.parts_wanted = delegated
            .parts_wanted
            .min(request.shards_wanted.as_ref().map_or(0, Vec::len));
        Ok((request, is_trial))
    }

    fn find_route(
        &self,
        req: &CallerRequest,
    ) -> Result<Arc<Route>, (RefuseReason, Option<Duration>)> {
        let Some(table) = &self.table else {
            let retry = if self.register_reachability.is_reachable() {
                STARTING_RETRY_AFTER
            } else {
                OUTAGE_RETRY_AFTER
            };
            return Err((RefuseReason::NotReady, Some(retry)));
        };
        let found = table.find(&req.host, &req.path).cloned();
        found.ok_or((RefuseReason::NoRoute, None))
    }

    fn new_request(
        &mut self,
        now: Instant,
        seq: LookupSeq,
        req: CallerRequest,
        route: Arc<Route>,
    ) -> Box<ActiveRequest> {
        let caller_timeout = req
            .caller_timeout
            .map_or(route.timeout, |p| p.min(route.timeout));
        let caller_timeout = self.limit_to_shutdown(now, caller_timeout);
        let response_margin = (caller_timeout / RESPONSE_MARGIN_DIVISOR).min(RESPONSE_MARGIN_MAX);
        let on_time = route.objective.saturating_sub(self.options.answer_margin);
        let answer_by = now + caller_timeout.saturating_sub(response_margin);
        Box::new(ActiveRequest {
            seq,
            fingerprint: req.fingerprint(),
            req,
            shards_wanted: None,
            hops: 0,
            parts_min: route.parts_min(),
            parts_wanted: route.parts_min(),
            bundles: SmallVec::new(),
            parts: Vec::new(),
            arrived_at: now,
            objective_at: (now + on_time).min(answer_by),
            answer_by,
            caller_timeout,
            route,
            complete: 0,
            abandoned: 0,
            held: 0,
            extra_attempts: 0,
            resent_attempts: 0,
            rejected_attempts: 0,
            executed_without_crash: false,
            unanswered: Vec::new(),
            timer: None,
            retry_after: None,
        })
    }

    /// Creates the parts of a request on a route, restricted to the given shards if there are any.
    ///
    /// On a split route each call draws the service at random.
    pub(crate) fn create_parts(&mut self, route: &Route, shards: Option<&[u16]>) -> Vec<Part> {
        let services = match &route.target {
            Target::One(weighted) => {
                let chosen = split::choose_service(weighted, &mut self.rng);
                return chosen
                    .map(|s| Part::new(0, s.clone()))
                    .into_iter()
                    .collect();
            }
            Target::Scatter(s) => &s.shards,
        };
        let all = services.iter().enumerate();
        let parts = all.map(|(n, service)| Part::new(n as u16, service.clone()));
        match shards {
            None => parts.collect(),
            Some(shards) => parts.filter(|p| shards.contains(&p.shard)).collect(),
        }
    }

    fn refuse(
        &mut self,
        seq: LookupSeq,
        reason: RefuseReason,
        retry_after: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        self.counters.refused += 1;
        let report = RequestReport {
            outcome: Outcome::Refused(reason, retry_after),
            took: Duration::ZERO,
            objective: Duration::ZERO,
            parts: (0, 0),
            abandoned: AbandonCounts::default(),
            extra: 0,
            resent: 0,
            rejected: 0,
            route: None,
            version: self.table.as_ref().map(|t| t.version()),
            attempt_log: Vec::new(),
        };
        out.push(Action::Answer(seq, Box::new(report)));
    }
}

/// When to retry on a VM that has just started; it has its routes within 100 ms.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(250);

/// When to retry on a VM without routes while the register is unreachable: outages last for
/// seconds, and most callers retry only once.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(3);
