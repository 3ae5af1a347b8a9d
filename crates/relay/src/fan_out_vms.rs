//! Which VMs run fan-outs.
//!
//! The load it answers: a fleet with more VMs than each server of a shard accepts connections. Were all of them
//! to run fan-outs, most connections would be reset, and no page would find one to each shard.

use std::collections::HashMap;

use gs_types::prelude::*;

use crate::peer_vms::PeerVm;
use crate::peer_vms::PeerVms;

/// The part of a shard's connections that the VMs which run fan-outs share where there are others; the rest
/// is for those when their peers are away.
pub(crate) const FAN_OUT_FRACTION: f64 = 0.8;

/// The fewest connections to a server that are of use to a VM that runs fan-outs: with one, each pause of a
/// server holds up whatever comes after.
const CONNECTIONS_EACH: f64 = 2.0;

/// The fewest VMs that run fan-outs in a data centre that has them, so that the loss of one is borne.
const IN_EACH_MIN: usize = 2;

/// The VMs that run fan-outs, by what each shard's servers accept at the least from everyone together.
///
/// Strong VMs only, and of those no more than the connections allow, from each data centre its part. Every VM
/// works the same out from the same list.
pub(crate) fn choose_fan_out_vms(
    peer_vms: &PeerVms,
    connections: Option<Connections>,
) -> Vec<&PeerVm> {
    let mut by_place: HashMap<&DataCentre, Vec<&PeerVm>> = HashMap::new();
    for vm in peer_vms.vms().iter().filter(|vm| peer_vms.is_strong(vm)) {
        by_place.entry(&vm.data_centre).or_default().push(vm);
    }
    let strong: usize = by_place.values().map(Vec::len).sum();
    let most = connections.map_or(f64::INFINITY, most);
    let part = (most / strong.max(1) as f64).min(1.0);
    let mut chosen = Vec::with_capacity(strong);
    for mut here in by_place.into_values() {
        let count = (here.len() as f64 * part) as usize;
        here.sort_by(|a, b| PeerVm::strongest_first(a, b));
        here.truncate(count.max(IN_EACH_MIN));
        chosen.extend(here);
    }
    chosen
}

/// The most VMs that have enough connections each.
fn most(connections: Connections) -> f64 {
    f64::from(connections.0) * FAN_OUT_FRACTION / CONNECTIONS_EACH
}
