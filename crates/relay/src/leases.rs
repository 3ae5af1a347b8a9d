//! Decides which announced VMs have expired.
//!
//! VMs lose power or are removed without notice regularly. If their announcements stayed in the
//! list, each would take its share of the servers' connections and of the extra attempts, and after
//! some weeks nothing would be left for the live VMs.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

/// Interval of renewals per listed VM, so that all VMs together make at most five writes per
/// second.
const RENEWAL_INTERVAL_PER_VM: Duration = Duration::from_millis(200);

/// Length of a lease in renewal intervals: an outage of the platform may cause one or two renewals
/// to be missed.
const LEASE_INTERVALS: f64 = 3.5;

/// The longest time between two polls of the list of VMs. A VM renews its announcement at a poll.
const LIST_POLL_INTERVAL_MAX: Duration = Duration::from_secs(10);

/// The longest interval between two checks over which leases count. After a longer one the platform
/// was unreachable or this process was paused, and the other VMs may have renewed or may have been
/// unable to.
const CHECK_GAP_MAX: Duration = Duration::from_secs(30);

/// Additional delay of each further VM, in the order of names, before it removes an announcement,
/// so that normally one VM makes the call instead of all.
const REMOVAL_STAGGER: Duration = Duration::from_secs(10);

/// Returns the interval at which each of the given number of VMs renews its announcement; at least
/// `interval_min`.
#[must_use]
pub fn renewal_interval(interval_min: Duration, vms: usize) -> Duration {
    RENEWAL_INTERVAL_PER_VM
        .mul_f64(vms as f64)
        .max(interval_min)
}

/// Returns the time between two polls of the list of VMs after the first ones, of which several fall
/// between two renewals. An added VM waits at most this long for its share.
#[must_use]
pub fn list_poll_interval(interval_min: Duration) -> Duration {
    LIST_POLL_INTERVAL_MAX.min(interval_min / 2)
}

/// Returns for how long a list of VMs shows that the others list this one: its last renewal may be
/// an interval and a poll older than the list.
pub(crate) fn listing_validity(interval_min: Duration, vms: usize) -> Duration {
    let validity = renewal_interval(interval_min, vms).mul_f64(LEASE_INTERVALS - 1.0);
    validity.saturating_sub(list_poll_interval(interval_min))
}

/// An announcement as listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedAnnouncement {
    /// The VM.
    pub vm: VmId,
    /// Revision that changes with each renewal.
    pub revision: Revision,
}

/// Result of checking the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseCheck {
    /// VMs whose lease has expired.
    pub expired: Vec<VmId>,
    /// Those of them whose announcement this VM is to remove, provided that it still has this
    /// revision.
    pub remove: Vec<ListedAnnouncement>,
}

/// When the announcement of each VM last changed, as seen by this VM.
#[derive(Debug)]
pub struct Leases {
    renewal_interval_min: Duration,
    seen_revisions: HashMap<VmId, SeenRevision>,
    checked_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct SeenRevision {
    revision: Revision,
    seen_at: Instant,
}

impl Leases {
    /// Creates the state without any announcements; VMs renew every `renewal_interval_min`, or less
    /// often if there are many.
    #[must_use]
    pub fn new(renewal_interval_min: Duration) -> Self {
        Self {
            renewal_interval_min,
            seen_revisions: HashMap::new(),
            checked_at: None,
        }
    }

    /// Checks the current list; `me` never counts as expired.
    pub fn check(&mut self, now: Instant, me: &VmId, listed: &[ListedAnnouncement]) -> LeaseCheck {
        let is_gap = |at: Instant| now.saturating_duration_since(at) > CHECK_GAP_MAX;
        if self.checked_at.replace(now).is_none_or(is_gap) {
            self.seen_revisions.clear();
        }
        let lease =
            renewal_interval(self.renewal_interval_min, listed.len()).mul_f64(LEASE_INTERVALS);
        let mut seen = HashMap::with_capacity(listed.len());
        for l in listed {
            let before = self
                .seen_revisions
                .get(&l.vm)
                .filter(|s| s.revision == l.revision);
            let fresh = SeenRevision {
                revision: l.revision,
                seen_at: now,
            };
            seen.insert(l.vm.clone(), before.copied().unwrap_or(fresh));
        }
        self.seen_revisions = seen;
        let age = |l: &ListedAnnouncement| {
            now.saturating_duration_since(self.seen_revisions[&l.vm].seen_at)
        };
        let is_expired = |l: &&ListedAnnouncement| l.vm != *me && age(l) >= lease;
        let live_before = listed.iter().filter(|l| !is_expired(l) && l.vm < *me);
        let position = u32::try_from(live_before.count()).unwrap_or(u32::MAX);
        let wait = lease.saturating_add(REMOVAL_STAGGER.saturating_mul(position));
        let expired: Vec<&ListedAnnouncement> = listed.iter().filter(is_expired).collect();
        let due = expired.iter().filter(|l| age(l) >= wait);
        LeaseCheck {
            remove: due.map(|l| (*l).clone()).collect(),
            expired: expired.iter().map(|l| l.vm.clone()).collect(),
        }
    }
}
