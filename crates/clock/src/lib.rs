//! Time as an interface: decisions get `now` passed in, shells ask a [`Clock`].

mod manual;
mod system;

use std::time::Instant;
use std::time::SystemTime;

pub use manual::ManualClock;
pub use system::SystemClock;

/// Tells the time.
///
/// Pass it to whatever has to ask for the time by itself: [`SystemClock`] in a process,
/// [`ManualClock`] in a test. A decision gets `now` as an argument and needs no clock.
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
    /// The monotonic time, for durations and timers.
    fn now(&self) -> Instant;

    /// The time of day, for ids and claim windows only; it may jump.
    fn wall(&self) -> SystemTime;
}

/// The time of day in seconds since the Unix epoch; 0 before it.
#[must_use]
pub fn unix_seconds(clock: &dyn Clock) -> u64 {
    clock
        .wall()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}
