//! The announced VMs, and which of them are strong enough to run fan-outs.
//!
//! Every VM computes the same result from the same list, so no agreement is needed.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::SocketAddr;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Fraction of the most cores and of the fastest link in its region that a VM needs to run
/// fan-outs: with less, assembling a page of 90 parts takes longer than delegating them and
/// receiving the page.
const STRONG_VM_CAPACITY_FRACTION: f64 = 0.5;

/// Ratio of the VMs that may exist to those listed: some may just have been added.
const POSSIBLE_TO_LISTED_VMS_RATIO: f64 = 1.25;

/// Processing and network capacity of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Capacity {
    /// Processor cores, or a fraction of one.
    pub cores: f64,
    /// Link speed in megabits per second.
    pub megabits: f64,
}

/// A VM as it announces itself to the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PeerVm {
    /// Its name.
    pub name: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The region of its data centre.
    pub region: Region,
    /// Address where it accepts delegated parts.
    pub addr: SocketAddr,
    /// Its capacity.
    pub capacity: Capacity,
}

impl PeerVm {
    /// Orders VMs by capacity, the strongest first, and equal ones by name.
    ///
    /// The capacity is the product of cores and link speed, so that neither alone makes a VM
    /// strong.
    #[must_use]
    pub fn strongest_first(a: &Self, b: &Self) -> Ordering {
        let strength = |vm: &Self| vm.capacity.cores * vm.capacity.megabits;
        let by_strength = strength(b).total_cmp(&strength(a));
        by_strength.then_with(|| a.name.cmp(&b.name))
    }
}

/// The announced VMs, this one included.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerVms {
    vms: Vec<PeerVm>,
    /// Highest number of cores and highest link speed in each region.
    max_capacity_by_region: HashMap<Region, Capacity>,
}

impl PeerVms {
    pub(crate) fn new(vms: Vec<PeerVm>) -> Self {
        let mut max_capacity_by_region: HashMap<Region, Capacity> = HashMap::new();
        for vm in &vms {
            let best = max_capacity_by_region
                .entry(vm.region.clone())
                .or_insert(vm.capacity);
            best.cores = best.cores.max(vm.capacity.cores);
            best.megabits = best.megabits.max(vm.capacity.megabits);
        }
        Self {
            vms,
            max_capacity_by_region,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    pub(crate) fn vms(&self) -> &[PeerVm] {
        &self.vms
    }

    /// Returns whether a VM is strong enough to run fan-outs for its region.
    pub(crate) fn is_strong(&self, vm: &PeerVm) -> bool {
        let Some(strongest) = self.max_capacity_by_region.get(&vm.region) else {
            return true;
        };
        vm.capacity.cores >= strongest.cores * STRONG_VM_CAPACITY_FRACTION
            && vm.capacity.megabits >= strongest.megabits * STRONG_VM_CAPACITY_FRACTION
    }

    /// Returns the number of VMs that may exist if the given number is listed.
    pub(crate) fn possible_vms_max(listed: usize) -> u32 {
        (listed as f64 * POSSIBLE_TO_LISTED_VMS_RATIO).ceil() as u32
    }
}
