//! A clock that advances only by explicit calls, for tests and replays.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::Clock;

/// A clock that advances only by calls of [`ManualClock::advance`].
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    wall: SystemTime,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock that starts at the given time of day.
    #[must_use]
    pub fn starting_at(wall: SystemTime) -> Self {
        Self {
            start: Instant::now(),
            wall,
            elapsed: Mutex::new(Duration::ZERO),
        }
    }

    /// Advances the monotonic time and the time of day.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        self.wall + self.elapsed()
    }
}
