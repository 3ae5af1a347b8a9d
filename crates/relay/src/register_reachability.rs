//! Whether the register, from which routes and servers are known, is in reach.

use std::time::Duration;
use std::time::Instant;

/// How long after an outage a vanished entry may still be one that lapsed meanwhile. Those are missing from
/// the first list after it; what vanishes later was taken away.
const LAPSE_WINDOW: Duration = Duration::from_millis(1500);

/// Whether the register is in reach, and since when.
#[derive(Debug)]
pub(crate) struct RegisterReachability {
    is_in: bool,
    regained: Option<Instant>,
}

impl RegisterReachability {
    /// In reach, before anything else is known.
    pub(crate) fn new() -> Self {
        Self {
            is_in: true,
            regained: None,
        }
    }

    pub(crate) fn set(&mut self, now: Instant, is_in: bool) {
        if is_in && !self.is_in {
            self.regained = Some(now);
        }
        self.is_in = is_in;
    }

    pub(crate) fn is_in(&self) -> bool {
        self.is_in
    }

    /// Whether an entry that vanishes now may be that of a live server, lapsed in an outage.
    pub(crate) fn may_have_lapsed(&self, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        !self.is_in || self.regained.is_some_and(|at| since(at) < LAPSE_WINDOW)
    }
}
