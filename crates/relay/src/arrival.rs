//! A request arrives: its route, its time, its parts.

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

/// The part of a request's time that is kept for its final word to get to the caller.
const LAST_WORD_PART: u32 = 20;

/// The most time kept for it: two ways between regions.
const LAST_WORD_MAX: Duration = Duration::from_millis(30);

impl Core {
    /// Takes a request on and begins it, or refuses it at once.
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
        let mut request = match self.take_on(now, seq, req, delegated) {
            Ok(request) => request,
            Err((reason, retry_after)) => {
                self.refuse(seq, reason, retry_after, out);
                return None;
            }
        };
        let checked = self.check_servers_reachable(now, &request);
        if let Err((reason, retry_after)) =
            checked.and_then(|()| self.check_expected_latency(now, &request))
        {
            self.refuse(seq, reason, retry_after, out);
            return None;
        }
        self.begin(now, &mut request, out);
        if self.finish_if_done(now, &mut request, out) {
            return None;
        }
        Some(request)
    }

    fn take_on(
        &mut self,
        now: Instant,
        seq: LookupSeq,
        req: CallerRequest,
        delegated: Option<DelegatedParts>,
    ) -> Result<Box<ActiveRequest>, (RefuseReason, Option<Duration>)> {
        let route = self.find(&req)?;
        self.check_quarantine(now, &req)?;
        self.check_in_flight()?;
        let mut request = self.prepare(now, seq, req, route);
        let Some(delegated) = delegated else {
            return Ok(request);
        };
        // Parts of two versions' shards must not meet on one page.
        if delegated.route != request.route.fingerprint() {
            return Err((RefuseReason::OtherRoute, None));
        }
        request.objective_at = (now + delegated.on_time).min(request.answer_by);
        request.only = Some(delegated.shards);
        request.hops = delegated.hops;
        request.answer_by = request.answer_by.min(now + delegated.latest);
        request.parts_min = 0;
        request.parts_wanted = delegated
            .parts_wanted
            .min(request.only.as_ref().map_or(0, Vec::len));
        Ok(request)
    }

    fn find(&self, req: &CallerRequest) -> Result<Arc<Route>, (RefuseReason, Option<Duration>)> {
        let Some(table) = &self.table else {
            let retry = if self.register_reachability.is_in() {
                STARTING_RETRY
            } else {
                OUTAGE_RETRY
            };
            return Err((RefuseReason::NotReady, Some(retry)));
        };
        let found = table.find(&req.host, &req.path).cloned();
        found.ok_or((RefuseReason::NoRoute, None))
    }

    fn prepare(
        &mut self,
        now: Instant,
        seq: LookupSeq,
        req: CallerRequest,
        route: Arc<Route>,
    ) -> Box<ActiveRequest> {
        let caller_timeout = req
            .caller_timeout
            .map_or(route.timeout, |p| p.min(route.timeout));
        let last_word = (caller_timeout / LAST_WORD_PART).min(LAST_WORD_MAX);
        let on_time = route.objective.saturating_sub(self.options.answer_margin);
        let answer_by = now + caller_timeout.saturating_sub(last_word);
        Box::new(ActiveRequest {
            seq,
            req,
            only: None,
            hops: 0,
            parts_min: route.parts_min(),
            parts_wanted: route.parts_min(),
            bundles: SmallVec::new(),
            parts: Vec::new(),
            arrived: now,
            objective_at: (now + on_time).min(answer_by),
            answer_by,
            caller_timeout,
            route,
            whole: 0,
            missing: 0,
            extra: 0,
            survived: false,
            timer: None,
            retry_after: None,
        })
    }

    /// The parts of a request on a route; with `only`, those of these shards.
    pub(crate) fn parts_of(&mut self, route: &Route, only: Option<&[u16]>) -> Vec<Part> {
        let shards = match &route.target {
            Target::One(services) => {
                let picked = split::pick(services, &mut self.rng);
                return picked
                    .map(|s| Part::new(0, s.clone()))
                    .into_iter()
                    .collect();
            }
            Target::Scatter(s) => &s.shards,
        };
        let all = shards.iter().enumerate();
        let parts = all.map(|(n, service)| Part::new(n as u16, service.clone()));
        match only {
            None => parts.collect(),
            Some(only) => parts.filter(|p| only.contains(&p.shard)).collect(),
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
            route: None,
            version: self.table.as_ref().map(|t| t.version()),
            attempt_log: Vec::new(),
        };
        out.push(Action::Answer(seq, Box::new(report)));
    }
}

/// When a VM that has just started is worth asking again; it has its routes within 100 ms.
const STARTING_RETRY: Duration = Duration::from_millis(250);

/// When it is if the register is away; outages take seconds, and most callers ask only once more.
const OUTAGE_RETRY: Duration = Duration::from_secs(3);
