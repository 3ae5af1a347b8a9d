//! Chooses the VMs that run fan-outs.
//!
//! A fleet may have more VMs than each server of a shard accepts connections. If all of them ran
//! fan-outs, most connections would be reset, and no page would find a connection to each shard.

use std::collections::HashMap;

use gs_types::prelude::*;

use crate::peer_vms::PeerVm;
use crate::peer_vms::PeerVms;

/// Fraction of a shard's connections shared by the VMs that run fan-outs, if there are other VMs;
/// those use the rest when their peers are unreachable.
pub(crate) const FAN_OUT_FRACTION: f64 = 0.8;

/// The fewest connections to a server that are of use to a VM that runs fan-outs: with a single
/// one, each stall of a server delays whatever follows.
const CONNECTIONS_PER_VM_MIN: f64 = 2.0;

/// The fewest VMs that run fan-outs in a data centre that has any, so that one may be lost.
const VMS_PER_DATA_CENTRE_MIN: usize = 2;

/// Returns the VMs that run fan-outs, given the smallest number of connections that a server of any
/// shard accepts from all VMs together.
///
/// Only strong VMs are chosen, no more than the connections allow, and the same fraction in each
/// data centre. Every VM computes the same result from the same list.
pub(crate) fn choose_fan_out_vms(
    peer_vms: &PeerVms,
    connections: Option<Connections>,
) -> Vec<&PeerVm> {
    let mut by_data_centre: HashMap<&DataCentre, Vec<&PeerVm>> = HashMap::new();
    for vm in peer_vms.vms().iter().filter(|vm| peer_vms.is_strong(vm)) {
        by_data_centre.entry(&vm.data_centre).or_default().push(vm);
    }
    let strong: usize = by_data_centre.values().map(Vec::len).sum();
    let vms_max = connections.map_or(f64::INFINITY, fan_out_vms_max);
    let fraction = (vms_max / strong.max(1) as f64).min(1.0);
    let mut chosen = Vec::with_capacity(strong);
    for mut here in by_data_centre.into_values() {
        let count = (here.len() as f64 * fraction) as usize;
        here.sort_by(|a, b| PeerVm::strongest_first(a, b));
        here.truncate(count.max(VMS_PER_DATA_CENTRE_MIN));
        chosen.extend(here);
    }
    chosen
}

/// Returns the largest number of VMs that get enough connections each.
fn fan_out_vms_max(connections: Connections) -> f64 {
    f64::from(connections.0) * FAN_OUT_FRACTION / CONNECTIONS_PER_VM_MIN
}
