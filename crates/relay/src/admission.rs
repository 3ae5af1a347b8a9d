//! What is refused at arrival.
//!
//! The load it answers: so many servers lost that no page can come to its least coverage, or more
//! requests than the servers can run. What is known to fail is refused at once, before anything of it
//! runs, and told when to come back.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use rand::RngExt;

use crate::active_request::ActiveRequest;
use crate::outcome::RefuseReason;
use crate::placement::Placement;
use crate::relay::Core;
use crate::request::CallerRequest;
use crate::route::Target;

/// The least time to come back after a refusal: sooner, nothing can have changed.
const RETRY_MIN: Duration = Duration::from_millis(50);

/// The time to come back if it is not known when a server will be there again.
const RETRY_USUAL: Duration = Duration::from_millis(500);

/// Fan-outs in flight below which none is turned away for its expected time, so that estimates that have
/// grown too large are corrected by what comes.
const IN_FLIGHT_FREE: usize = 2;

/// How many times its expected time the last part that is needed takes: work varies by a third, and of many
/// parts nearly all must be in.
const SPREAD: f64 = 1.2;

/// The part of the time to the objective that each rank below the highest may be expected to take: where there
/// is room for some only, it goes to those of the higher rank.
const RANK_PART: f64 = 0.9;

/// Ranks beyond this are all alike.
const RANKS_MAX: u8 = 4;

/// The bounds of the time to come back when there is no room: queues of this length empty within it.
const ROOM_RETRY_MIN: Duration = Duration::from_millis(250);
const ROOM_RETRY_MAX: Duration = Duration::from_millis(800);

/// By how much times to come back are spread, so that those refused together do not return together.
const RETRY_SPREAD: f64 = 0.5;

impl Core {
    /// Refuses a request that crashes servers.
    pub(crate) fn check_quarantine(
        &mut self,
        now: Instant,
        req: &CallerRequest,
    ) -> Result<(), (RefuseReason, Option<Duration>)> {
        if self.suspects.is_empty() {
            return Ok(());
        }
        match self.suspects.quarantined_for(now, req.fingerprint()) {
            None => Ok(()),
            Some(rest) => Err((RefuseReason::Quarantined, Some(rest))),
        }
    }

    /// Refuses a request if too much is in flight here to hold it.
    pub(crate) fn check_in_flight(&mut self) -> Result<(), (RefuseReason, Option<Duration>)> {
        if self.in_flight >= self.options.lookups_max {
            return Err((RefuseReason::Overload, Some(self.spread(RETRY_USUAL))));
        }
        Ok(())
    }

    /// Refuses a request that cannot come to an answer, as too few of its parts have a server.
    pub(crate) fn check_servers_reachable(
        &mut self,
        now: Instant,
        request: &ActiveRequest,
    ) -> Result<(), (RefuseReason, Option<Duration>)> {
        let Some(back_at) = self.out_of_reach(now, request) else {
            return Ok(());
        };
        let retry = back_at.map_or(RETRY_USUAL, |at| at.saturating_duration_since(now));
        let retry = self.spread(retry.max(RETRY_MIN));
        Err((RefuseReason::NoServer, Some(retry)))
    }

    /// Refuses a fan-out too few of whose parts are expected in time, as the queues before them are long.
    ///
    /// The load it answers: callers that come several times as often as the servers can serve, and come again.
    /// Taken on, each page would be late, and make the next ones late; turned away at once, those that are
    /// taken on are on time and the others may come back.
    pub(crate) fn check_expected_latency(
        &mut self,
        now: Instant,
        request: &ActiveRequest,
    ) -> Result<(), (RefuseReason, Option<Duration>)> {
        let Target::Scatter(scatter) = &request.route.target else {
            return Ok(());
        };
        let is_part_of_one = request
            .only
            .as_ref()
            .is_some_and(|o| o.len() < scatter.shards.len());
        // Before anything is learned of a route, a guess must not turn its first callers away.
        let is_learned = self.times(&request.route).is_learned();
        if is_part_of_one || !is_learned || self.in_flight < IN_FLIGHT_FREE {
            return Ok(());
        }
        let Some(expected) = self.expected_page(now, request, &scatter.shards) else {
            return Ok(());
        };
        let room = request.objective_at.saturating_duration_since(now);
        let rank = u32::from(request.route.priority.min(RANKS_MAX));
        if expected.mul_f64(SPREAD) <= room.mul_f64(RANK_PART.powi(rank as i32)) {
            return Ok(());
        }
        let retry = (expected - room.min(expected)).clamp(ROOM_RETRY_MIN, ROOM_RETRY_MAX);
        Err((RefuseReason::Overload, Some(self.spread(retry))))
    }

    /// When the last of the parts that make an answer is expected; `None` if nothing is known of them.
    ///
    /// Shards that this VM leaves to others are taken to be like those that it asks itself.
    fn expected_page(
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

    /// Whether too few parts have a server to come to an answer, and until when if that is known.
    fn out_of_reach(&mut self, now: Instant, request: &ActiveRequest) -> Option<Option<Instant>> {
        let route = Arc::clone(&request.route);
        self.times(&route);
        let mut reached = 0;
        let mut back_at: Option<Instant> = None;
        for part in self.parts_of(&route, request.only.as_deref()) {
            match self.placement_context(now, request).choose_server(&part) {
                Placement::Now(..) | Placement::Wait => reached += 1,
                Placement::Nowhere(until) => back_at = soonest(back_at, until),
            }
        }
        (reached < request.parts_min).then_some(back_at)
    }

    fn spread(&mut self, retry: Duration) -> Duration {
        retry.mul_f64(1.0 + self.rng.random::<f64>() * RETRY_SPREAD)
    }
}

fn soonest(a: Option<Instant>, b: Option<Instant>) -> Option<Instant> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
