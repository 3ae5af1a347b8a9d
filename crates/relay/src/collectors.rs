//! Chooses the VMs that collect the evidence against a request.
//!
//! Every VM ranks all VMs by a hash of the request and the VM's name (rendezvous hashing), so all
//! VMs with the same list report to the same ones without any agreement, and the load is spread
//! over all VMs.

use gs_types::prelude::*;

use crate::peer_vms::PeerVm;

/// The number of VMs that collect the evidence against a request: two may fail at a time.
pub(crate) const COLLECTORS: usize = 3;

/// The most VMs to which a report is sent until enough have received it.
const CANDIDATES_MAX: usize = 12;

/// Returns the VMs other than `me` that may collect the evidence against a request, the most
/// preferred first.
pub(crate) fn collector_candidates(request: Fingerprint, me: &VmId, vms: &[PeerVm]) -> Vec<PeerVm> {
    let mut ranked: Vec<(u64, &PeerVm)> = vms
        .iter()
        .filter(|vm| vm.name != *me)
        .map(|vm| (weight(request, &vm.name), vm))
        .collect();
    ranked.sort_unstable_by_key(|(weight, _)| *weight);
    ranked.truncate(CANDIDATES_MAX);
    ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
}

/// Returns how many VMs are preferred to `me`.
pub(crate) fn collector_rank(request: Fingerprint, me: &VmId, vms: &[PeerVm]) -> usize {
    let mine = weight(request, me);
    let others = vms.iter().filter(|vm| vm.name != *me);
    others.filter(|vm| weight(request, &vm.name) < mine).count()
}

fn weight(request: Fingerprint, vm: &VmId) -> u64 {
    Fingerprint::of(&[&request.to_string(), vm.as_str()]).0
}
