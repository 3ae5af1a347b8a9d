//! Time as an interface: decisions get `now` passed in, shells ask a [`Clock`].

mod manual;
mod system;

use std::time::Instant;
use std::time::SystemTime;

pub use manual::ManualClock;
pub use system::SystemClock;

/// Tells the time.
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
