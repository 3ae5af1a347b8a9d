//! An interface to the clocks, so that tests and replays can set the time.
//!
//! State machines get `now` as an argument; code that does I/O reads a [`Clock`].

mod manual;
mod system;

use std::time::Instant;
use std::time::SystemTime;

pub use manual::ManualClock;
pub use system::SystemClock;

/// A source of the monotonic time and of the time of day.
///
/// Pass it to code that reads the time itself: a [`SystemClock`] in a process, a [`ManualClock`] in a
/// test. A state machine gets `now` as an argument and needs no clock.
///
/// ```
/// use std::time::Duration;
/// use std::time::SystemTime;
///
/// use gs_clock::Clock;
/// use gs_clock::ManualClock;
///
/// let clock = ManualClock::starting_at(SystemTime::UNIX_EPOCH);
/// clock.advance(Duration::from_secs(2));
/// assert_eq!(gs_clock::unix_seconds(&clock), 2);
/// ```
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, for durations and timers.
    fn now(&self) -> Instant;

    /// Returns the time of day, which may jump; for ids and claim windows only.
    fn wall(&self) -> SystemTime;
}

/// Returns the time of day in seconds since the Unix epoch; 0 before it.
#[must_use]
pub fn unix_seconds(clock: &dyn Clock) -> u64 {
    clock
        .wall()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}
