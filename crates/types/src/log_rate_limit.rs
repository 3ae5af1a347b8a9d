//! How often something that every request could cause is told of.

use std::time::Duration;
use std::time::Instant;

/// Lets so many log lines, or groups of lines, through in a second and counts the others.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use gs_types::log_rate_limit::LogRateLimit;
///
/// let now = Instant::now();
/// let mut limit = LogRateLimit::new(1);
/// assert_eq!(limit.try_acquire(now), Some(0));
/// assert_eq!(limit.try_acquire(now), None);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LogRateLimit {
    per_second: u32,
    second: Option<Instant>,
    taken: u32,
    left_out: u64,
}

impl LogRateLimit {
    /// Lets so many through in a second.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second,
            second: None,
            taken: 0,
            left_out: 0,
        }
    }

    /// Lets one through and gives how many were left out since the last; `None` if it is one too many.
    pub fn try_acquire(&mut self, now: Instant) -> Option<u64> {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self
            .second
            .is_none_or(|at| since(at) >= Duration::from_secs(1))
        {
            self.second = Some(now);
            self.taken = 0;
        }
        if self.taken >= self.per_second {
            self.left_out += 1;
            return None;
        }
        self.taken += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
