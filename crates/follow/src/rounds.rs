//! When a VM looks at the list of VMs, and when only whether the register is in reach.

use std::time::Duration;
use std::time::Instant;

/// The times of the first looks, each after the one before. All VMs of a fleet that starts together have
/// announced themselves by the second; those of one that starts again are listed from before.
const FIRST_LOOKS: [Duration; 4] = [
    Duration::from_millis(10),
    Duration::from_millis(1000),
    Duration::from_millis(1500),
    Duration::from_millis(3000),
];

/// The time from the begin of a round to that of the next, each of which shows whether the register is in reach. A
/// watch that an outage has silenced is begun again after it; an outage between two rounds is not seen, and the
/// watch hears of nothing to the end of its time.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// The rounds of a VM. A look at the list of VMs is due in some; all show whether the register is in reach.
///
/// ```
/// use std::time::{Duration, Instant};
/// use gs_follow::Rounds;
///
/// let now = Instant::now();
/// let mut rounds = Rounds::new(now, false, Duration::from_secs(10));
/// assert!(rounds.begin(now + rounds.wait(now)));
/// ```
#[derive(Clone, Debug)]
pub struct Rounds {
    first: std::array::IntoIter<Duration, { FIRST_LOOKS.len() }>,
    look_every: Duration,
    look_at: Instant,
    begun: Instant,
}

impl Rounds {
    /// The rounds of a process that starts now and later looks so often.
    ///
    /// At the first start of all, a look at once would show few of many.
    #[must_use]
    pub fn new(now: Instant, first_start: bool, look_every: Duration) -> Self {
        let mut first = FIRST_LOOKS.into_iter();
        if first_start {
            first.next();
        }
        let wait = first.next().unwrap_or(look_every);
        Self {
            first,
            look_every,
            look_at: now + wait,
            begun: now,
        }
    }

    /// The time until the next round; none if the last one has taken so long.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Duration {
        let next = self.look_at.min(self.begun + HEARTBEAT);
        next.saturating_duration_since(now)
    }

    /// Begins a round; `true` if the list is looked at in it.
    pub fn begin(&mut self, now: Instant) -> bool {
        self.begun = now;
        now >= self.look_at
    }

    /// The list was looked at in this round; if that showed nothing, the next round looks again.
    pub fn looked(&mut self, is_seen: bool) {
        let wait = if is_seen {
            self.first.next().unwrap_or(self.look_every)
        } else {
            HEARTBEAT
        };
        self.look_at = self.begun + wait;
    }
}
