//! The queue of rumours that are still to be sent.

use std::collections::BTreeMap;

use gs_types::prelude::*;

/// How often each change is sent, in multiples of the binary logarithm of the number of VMs.
const RETRANSMIT_FACTOR: u32 = 3;

/// The VMs whose state changed recently, and how often each change was sent since.
#[derive(Debug, Default)]
pub(crate) struct RumourQueue {
    times_sent: BTreeMap<VmId, u32>,
}

impl RumourQueue {
    /// Adds a VM whose state changed.
    pub(crate) fn add(&mut self, vm: &VmId) {
        self.times_sent.insert(vm.clone(), 0);
    }

    /// Returns up to `max` VMs to send rumours about now, those sent least often first.
    ///
    /// The cost of a heartbeat does not depend on the number of VMs, and a change most likely
    /// reaches all VMs after a number of heartbeats that grows with the logarithm of their number.
    pub(crate) fn take_next(&mut self, max: usize, vms: usize) -> Vec<VmId> {
        let sends_wanted = RETRANSMIT_FACTOR * (usize::BITS - vms.leading_zeros());
        let mut all: Vec<_> = self
            .times_sent
            .iter()
            .map(|(vm, n)| (*n, vm.clone()))
            .collect();
        all.sort();
        all.truncate(max);
        for (n, vm) in &all {
            if n + 1 >= sends_wanted {
                self.times_sent.remove(vm);
            } else {
                self.times_sent.insert(vm.clone(), n + 1);
            }
        }
        all.into_iter().map(|(_, vm)| vm).collect()
    }
}
