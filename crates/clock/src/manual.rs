//! A clock that moves only when told, for tests and replays.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::Clock;

/// A clock that moves only when told.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    wall: SystemTime,
    passed: Mutex<Duration>,
}

impl ManualClock {
    /// Starts at this time of day.
    #[must_use]
    pub fn starting_at(wall: SystemTime) -> Self {
        Self {
            start: Instant::now(),
            wall,
            passed: Mutex::new(Duration::ZERO),
        }
    }

    /// Moves both clocks forward.
    pub fn advance(&self, by: Duration) {
        *self.passed.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }

    fn passed(&self) -> Duration {
        *self.passed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.passed()
    }

    fn wall(&self) -> SystemTime {
        self.wall + self.passed()
    }
}
