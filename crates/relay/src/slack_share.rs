//! This VM's share of the extra attempts that are allowed in addition to the ratio.
//!
//! All VMs divide this slack, each by the list of VMs that it knows. Shares change hands as VMs
//! start, stop or begin to run fan-outs, and a new holder cannot know what the previous one has
//! used in the same window. A larger share therefore counts only after a whole window: in any
//! window, a VM uses no more than its share at the window's beginning, and the shares of all VMs at
//! that moment add up to the slack.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use serde::Serialize;

use crate::budget::BudgetUse;
use crate::leases::listing_validity;
use crate::relay::Core;
use crate::relay::Relay;
use crate::service_state::ServiceState;

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

impl Relay {
    /// Returns the extra attempts that this VM may make in a window in addition to the ratio, for
    /// dumps.
    #[must_use]
    pub fn slack(&self, now: Instant) -> SlackDump {
        let core = &self.core;
        SlackDump {
            for_shards: core.slack_of(&core.shard_slack, now),
            for_others: core.slack_of(&core.other_slack, now),
        }
    }

    /// Returns the use of each service's budget of extra attempts, for dumps.
    #[must_use]
    pub fn budgets(&self, now: Instant) -> BTreeMap<&ServiceName, BudgetUse> {
        let usage = |name, state: &ServiceState| {
            let mut budget = state.extra_budget.clone();
            budget.set_slack(self.core.usable_slack(now, name));
            budget.usage(now)
        };
        let services = self.core.services.iter();
        services
            .map(|(name, state)| (name, usage(name, state)))
            .collect()
    }
}

impl Core {
    /// Sets this VM's shares of the slack to those of the current list of VMs.
    pub(crate) fn assign_slack(&mut self, now: Instant) {
        let window = self.options.extra_window;
        let shares = &self.connection_shares;
        self.shard_slack
            .set(now, window, shares.shard_slack_share());
        self.other_slack
            .set(now, window, shares.other_slack_share());
    }

    /// Returns the extra attempts for a service that this VM may make in a window in addition to
    /// the ratio.
    pub(crate) fn usable_slack(&self, now: Instant, service: &ServiceName) -> f64 {
        let share = if self.connection_shares.is_shard(service) {
            &self.shard_slack
        } else {
            &self.other_slack
        };
        self.slack_of(share, now)
    }

    fn slack_of(&self, share: &SlackShare, now: Instant) -> f64 {
        if self.has_listing_expired(now) {
            return 0.0;
        }
        self.options.extra_slack * share.usable(now, self.options.extra_window)
    }

    /// Renews this VM's shares of the slack with a new list of VMs.
    ///
    /// Once the others may have removed this VM from their lists, they divide the slack without it,
    /// so it has no share until the next list.
    pub(crate) fn renew_slack(&mut self, now: Instant) {
        if self.has_listing_expired(now) {
            let window = self.options.extra_window;
            self.shard_slack.set(now, window, 0.0);
            self.other_slack.set(now, window, 0.0);
        }
        let vms = self.peer_vms.vms().len();
        self.listed_until = Some(now + listing_validity(self.options.renewal_interval, vms));
    }

    fn has_listing_expired(&self, now: Instant) -> bool {
        self.listed_until.is_none_or(|until| until <= now)
    }
}
