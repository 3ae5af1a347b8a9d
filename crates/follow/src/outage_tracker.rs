//! Tracks outages of the register that are long enough for entries of live servers to lapse.
//!
//! An outage is a gap between two answers of the register, to whichever VM. A failed call is not enough: it may also
//! fail because this VM is partitioned, while the servers renew their entries as usual.

use std::time::Duration;
use std::time::Instant;

/// The shortest outage in which an entry lapses: servers renew their entries every 1.2 s, and an entry lapses after
/// three such intervals, of which one may have passed before the outage.
const LAPSE_OUTAGE_MIN: Duration = Duration::from_millis(2400);

/// How long the register has been answering without an outage, as this VM and the peers that it followed observed.
///
/// ```
/// use std::time::{Duration, Instant};
/// use gs_follow::OutageTracker;
///
/// let start = Instant::now();
/// let mut tracker = OutageTracker::default();
/// tracker.on_answer(start);
/// tracker.on_answer(start + Duration::from_secs(2));
/// assert_eq!(tracker.stable_for(start + Duration::from_secs(2)), Duration::from_secs(2));
/// tracker.on_answer(start + Duration::from_secs(7));
/// assert_eq!(tracker.stable_for(start + Duration::from_secs(8)), Duration::from_secs(1));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageTracker {
    last_answer: Option<Instant>,
    /// The end of the last outage; at first, the first answer, as what was before it is unknown.
    stable_since: Option<Instant>,
}

impl OutageTracker {
    /// Records that the register answered this VM.
    pub fn on_answer(&mut self, now: Instant) {
        let is_outage = self
            .last_answer
            .is_none_or(|last| now.saturating_duration_since(last) >= LAPSE_OUTAGE_MIN);
        if is_outage {
            self.stable_since = Some(now);
        }
        self.last_answer = self.last_answer.max(Some(now));
    }

    /// Records what the followed peer reports: when the register answered it, and since when without an outage.
    ///
    /// The peer has observed the register for longer than this VM has followed it, so its report is taken as it is.
    pub fn on_report(&mut self, answered_at: Instant, stable_since: Instant) {
        self.stable_since = Some(stable_since);
        self.last_answer = self.last_answer.max(Some(answered_at));
    }

    /// Records that the register was restored from an older copy, which lacks entries as after an outage.
    pub fn on_restored(&mut self, now: Instant) {
        self.stable_since = Some(now);
    }

    /// Returns how long the register has been answering without an outage; zero before its first answer.
    #[must_use]
    pub fn stable_for(&self, now: Instant) -> Duration {
        self.stable_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
