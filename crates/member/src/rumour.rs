//! What is worth telling others.

use std::collections::BTreeMap;

use gs_types::prelude::*;

/// Each piece of news is told this many times the binary logarithm of the number of VMs.
const SPREAD: u32 = 3;

/// The VMs whose state changed lately, and how often each was told of since.
#[derive(Debug, Default)]
pub(crate) struct News {
    told: BTreeMap<VmId, u32>,
}

impl News {
    /// Notes that something about a VM changed.
    pub(crate) fn add(&mut self, vm: &VmId) {
        self.told.insert(vm.clone(), 0);
    }

    /// Takes the VMs to tell of now, those told of least first, at most `max`.
    ///
    /// What is told costs the same however many VMs there are, and after a number of heartbeats
    /// that grows as the logarithm of their number everyone has most likely heard it.
    pub(crate) fn take(&mut self, max: usize, vms: usize) -> Vec<VmId> {
        let enough = SPREAD * (usize::BITS - vms.leading_zeros());
        let mut all: Vec<_> = self.told.iter().map(|(vm, n)| (*n, vm.clone())).collect();
        all.sort();
        all.truncate(max);
        for (n, vm) in &all {
            if n + 1 >= enough {
                self.told.remove(vm);
            } else {
                self.told.insert(vm.clone(), n + 1);
            }
        }
        all.into_iter().map(|(_, vm)| vm).collect()
    }
}
