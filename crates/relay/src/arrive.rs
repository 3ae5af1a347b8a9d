//! A request arrives: its route, its time, its parts.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::action::Action;
use crate::event::Arrival;
use crate::event::Handed;
use crate::gave_up::GivenUp;
use crate::outcome::Ending;
use crate::outcome::Outcome;
use crate::outcome::RefuseReason;
use crate::relay::Core;
use crate::request::CallerRequest;
use crate::route::Route;
use crate::route::Target;
use crate::run::Part;
use crate::run::Run;
use crate::split;

/// The part of a request's time that is kept for its final word to get to the caller.
const LAST_WORD_PART: u32 = 20;

/// The most time kept for it: two ways between regions.
const LAST_WORD_MAX: Duration = Duration::from_millis(30);

impl Core {
    /// Takes a request on and begins it, or refuses it at once.
    pub(crate) fn arrive(
        &mut self,
        now: Instant,
        arrival: Arrival,
        out: &mut Vec<Action>,
    ) -> Option<Box<Run>> {
        self.counters.arrivals += 1;
        let Arrival { seq, req, handed } = arrival;
        let mut run = match self.take_on(now, seq, req, handed) {
            Ok(run) => run,
            Err((reason, retry_after)) => {
                self.refuse(seq, reason, retry_after, out);
                return None;
            }
        };
        let checked = self.check_reach(now, &run);
        if let Err((reason, retry_after)) = checked.and_then(|()| self.check_room(now, &run)) {
            self.refuse(seq, reason, retry_after, out);
            return None;
        }
        self.begin(now, &mut run, out);
        if self.settle(now, &mut run, out) {
            return None;
        }
        Some(run)
    }

    fn take_on(
        &mut self,
        now: Instant,
        seq: LookupSeq,
        req: CallerRequest,
        handed: Option<Handed>,
    ) -> Result<Box<Run>, (RefuseReason, Option<Duration>)> {
        let route = self.find(&req)?;
        self.check_quarantine(now, &req)?;
        self.check_load()?;
        let mut run = self.prepare(now, seq, req, route);
        let Some(handed) = handed else {
            return Ok(run);
        };
        // Parts of two versions' shards must not meet on one page.
        if handed.route != run.route.fingerprint() {
            return Err((RefuseReason::OtherRoute, None));
        }
        run.objective_at = (now + handed.on_time).min(run.answer_by);
        run.only = Some(handed.shards);
        run.hops = handed.hops;
        run.answer_by = run.answer_by.min(now + handed.latest);
        run.parts_min = 0;
        run.parts_wanted = handed.least.min(run.only.as_ref().map_or(0, Vec::len));
        Ok(run)
    }

    fn find(&self, req: &CallerRequest) -> Result<Arc<Route>, (RefuseReason, Option<Duration>)> {
        let Some(table) = &self.table else {
            let retry = if self.reach.is_in() {
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
    ) -> Box<Run> {
        let patience = req.patience.map_or(route.timeout, |p| p.min(route.timeout));
        let last_word = (patience / LAST_WORD_PART).min(LAST_WORD_MAX);
        let on_time = route.objective.saturating_sub(self.options.answer_margin);
        let answer_by = now + patience.saturating_sub(last_word);
        Box::new(Run {
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
            patience,
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
        let ending = Ending {
            outcome: Outcome::Refused(reason, retry_after),
            took: Duration::ZERO,
            objective: Duration::ZERO,
            parts: (0, 0),
            given_up: GivenUp::default(),
            extra: 0,
            route: None,
            version: self.table.as_ref().map(|t| t.version()),
            trail: Vec::new(),
        };
        out.push(Action::Answer(seq, Box::new(ending)));
    }
}

/// When a VM that has just started is worth asking again; it has its routes within 100 ms.
const STARTING_RETRY: Duration = Duration::from_millis(250);

/// When it is if the register is away; outages take seconds, and most callers ask only once more.
const OUTAGE_RETRY: Duration = Duration::from_secs(3);
