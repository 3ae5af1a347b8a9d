//! What is refused at arrival.
//!
//! The load it answers: so many servers lost that no page can come to its least coverage, or more
//! requests than the servers can run. What is known to fail is refused at once, before anything of it
//! runs, and told when to come back.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use crate::outcome::RefuseReason;
use crate::placement::Place;
use crate::relay::Core;
use crate::request::CallerRequest;
use crate::run::Run;

/// The least time to come back after a refusal: sooner, nothing can have changed.
const RETRY_MIN: Duration = Duration::from_millis(50);

/// The time to come back if it is not known when a server will be there again.
const RETRY_USUAL: Duration = Duration::from_millis(500);

/// By how much times to come back are spread, so that those refused together do not return together.
const RETRY_SPREAD: f64 = 0.5;

impl Core {
    /// Refuses a request that crashes servers.
    pub(crate) fn check_quarantine(
        &mut self,
        now: Instant,
        req: &CallerRequest,
    ) -> Result<(), (RefuseReason, Option<Duration>)> {
        if self.suspects.is_calm() {
            return Ok(());
        }
        match self.suspects.refused_for(now, req.fingerprint()) {
            None => Ok(()),
            Some(rest) => Err((RefuseReason::Quarantined, Some(rest))),
        }
    }

    /// Refuses a request if too much is in flight here to hold it.
    pub(crate) fn check_load(&mut self) -> Result<(), (RefuseReason, Option<Duration>)> {
        if self.in_flight >= self.options.lookups_max {
            return Err((RefuseReason::Overload, Some(self.spread(RETRY_USUAL))));
        }
        Ok(())
    }

    /// Refuses a request that cannot come to an answer, as too few of its parts have a server.
    pub(crate) fn check_reach(
        &mut self,
        now: Instant,
        run: &Run,
    ) -> Result<(), (RefuseReason, Option<Duration>)> {
        let Some(back_at) = self.out_of_reach(now, run) else {
            return Ok(());
        };
        let retry = back_at.map_or(RETRY_USUAL, |at| at.saturating_duration_since(now));
        let retry = self.spread(retry.max(RETRY_MIN));
        Err((RefuseReason::NoServer, Some(retry)))
    }

    /// Whether too few parts have a server to come to an answer, and until when if that is known.
    fn out_of_reach(&mut self, now: Instant, run: &Run) -> Option<Option<Instant>> {
        let route = Arc::clone(&run.route);
        self.times(&route);
        let mut reached = 0;
        let mut back_at: Option<Instant> = None;
        for part in self.parts_of(&route, run.only.as_deref()) {
            match self.scene(now, run).place(&part) {
                Place::Now(..) | Place::Wait => reached += 1,
                Place::Nowhere(until) => back_at = soonest(back_at, until),
            }
        }
        (reached < run.parts_min).then_some(back_at)
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
