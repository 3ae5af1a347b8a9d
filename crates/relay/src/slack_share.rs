//! This VM's share of the extra attempts that are allowed in addition to the ratio.
//!
//! All VMs divide this slack, each by the list of VMs that it knows. Shares change hands as VMs
//! start, stop or begin to run fan-outs, and a new holder cannot know what the previous one has
//! used in the same window. A larger share therefore counts only after a whole window: in any
//! window, a VM uses no more than its share at the window's beginning, and the shares of all VMs at
//! that moment add up to the slack.
//!
//! The list of VMs at the end of that window has to confirm the share. The first list of a VM may
//! name few others, or none, if the whole fleet starts.

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
    /// Sets the share that is in force from now on; older shares are kept as long as the last list
    /// of VMs needs them.
    pub(crate) fn set(&mut self, now: Instant, window: Duration, listed_at: Instant, share: f64) {
        let is_past = |next: &(Instant, f64)| next.0 + window <= listed_at;
        while self.changes.get(1).is_some_and(is_past) {
            self.changes.pop_front();
        }
        if self.changes.back().is_none_or(|(_, last)| *last != share) {
            self.changes.push_back((now, share));
        }
    }

    /// Returns the smallest share that was in force at any time since a window before the last list
    /// of VMs.
    pub(crate) fn usable(&self, listed_at: Instant, window: Duration) -> f64 {
        let is_older = |at: Instant| at + window <= listed_at;
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
        let shares = &self.connection_shares;
        let (for_shards, for_others) = (shares.shard_slack_share(), shares.other_slack_share());
        self.set_slack_shares(now, for_shards, for_others);
        self.slack_listed_at = self.vms_listed_at;
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
        let listed_at = self
            .slack_listed_at
            .filter(|_| !self.has_listing_expired(now));
        listed_at.map_or(0.0, |at| {
            self.options.extra_slack * share.usable(at, self.options.extra_window)
        })
    }

    /// Renews this VM's shares of the slack with a new list of VMs.
    ///
    /// Once the others may have removed this VM from their lists, they divide the slack without it,
    /// so it has no share until the next list.
    pub(crate) fn renew_slack(&mut self, now: Instant) {
        if self.has_listing_expired(now) {
            self.set_slack_shares(now, 0.0, 0.0);
        }
        let vms = self.peer_vms.vms().len();
        self.vms_listed_at = Some(now);
        self.listed_until = Some(now + listing_validity(self.options.renewal_interval, vms));
    }

    fn set_slack_shares(&mut self, now: Instant, for_shards: f64, for_others: f64) {
        let window = self.options.extra_window;
        let listed_at = self.vms_listed_at.unwrap_or(now);
        self.shard_slack.set(now, window, listed_at, for_shards);
        self.other_slack.set(now, window, listed_at, for_others);
    }

    fn has_listing_expired(&self, now: Instant) -> bool {
        self.listed_until.is_none_or(|until| until <= now)
    }
}
