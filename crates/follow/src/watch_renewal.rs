//! How long a direct VM trusts a watch of the register without an answer.
//!
//! The register may lose a watch without closing its connection: it was silent as the watch began, or the answer was
//! lost. Reads show this late or not at all, as they may return old data. Only an answer proves that the register had the
//! watch, so a watch is short and is begun again once its answer is overdue.

use std::time::Duration;

/// The time that a watch waits for a change, as a fraction of the time that a removed server continues to serve.
const WATCH_WAIT_FRACTION: f64 = 1.0;

/// The same for the watch that follows a change. Changes come in series, and a VM that misses one of them for longer
/// would query a server that has left.
const SERIES_WATCH_WAIT_FRACTION: f64 = 0.4;

/// How long after a change the next watch follows it, as a fraction of the same time; longer than changes are coalesced.
const SERIES_FRACTION: f64 = 0.5;

/// The least and the greatest wait of a watch. Each watch is a call that is paid for; a lost one has to be begun again
/// before a disturbance of the register no longer excuses late changes.
const WATCH_WAIT_RANGE: (Duration, Duration) =
    (Duration::from_secs(1), Duration::from_millis(4500));

/// How long after its wait a watch may be answered before it is overdue.
const WATCH_ANSWER_GRACE: Duration = Duration::from_millis(250);

/// How long watches of the register wait, and when they are overdue.
///
/// ```
/// use std::time::Duration;
/// use gs_follow::WatchRenewal;
///
/// let renewal = WatchRenewal::new(Duration::from_secs(3));
/// assert_eq!(renewal.wait(None), Duration::from_secs(3));
/// assert_eq!(renewal.wait(Some(Duration::from_secs(1))), Duration::from_millis(1200));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchRenewal {
    drain: Duration,
}

impl WatchRenewal {
    /// Creates the times for a site where a removed server continues to serve for `drain`.
    #[must_use]
    pub fn new(drain: Duration) -> Self {
        Self { drain }
    }

    /// Returns how long the next watch waits, if the latest change arrived this long ago.
    #[must_use]
    pub fn wait(self, since_change: Option<Duration>) -> Duration {
        let series = self.drain.mul_f64(SERIES_FRACTION);
        let fraction = match since_change {
            Some(since) if since < series => SERIES_WATCH_WAIT_FRACTION,
            _ => WATCH_WAIT_FRACTION,
        };
        let (wait_min, wait_max) = WATCH_WAIT_RANGE;
        self.drain.mul_f64(fraction).clamp(wait_min, wait_max)
    }

    /// Returns how long after its begin a watch that waits for `wait` is overdue.
    #[must_use]
    pub fn overdue_after(wait: Duration) -> Duration {
        wait + WATCH_ANSWER_GRACE
    }
}
