//! Shutdown of the process: every request gets its final response in time to be written before the
//! process ends.
//!
//! A request in flight is ended at that time as at its own timeout. One that arrives later and cannot be
//! expected to end by then is refused, so that its caller can retry on another VM: no server has executed
//! it, which nobody could tell once it was sent.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::active_request::ActiveRequest;
use crate::outcome::RefuseReason;
use crate::relay::Core;
use crate::relay::Relay;
use crate::route::Target;

/// Time that a request must have left, as a multiple of its expected time: execution times vary, and one
/// that is cut off costs its caller more than a retry.
const REPEATABLE_TIME_RATIO: u32 = 2;

/// The same for a request that may be executed only once: its caller cannot retry it after it was sent.
const ONCE_TIME_RATIO: u32 = 4;

/// When to retry a request that was refused for the shutdown; another VM can serve it at once.
pub const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The time from the final responses until this VM, or another that is stopped together with it, serves again.
const RESTART_TIME: Duration = Duration::from_secs(1);

impl Relay {
    /// Limits the time of all requests, present and later ones.
    pub(crate) fn on_shut_down(&mut self, answer_by: Instant) {
        self.core.shutdown_at = Some(answer_by);
        for request in self.requests.values_mut() {
            request.answer_by = request.answer_by.min(answer_by);
            request.objective_at = request.objective_at.min(request.answer_by);
            self.core.schedule_check(request, answer_by);
        }
    }
}

impl Core {
    /// Returns how long a request may take that arrives now, given how long its caller waits.
    pub(crate) fn limit_to_shutdown(&self, now: Instant, caller_timeout: Duration) -> Duration {
        match self.shutdown_at {
            Some(at) => caller_timeout.min(at.saturating_duration_since(now)),
            None => caller_timeout,
        }
    }

    /// Refuses a request that cannot be expected to end before the process does.
    pub(crate) fn check_ends_before_shutdown(
        &mut self,
        now: Instant,
        request: &ActiveRequest,
    ) -> Result<(), (RefuseReason, Option<Duration>)> {
        let Some(shutdown_at) = self.shutdown_at else {
            return Ok(());
        };
        let ratio = match request.is_once() {
            true => ONCE_TIME_RATIO,
            false => REPEATABLE_TIME_RATIO,
        };
        let expected = self.expected_time(now, request).unwrap_or_default();
        if now + expected * ratio < shutdown_at {
            return Ok(());
        }
        let retry_after = match self.has_other_vms() {
            true => SHUTDOWN_RETRY_AFTER,
            false => shutdown_at.saturating_duration_since(now) + RESTART_TIME,
        };
        let retry_after = self.with_jitter(retry_after);
        Err((RefuseReason::ShuttingDown, Some(retry_after)))
    }

    /// Returns whether another VM is announced; VMs that shut down withdraw their announcements.
    fn has_other_vms(&self) -> bool {
        let mut vms = self.peer_vms.vms().iter();
        vms.any(|vm| vm.name != self.options.vm)
    }

    /// Returns the expected time of a request; `None` if no part of it has an estimate.
    fn expected_time(&mut self, now: Instant, request: &ActiveRequest) -> Option<Duration> {
        self.route_times(&request.route);
        match &request.route.target {
            Target::Scatter(scatter) => self.expected_page_time(now, request, &scatter.shards),
            Target::One(weighted) => {
                let services: Vec<ServiceName> =
                    weighted.iter().map(|w| w.service.clone()).collect();
                let times = services.iter().filter_map(|service| {
                    let waiting = self.services.get(service).map_or(0, |s| s.waiting.len());
                    self.placement_context(now, request)
                        .expected_part_time(service, waiting)
                });
                times.max()
            }
        }
    }
}
