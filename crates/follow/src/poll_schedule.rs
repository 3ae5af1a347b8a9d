//! Schedules polls of the list of VMs, and the heartbeats between them.

use std::time::Duration;
use std::time::Instant;

/// The delays before the first polls, each counted from the poll before. All VMs of a fleet that starts together
/// have announced themselves by the second poll; those of a fleet that restarts are still listed from before.
const FIRST_POLL_DELAYS: [Duration; 4] = [
    Duration::from_millis(10),
    Duration::from_millis(1000),
    Duration::from_millis(1500),
    Duration::from_millis(3000),
];

/// The time from the start of one round to the start of the next. Each round shows whether the register is reachable:
/// a watch that stopped receiving changes in an outage is restarted after it. A watch that is lost in an outage between
/// two rounds is restarted by [`WatchRenewal`](crate::WatchRenewal).
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// The rounds of a VM: each checks whether the register is reachable, and some also poll the list of VMs.
///
/// ```
/// use std::time::{Duration, Instant};
/// use gs_follow::PollSchedule;
///
/// let now = Instant::now();
/// let mut schedule = PollSchedule::new(now, false, Duration::from_secs(10));
/// assert!(schedule.begin_round(now + schedule.time_to_next(now)));
/// ```
#[derive(Clone, Debug)]
pub struct PollSchedule {
    first_delays: std::array::IntoIter<Duration, { FIRST_POLL_DELAYS.len() }>,
    poll_interval: Duration,
    next_poll: Instant,
    round_start: Instant,
}

impl PollSchedule {
    /// Creates the schedule of a process that starts now and polls at `poll_interval` after the first polls.
    ///
    /// At the first start of the fleet, the immediate poll is skipped: few VMs would be listed yet.
    #[must_use]
    pub fn new(now: Instant, first_start: bool, poll_interval: Duration) -> Self {
        let mut first_delays = FIRST_POLL_DELAYS.into_iter();
        if first_start {
            first_delays.next();
        }
        let delay = first_delays.next().unwrap_or(poll_interval);
        Self {
            first_delays,
            poll_interval,
            next_poll: now + delay,
            round_start: now,
        }
    }

    /// Returns the time until the next round; zero if it is already due, as after a long round.
    #[must_use]
    pub fn time_to_next(&self, now: Instant) -> Duration {
        let next = self.next_poll.min(self.round_start + HEARTBEAT_INTERVAL);
        next.saturating_duration_since(now)
    }

    /// Begins a round; returns `true` if the list is to be polled in it.
    pub fn begin_round(&mut self, now: Instant) -> bool {
        self.round_start = now;
        now >= self.next_poll
    }

    /// Polls the list within `delay` from now.
    pub fn poll_within(&mut self, now: Instant, delay: Duration) {
        self.next_poll = self.next_poll.min(now + delay);
    }

    /// Records that the list was polled in this round, and schedules the next poll.
    ///
    /// After a poll that did not succeed, the next round polls again.
    pub fn on_list_polled(&mut self, succeeded: bool) {
        let delay = if succeeded {
            self.first_delays.next().unwrap_or(self.poll_interval)
        } else {
            HEARTBEAT_INTERVAL
        };
        self.next_poll = self.round_start + delay;
    }
}
