//! Detects that this process was paused, and postpones the timers that expired meanwhile.
//!
//! A VM may be frozen, or have used up its share of a core, while answers arrive. When it
//! continues, all timers have expired and the answers have yet to be read: pages would be returned
//! without them, and every attempt in flight would be hedged.

use std::time::Duration;
use std::time::Instant;

/// Delay of a wake-up from which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(50);

/// How long timers that expired during a pause are postponed, in which the received answers are
/// read.
const PAUSE_GRACE: Duration = Duration::from_millis(20);

/// Returns how long to continue reading after a wake-up at `now` that was due at `due`; `None` if
/// it was on time.
///
/// It is for races between a timer and an answer: after a pause both are ready, and the timer is
/// seen first.
#[must_use]
pub fn pause_grace(due: Instant, now: Instant) -> Option<Duration> {
    let late = now.saturating_duration_since(due);
    (late > PAUSE_THRESHOLD).then_some(PAUSE_GRACE)
}

/// A pause of this process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessPause {
    /// When the process continued.
    ended_at: Instant,
}

impl ProcessPause {
    /// Returns the pause that a wake-up at `now` shows if it was requested for `requested`; `None`
    /// if it shows none.
    pub(crate) fn detect(requested: Option<Instant>, now: Instant) -> Option<Self> {
        pause_grace(requested?, now).map(|_| Self { ended_at: now })
    }

    /// Returns the end of the grace period, until which expired timers may be postponed.
    pub(crate) fn grace_end(&self) -> Instant {
        self.ended_at + PAUSE_GRACE
    }

    /// Returns when a timer set for `at` expires: those that expired during the pause are postponed
    /// by the grace period.
    pub(crate) fn postpone(&self, at: Instant) -> Instant {
        if at <= self.ended_at {
            self.grace_end()
        } else {
            at
        }
    }
}
