//! Which of the VMs that are announced still live.
//!
//! The load it answers: VMs that lose power or are taken away without a word, day after day. Each one left
//! in the list would take its part of the servers' connections and of the extra attempts with it, and after
//! some weeks nothing would be left for those that live.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

/// The time between two renewals for each VM that is listed, so that all of them together make five writes a
/// second at the most.
const RENEW_PER_VM: Duration = Duration::from_millis(200);

/// Renewals missed before a VM counts as gone: an outage of the platform may swallow one or two.
const MISSED: f64 = 3.5;

/// The time between two looks beyond which what lies between is not counted: the platform was away, or this
/// process stood still, and the others may have renewed or been kept from it.
const GAP_MAX: Duration = Duration::from_secs(30);

/// How much longer each further VM, in the order of their names, waits before it removes an announcement, so
/// that one removal is one call and not one from every VM.
const REMOVAL_STAGGER: Duration = Duration::from_secs(10);

/// How often a VM among so many renews its announcement, `least` at the most.
#[must_use]
pub fn renewal_interval(least: Duration, vms: usize) -> Duration {
    RENEW_PER_VM.mul_f64(vms as f64).max(least)
}

/// An announcement as it was listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The VM.
    pub vm: VmId,
    /// Changes with each renewal.
    pub revision: u64,
}

/// What a look at the list shows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseCheck {
    /// VMs whose lease is over.
    pub expired: Vec<VmId>,
    /// Those of them whose announcement this VM is to remove, if it is still at this revision.
    pub remove: Vec<Listed>,
}

/// When the announcement of each VM changed last, as far as this VM has seen.
#[derive(Debug)]
pub struct Leases {
    renew_least: Duration,
    seen: HashMap<VmId, Seen>,
    looked: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    revision: u64,
    at: Instant,
}

impl Leases {
    /// Starts without having seen any; VMs renew every `renew_least`, or less often if they are many.
    #[must_use]
    pub fn new(renew_least: Duration) -> Self {
        Self {
            renew_least,
            seen: HashMap::new(),
            looked: None,
        }
    }

    /// Takes in the list as it is now; `me` never counts as gone.
    pub fn check(&mut self, now: Instant, me: &VmId, listed: &[Listed]) -> LeaseCheck {
        let is_gap = |at: Instant| now.saturating_duration_since(at) > GAP_MAX;
        if self.looked.replace(now).is_none_or(is_gap) {
            self.seen.clear();
        }
        let lease = renewal_interval(self.renew_least, listed.len()).mul_f64(MISSED);
        let mut seen = HashMap::with_capacity(listed.len());
        for l in listed {
            let before = self.seen.get(&l.vm).filter(|s| s.revision == l.revision);
            let fresh = Seen {
                revision: l.revision,
                at: now,
            };
            seen.insert(l.vm.clone(), before.copied().unwrap_or(fresh));
        }
        self.seen = seen;
        let age = |l: &Listed| now.saturating_duration_since(self.seen[&l.vm].at);
        let is_gone = |l: &&Listed| l.vm != *me && age(l) >= lease;
        let live_before = listed.iter().filter(|l| !is_gone(l) && l.vm < *me);
        let turn = u32::try_from(live_before.count()).unwrap_or(u32::MAX);
        let wait = lease.saturating_add(REMOVAL_STAGGER.saturating_mul(turn));
        let gone: Vec<&Listed> = listed.iter().filter(is_gone).collect();
        let due = gone.iter().filter(|l| age(l) >= wait);
        LeaseCheck {
            remove: due.map(|l| (*l).clone()).collect(),
            expired: gone.iter().map(|l| l.vm.clone()).collect(),
        }
    }
}
