//! Tracks whether the register, the source of routes and servers, is reachable.

use std::time::Duration;
use std::time::Instant;

/// How long after an outage a missing entry may be one that lapsed during it. Lapsed entries are
/// missing from the first list after the outage; those that disappear later were removed.
const LAPSE_WINDOW: Duration = Duration::from_millis(1500);

/// Whether the register is reachable, and since when.
#[derive(Debug)]
pub(crate) struct RegisterReachability {
    is_reachable: bool,
    reachable_since: Option<Instant>,
}

impl RegisterReachability {
    /// Creates the state; the register counts as reachable until the first event about it.
    pub(crate) fn new() -> Self {
        Self {
            is_reachable: true,
            reachable_since: None,
        }
    }

    pub(crate) fn set_reachable(&mut self, now: Instant, is_reachable: bool) {
        if is_reachable && !self.is_reachable {
            self.reachable_since = Some(now);
        }
        self.is_reachable = is_reachable;
    }

    pub(crate) fn is_reachable(&self) -> bool {
        self.is_reachable
    }

    /// Returns whether an entry that is missing now may be that of a live server and lapsed during
    /// an outage.
    pub(crate) fn may_have_lapsed(&self, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        !self.is_reachable
            || self
                .reachable_since
                .is_some_and(|at| since(at) < LAPSE_WINDOW)
    }
}
