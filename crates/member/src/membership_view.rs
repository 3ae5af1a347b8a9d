//! The view: all VMs as one VM sees them, and the choice of the VM that has a duty.

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::vm_state::VmState;

/// All VMs as one VM sees them; the views of two VMs may differ at any time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipView {
    /// The VM whose view it is.
    pub me: VmId,
    /// All VMs that are not removed, this one included, sorted by name.
    pub vms: Vec<VmView>,
}

/// One VM in a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmView {
    /// Its entry in the list of VMs.
    pub entry: VmEntry,
    /// The newest known incarnation of its process; `None` if none is known.
    pub incarnation: Option<Incarnation>,
    /// Its state as this VM sees it.
    pub state: VmState,
}

impl MembershipView {
    /// Returns the VMs in state [`VmState::Alive`]; this VM is among them unless it is leaving.
    pub fn live_vms(&self) -> impl Iterator<Item = &VmView> {
        self.vms.iter().filter(|v| v.state == VmState::Alive)
    }

    /// Returns the VM that has a duty: the live VM with the highest rendezvous hash of its name and
    /// the duty's.
    ///
    /// As views differ, two VMs may each find that they have the duty, or none may. Duties must
    /// therefore be safe when no VM, or more than one, carries them out.
    #[must_use]
    pub fn duty_holder(&self, duty: &str) -> Option<&VmId> {
        self.live_vms()
            .map(|v| &v.entry.vm)
            .max_by_key(|vm| rendezvous_hash(duty, vm))
    }

    /// Returns whether this VM has a duty according to its own view.
    #[must_use]
    pub fn has_duty(&self, duty: &str) -> bool {
        self.duty_holder(duty) == Some(&self.me)
    }

    /// Returns the live VM of a data centre that has a duty there, or `None` if none is live there.
    #[must_use]
    pub fn duty_holder_in_data_centre(&self, dc: &DataCentre, duty: &str) -> Option<&VmId> {
        self.live_vms()
            .filter(|v| v.entry.data_centre == *dc)
            .map(|v| &v.entry.vm)
            .max_by_key(|vm| rendezvous_hash(duty, vm))
    }
}

/// Returns the rendezvous hash of a duty and a VM; the name breaks ties.
pub(crate) fn rendezvous_hash<'a>(duty: &str, vm: &'a VmId) -> (u64, &'a str) {
    let mut h = Xxh3::new();
    h.update(duty.as_bytes());
    h.update(&[0]);
    h.update(vm.as_str().as_bytes());
    (h.digest(), vm.as_str())
}
