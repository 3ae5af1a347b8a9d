//! The VMs as one VM sees them.

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::vm::VmState;

/// The VMs as one VM sees them; another's view may differ at any time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The VM whose view it is.
    pub me: VmId,
    /// All VMs that are not gone, this one included, by name.
    pub vms: Vec<ViewVm>,
}

/// One VM in a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewVm {
    /// How it is listed.
    pub entry: VmEntry,
    /// The newest run of its process heard of; `None` if never.
    pub incarnation: Option<Incarnation>,
    /// What it is to this VM.
    pub state: VmState,
}

impl View {
    /// The VMs that were heard lately and are not leaving, this one included unless it leaves.
    pub fn live(&self) -> impl Iterator<Item = &ViewVm> {
        self.vms.iter().filter(|v| v.state == VmState::Alive)
    }

    /// The VM that takes a duty: the live one whose name hashes highest with the duty's.
    ///
    /// Two VMs may each believe they hold it, or none may; whoever uses it must be safe then.
    #[must_use]
    pub fn holder(&self, duty: &str) -> Option<&VmId> {
        self.live()
            .map(|v| &v.entry.vm)
            .max_by_key(|vm| rank(duty, vm))
    }

    /// Whether this VM believes that it holds a duty.
    #[must_use]
    pub fn holds(&self, duty: &str) -> bool {
        self.holder(duty) == Some(&self.me)
    }

    /// The live VM of one data centre that takes a duty there.
    #[must_use]
    pub fn holder_in(&self, dc: &DataCentre, duty: &str) -> Option<&VmId> {
        self.live()
            .filter(|v| v.entry.data_centre == *dc)
            .map(|v| &v.entry.vm)
            .max_by_key(|vm| rank(duty, vm))
    }
}

/// The rendezvous hash of a duty and a VM; the name breaks ties.
pub(crate) fn rank<'a>(duty: &str, vm: &'a VmId) -> (u64, &'a str) {
    let mut h = Xxh3::new();
    h.update(duty.as_bytes());
    h.update(&[0]);
    h.update(vm.as_str().as_bytes());
    (h.digest(), vm.as_str())
}
