//! The times of a graceful shutdown, from the signal to the exit.

use std::time::Duration;
use std::time::Instant;

use gs_settings::Shutdown;

/// The longest time for writing the last responses out.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest time for releasing the shares of connections.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(700);

/// The longest time for the end of the process itself, such as the end of its recording.
const EXIT_TIMEOUT: Duration = Duration::from_millis(100);

/// The divisor of the deadline that gives the longest time of each step after the last outcome, so that lookups have
/// most of a short deadline.
const STEP_DIVISOR: u32 = 8;

/// The latest time of each step of a shutdown; their order is that of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// The time until which the process serves in any case, as the balancer still uses it.
    pub serve_until: Instant,
    /// Every lookup has its outcome.
    pub answer_by: Instant,
    /// The responses are written out.
    pub written_by: Instant,
    /// The shares of connections are released.
    pub released_by: Instant,
    /// The process has ended.
    pub exit_by: Instant,
}

impl ShutdownTimes {
    /// Returns the times of a shutdown that starts now.
    #[must_use]
    pub fn new(cfg: &Shutdown, now: Instant) -> Self {
        let step_max = cfg.deadline / STEP_DIVISOR;
        let exit_by = now + cfg.deadline;
        let released_by = exit_by - EXIT_TIMEOUT.min(step_max);
        let written_by = released_by - RELEASE_TIMEOUT.min(step_max);
        let answer_by = written_by - WRITE_TIMEOUT.min(step_max);
        Self {
            serve_until: answer_by.min(now + cfg.lag),
            answer_by,
            written_by,
            released_by,
            exit_by,
        }
    }

    /// Returns until when a release that starts now lasts.
    ///
    /// It is always used in full, so that other VMs hear of the release.
    #[must_use]
    pub fn release_until(&self, now: Instant) -> Instant {
        self.released_by.min(now + RELEASE_TIMEOUT)
    }
}
