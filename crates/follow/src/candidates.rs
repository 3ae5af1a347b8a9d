//! Which VMs of a data centre may ask the register.

use gs_relay::PeerVm;
use gs_types::prelude::*;

/// The VMs of a data centre that ask the register while all of them are well.
pub const ASKERS: usize = 2;

/// The VMs of a data centre that others turn to, one after the other.
const CANDIDATES: usize = 4;

/// In a data centre of so many VMs all ask: with two of them asking, the others would save little.
const FEW: usize = 4;

/// The VMs that others of their data centre turn to, the first [`ASKERS`] of which ask the register.
///
/// The strongest come first, as each tells many; equals come in the order of their names. Empty if the
/// data centre has so few VMs that all ask.
#[must_use]
pub fn candidates(vms: &[PeerVm], data_centre: &DataCentre) -> Vec<PeerVm> {
    let here = vms.iter().filter(|vm| vm.data_centre == *data_centre);
    let mut here: Vec<&PeerVm> = here.collect();
    if here.len() <= FEW {
        return Vec::new();
    }
    here.sort_by(|a, b| PeerVm::strongest_first(a, b));
    here.into_iter().take(CANDIDATES).cloned().collect()
}
