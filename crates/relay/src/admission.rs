//! Admission checks of an arriving request.
//!
//! They handle the loss of so many servers that no page can reach its minimum coverage, and more
//! requests than the servers can execute. A request that is known to fail is refused immediately,
//! before any server executes a part of it, with a time after which to retry.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use rand::RngExt;

use crate::active_request::ActiveRequest;
use crate::outcome::RefuseReason;
use crate::placement::Placement;
use crate::quarantine::QuarantineStatus;
use crate::relay::Core;
use crate::route::Target;

/// The shortest time after which a refused caller is to retry; nothing can have changed earlier.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// The time after which to retry if it is not known when a server will be available again.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(500);

/// Requests in flight below which no fan-out is refused for its expected latency, so that an
/// estimate that has grown too high is corrected by new samples.
const LATENCY_CHECK_IN_FLIGHT_MIN: usize = 2;

/// Ratio of the time of the last part that is needed to the expected time of a part: execution
/// times vary by a third, and nearly all of many parts are needed.
const LAST_PART_TIME_RATIO: f64 = 1.2;

/// Fraction of the time to the objective that a request may be expected to take, raised to the
/// power of its priority value: if only some requests can be on time, those of higher priority are
/// admitted.
const OBJECTIVE_FRACTION_PER_PRIORITY: f64 = 0.9;

/// Largest priority value that is distinguished; greater values count as this one.
const PRIORITY_MAX: u8 = 4;

/// Bounds of the time after which to retry when a request is refused for its expected latency:
/// queues of that length empty within it.
const LATENCY_RETRY_AFTER_MIN: Duration = Duration::from_millis(250);
const LATENCY_RETRY_AFTER_MAX: Duration = Duration::from_millis(800);

/// Largest fraction by which retry times are randomly extended, so that callers refused together do
/// not return together.
const RETRY_JITTER: f64 = 0.5;

impl Core {
    /// Refuses a request that is in quarantine because it crashes servers; returns `true` if it is
    /// on probation, so that no other one like it may run meanwhile.
    pub(crate) fn check_quarantine(
        &mut self,
        now: Instant,
        request: Fingerprint,
    ) -> Result<bool, (RefuseReason, Option<Duration>)> {
        if self.quarantine.is_empty() {
            return Ok(false);
        }
        match self.quarantine_status(now, request) {
            QuarantineStatus::Clear => Ok(false),
            QuarantineStatus::Trial => Ok(true),
            QuarantineStatus::Refused(retry_after) => {
                self.counters.quarantined += 1;
                Err((RefuseReason::Quarantined, Some(retry_after)))
            }
        }
    }

    /// Refuses a request if the maximum number of requests is in flight in this process.
    pub(crate) fn check_in_flight(&mut self) -> Result<(), (RefuseReason, Option<Duration>)> {
        if self.in_flight >= self.options.lookups_max {
            return Err((
                RefuseReason::Overload,
                Some(self.with_jitter(RETRY_AFTER_DEFAULT)),
            ));
        }
        Ok(())
    }

    /// Refuses a request that cannot be answered because too few of its parts have an available
    /// server.
    pub(crate) fn check_servers_reachable(
        &mut self,
        now: Instant,
        request: &ActiveRequest,
    ) -> Result<(), (RefuseReason, Option<Duration>)> {
        let Some(retry_at) = self.unreachable_until(now, request) else {
            return Ok(());
        };
        let retry = retry_at.map_or(RETRY_AFTER_DEFAULT, |at| at.saturating_duration_since(now));
        let retry = self.with_jitter(retry.max(RETRY_AFTER_MIN));
        Err((RefuseReason::NoServer, Some(retry)))
    }

    /// Refuses a fan-out too few of whose parts are expected in time because of the queues ahead of
    /// them.
    ///
    /// This handles callers that send several times as many requests as the servers can execute,
    /// and retry. If all were admitted, each page would be late and would delay the following ones;
    /// with the excess refused immediately, the admitted requests are on time and the other callers
    /// can retry.
    pub(crate) fn check_expected_latency(
        &mut self,
        now: Instant,
        request: &ActiveRequest,
    ) -> Result<(), (RefuseReason, Option<Duration>)> {
        let Target::Scatter(scatter) = &request.route.target else {
            return Ok(());
        };
        let is_partial = request
            .shards_wanted
            .as_ref()
            .is_some_and(|o| o.len() < scatter.shards.len());
        // The initial estimate of a route must not cause its first callers to be refused.
        let is_learned = self.route_times(&request.route).is_learned();
        if is_partial || !is_learned || self.in_flight < LATENCY_CHECK_IN_FLIGHT_MIN {
            return Ok(());
        }
        let Some(expected) = self.expected_page_time(now, request, &scatter.shards) else {
            return Ok(());
        };
        let time_to_objective = request.objective_at.saturating_duration_since(now);
        let priority = u32::from(request.route.priority.min(PRIORITY_MAX));
        if expected.mul_f64(LAST_PART_TIME_RATIO)
            <= time_to_objective.mul_f64(OBJECTIVE_FRACTION_PER_PRIORITY.powi(priority as i32))
        {
            return Ok(());
        }
        let retry = (expected - time_to_objective.min(expected))
            .clamp(LATENCY_RETRY_AFTER_MIN, LATENCY_RETRY_AFTER_MAX);
        Err((RefuseReason::Overload, Some(self.with_jitter(retry))))
    }

    /// Returns the expected time of the last part needed for an answer; `None` if no part has an
    /// estimate.
    ///
    /// Delegated shards are assumed to be like those that this VM queries itself.
    pub(crate) fn expected_page_time(
        &self,
        now: Instant,
        request: &ActiveRequest,
        shards: &[ServiceName],
    ) -> Option<Duration> {
        let placement_context = self.placement_context(now, request);
        let mut known: Vec<Duration> = Vec::with_capacity(shards.len());
        for (n, shard) in shards.iter().enumerate() {
            if self.is_delegated(&request.route, n) {
                continue;
            }
            let waiting = self.services.get(shard).map_or(0, |s| s.waiting.len());
            known.extend(placement_context.expected_part_time(shard, waiting));
        }
        if known.is_empty() {
            return None;
        }
        let needed = request.route.parts_min() as f64 / shards.len() as f64;
        let at = ((known.len() as f64 * needed).ceil() as usize).clamp(1, known.len()) - 1;
        let (_, last, _) = known.select_nth_unstable(at);
        Some(*last)
    }

    /// Returns `Some` if too few parts have an available server for an answer, with the time at
    /// which the next server becomes available, if that is known.
    ///
    /// On a split route the service is drawn here and again when the request starts.
    fn unreachable_until(
        &mut self,
        now: Instant,
        request: &ActiveRequest,
    ) -> Option<Option<Instant>> {
        let route = Arc::clone(&request.route);
        self.route_times(&route);
        let mut reachable = 0;
        let mut retry_at: Option<Instant> = None;
        for part in self.create_parts(&route, request.shards_wanted.as_deref()) {
            match self.placement_context(now, request).choose_server(&part) {
                Placement::Now(..) | Placement::Wait => reachable += 1,
                Placement::Unavailable(available_at) => {
                    retry_at = earliest_known(retry_at, available_at)
                }
            }
        }
        (reachable < request.parts_min).then_some(retry_at)
    }

    pub(crate) fn with_jitter(&mut self, retry: Duration) -> Duration {
        retry.mul_f64(1.0 + self.rng.random::<f64>() * RETRY_JITTER)
    }
}

fn earliest_known(a: Option<Instant>, b: Option<Instant>) -> Option<Instant> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
