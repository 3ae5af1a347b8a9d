//! Whether this process stood still, and what is left alone for a moment afterwards.
//!
//! The load it answers: a VM that is frozen, or whose share of a core is used up, while answers come. All timers
//! are due then, and the answers have yet to be read: its pages would leave without them, and everything under way be
//! asked for a second time.

use std::time::Duration;
use std::time::Instant;

/// How late a wake-up is that shows a stand-still.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(50);

/// How long what fell due in a stand-still is left alone, in which the answers that came are read.
const PAUSE_GRACE: Duration = Duration::from_millis(20);

/// How long to go on reading after a wake-up at `now` that was due at `due`; `None` if it was on time.
///
/// Use it where a timer and an answer race: after a stand-still both are there, and the timer is seen first.
#[must_use]
pub fn pause_grace(due: Instant, now: Instant) -> Option<Duration> {
    let late = now.saturating_duration_since(due);
    (late > PAUSE_THRESHOLD).then_some(PAUSE_GRACE)
}

/// A stand-still of this process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessPause {
    /// When the process went on.
    over: Instant,
}

impl ProcessPause {
    /// The stand-still that a wake-up at `now` shows that was asked for `asked`; `None` if it shows none.
    pub(crate) fn detect(asked: Option<Instant>, now: Instant) -> Option<Self> {
        pause_grace(asked?, now).map(|_| Self { over: now })
    }

    /// When something is due that was due at `at`: what fell due in the stand-still is put off a little.
    pub(crate) fn postpone(&self, at: Instant) -> Instant {
        if at <= self.over {
            self.over + PAUSE_GRACE
        } else {
            at
        }
    }
}
