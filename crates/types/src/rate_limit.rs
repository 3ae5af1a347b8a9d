//! A rate limit for what every request could cause, such as log lines and messages.

use std::time::Duration;
use std::time::Instant;

/// Admits a fixed number of events per second and counts the suppressed ones.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use gs_types::rate_limit::RateLimit;
///
/// let now = Instant::now();
/// let mut limit = RateLimit::new(1);
/// assert_eq!(limit.try_acquire(now), Some(0));
/// assert_eq!(limit.try_acquire(now), None);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    per_second: u32,
    window_start: Option<Instant>,
    admitted: u32,
    suppressed: u64,
}

impl RateLimit {
    /// Creates a limit of `per_second` events in each window of one second.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second,
            window_start: None,
            admitted: 0,
            suppressed: 0,
        }
    }

    /// Admits one event and returns how many were suppressed since the last admitted one, or
    /// returns `None` if the limit is reached.
    pub fn try_acquire(&mut self, now: Instant) -> Option<u64> {
        let elapsed_since = |at: Instant| now.saturating_duration_since(at);
        if self
            .window_start
            .is_none_or(|at| elapsed_since(at) >= Duration::from_secs(1))
        {
            self.window_start = Some(now);
            self.admitted = 0;
        }
        if self.admitted >= self.per_second {
            self.suppressed += 1;
            return None;
        }
        self.admitted += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
