//! This VM's share of the extra attempts that are allowed in addition to the ratio.
//!
//! All VMs divide this slack, each by the list of VMs that it knows. Shares change hands as VMs
//! start, stop or begin to run fan-outs, and a new holder cannot know what the previous one has
//! used in the same window. A larger share therefore counts only after a whole window: in any
//! window, a VM uses no more than its share at the window's beginning, and the shares of all VMs at
//! that moment add up to the slack.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

/// The extra attempts that a VM may make in a window in addition to the ratio, for each service, for
/// dumps.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct SlackDump {
    /// For a shard's service.
    pub for_shards: f64,
    /// For any other service.
    pub for_others: f64,
}

/// The shares of the last window, as fractions of the slack; 0 before the first.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlackShare {
    /// Each share with the time since which it is in force, oldest first.
    changes: VecDeque<(Instant, f64)>,
}

impl SlackShare {
    /// Sets the share that is in force from now on.
    pub(crate) fn set(&mut self, now: Instant, window: Duration, share: f64) {
        let is_past = |next: &(Instant, f64)| next.0 + window <= now;
        while self.changes.get(1).is_some_and(is_past) {
            self.changes.pop_front();
        }
        if self.changes.back().is_none_or(|(_, last)| *last != share) {
            self.changes.push_back((now, share));
        }
    }

    /// Returns the smallest share that was in force at any time of the last window.
    pub(crate) fn usable(&self, now: Instant, window: Duration) -> f64 {
        let is_older = |at: Instant| at + window <= now;
        // The last share that was already in force at the window's beginning counts.
        let Some(first) = self.changes.iter().rposition(|(at, _)| is_older(*at)) else {
            return 0.0;
        };
        let shares = self.changes.range(first..).map(|(_, share)| *share);
        shares.fold(f64::INFINITY, f64::min)
    }
}
