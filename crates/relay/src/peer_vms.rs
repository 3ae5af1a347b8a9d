//! The VMs that are there: who runs fan-outs, and how connections to servers are shared out.
//!
//! Every VM works the same out from the same list, so nothing has to be agreed on.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::SocketAddr;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// The part of the strongest VM of a region that a VM must reach to run fan-outs: with less, a page of
/// 90 parts takes it longer than a hand-over and back.
const STRONG_PART: f64 = 0.5;

/// How many more VMs than are listed may be there: some that have just been added.
const UNLISTED: f64 = 1.25;

/// What a VM can do in a second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Capacity {
    /// Processor cores, or a part of one.
    pub cores: f64,
    /// The speed of its link in megabits a second.
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
    /// The region of that.
    pub region: Region,
    /// Where it takes hand-overs.
    pub addr: SocketAddr,
    /// What it can do.
    pub capacity: Capacity,
}

impl PeerVm {
    /// Orders VMs by what they can do, the strongest first, and equal ones by their names.
    ///
    /// None is strong by its cores or its link alone.
    #[must_use]
    pub fn strongest_first(a: &Self, b: &Self) -> Ordering {
        let strength = |vm: &Self| vm.capacity.cores * vm.capacity.megabits;
        let by_strength = strength(b).total_cmp(&strength(a));
        by_strength.then_with(|| a.name.cmp(&b.name))
    }
}

/// The VMs that are there, this one included.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerVms {
    vms: Vec<PeerVm>,
    /// The strongest of each region, by cores and by link.
    best: HashMap<Region, Capacity>,
}

impl PeerVms {
    pub(crate) fn new(vms: Vec<PeerVm>) -> Self {
        let mut best: HashMap<Region, Capacity> = HashMap::new();
        for vm in &vms {
            let b = best.entry(vm.region.clone()).or_insert(vm.capacity);
            b.cores = b.cores.max(vm.capacity.cores);
            b.megabits = b.megabits.max(vm.capacity.megabits);
        }
        Self { vms, best }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    pub(crate) fn vms(&self) -> &[PeerVm] {
        &self.vms
    }

    /// Whether a VM is strong enough to run fan-outs for its region.
    pub(crate) fn is_strong(&self, vm: &PeerVm) -> bool {
        let Some(best) = self.best.get(&vm.region) else {
            return true;
        };
        vm.capacity.cores >= best.cores * STRONG_PART
            && vm.capacity.megabits >= best.megabits * STRONG_PART
    }

    /// VMs that may be there at the same time, out of so many listed.
    pub(crate) fn vms_max(listed: usize) -> u32 {
        (listed as f64 * UNLISTED).ceil() as u32
    }
}
