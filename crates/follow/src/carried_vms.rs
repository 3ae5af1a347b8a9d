//! VMs that a restored store no longer lists because their announcements were written after its copy.
//!
//! If the others forgot them until they have announced themselves again, each VM would take the connections and the
//! extra attempts of all that it does not know.

use std::time::Duration;
use std::time::Instant;

use gs_relay::PeerVm;
use gs_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// Time per VM over which VMs announce themselves again, so that all together make at most fifty writes per second.
const REANNOUNCEMENT_INTERVAL_PER_VM: Duration = Duration::from_millis(20);

/// How much longer VMs are carried than their announcements are spread: they poll a list every ten seconds, which may
/// be that of a peer, and the others poll theirs as often.
const CARRY_MARGIN: Duration = Duration::from_secs(30);

/// Returns the time over which the given number of VMs announce themselves again.
fn reannouncement_spread(vms: usize) -> Duration {
    REANNOUNCEMENT_INTERVAL_PER_VM.mul_f64(vms as f64)
}

/// Returns how long after a restore a VM checks whether it is still announced.
#[must_use]
pub fn reannouncement_delay(vm: &VmId, vms: usize) -> Duration {
    let fraction = xxh3_64(vm.as_str().as_bytes()) as f64 / u64::MAX as f64;
    reannouncement_spread(vms).mul_f64(fraction)
}

/// VMs that were live before the store was restored and are not listed again yet.
#[derive(Debug, Default)]
pub struct CarriedVms {
    era: Option<StoreEra>,
    /// The VMs returned last.
    live: Vec<PeerVm>,
    carried: Vec<PeerVm>,
    carry_until: Option<Instant>,
}

impl CarriedVms {
    /// Returns the live VMs of a list and those that the list may lack because the store was restored.
    pub fn complete(&mut self, now: Instant, era: StoreEra, listed: Vec<PeerVm>) -> Vec<PeerVm> {
        let is_restored = self.era.replace(era).is_some_and(|known| known != era);
        if is_restored {
            self.carried = std::mem::take(&mut self.live);
            self.carry_until = Some(now + CARRY_MARGIN + reannouncement_spread(self.carried.len()));
        }
        if self.carry_until.is_none_or(|until| now >= until) {
            self.carried.clear();
        }
        self.carried
            .retain(|vm| !listed.iter().any(|l| l.name == vm.name));
        let mut live = listed;
        live.extend(self.carried.iter().cloned());
        self.live.clone_from(&live);
        live
    }
}
