//! Ranks the VMs of a data centre that may query the register directly.

use gs_relay::PeerVm;
use gs_types::prelude::*;

/// The number of VMs per data centre that query the register directly while no candidate fails.
pub const DIRECT_VMS: usize = 2;

/// The number of VMs per data centre that others try to follow, one after the other.
const CANDIDATES_MAX: usize = 4;

/// The largest number of VMs in a data centre at which all of them query the register directly: two direct VMs
/// would save little there.
const ALL_DIRECT_MAX: usize = 4;

/// Returns the VMs that others of their data centre may follow, the first [`DIRECT_VMS`] of which query the register.
///
/// The strongest come first, as each of them serves many followers; equals are ordered by name. Empty if the
/// data centre has so few VMs that all query the register.
#[must_use]
pub fn candidates(vms: &[PeerVm], data_centre: &DataCentre) -> Vec<PeerVm> {
    let here = vms.iter().filter(|vm| vm.data_centre == *data_centre);
    let mut here: Vec<&PeerVm> = here.collect();
    if here.len() <= ALL_DIRECT_MAX {
        return Vec::new();
    }
    here.sort_by(|a, b| PeerVm::strongest_first(a, b));
    here.into_iter().take(CANDIDATES_MAX).cloned().collect()
}
