//! Deterministic subsetting: chooses the servers of a service that this VM uses.
//!
//! A fleet may have more VMs than each server of a service accepts connections. If each VM
//! connected to each server, many connections would be reset together with the requests on them.

use std::collections::HashSet;

use gs_types::prelude::*;

use crate::entry::ServerEntry;
use crate::peer_vms::PeerVm;

/// Fraction of the accepted connections that is shared out; the rest is for VMs that are not listed
/// yet and for those whose servers are unreachable.
const ASSIGNED_CONNECTIONS_FRACTION: f64 = 0.9;

/// Returns whether the servers of a service together accept fewer connections than there are VMs.
pub(crate) fn has_too_few_connections(
    vms: usize,
    servers: usize,
    connections: Connections,
) -> bool {
    servers > 0
        && servers as f64 * f64::from(connections.0) * ASSIGNED_CONNECTIONS_FRACTION < vms as f64
}

/// Returns the servers that a VM uses of a service whose servers each accept the given connections;
/// `None` for all.
///
/// Every VM computes the same result from the same lists. VMs and servers are both sorted by data
/// centre, so that most of a VM's servers are in its own data centre.
pub(crate) fn server_subset(
    vm: &VmId,
    vms: &[PeerVm],
    servers: &[&ServerEntry],
    connections: Connections,
) -> Option<HashSet<ServerName>> {
    let capacity = f64::from(connections.0) * ASSIGNED_CONNECTIONS_FRACTION;
    if capacity >= vms.len() as f64 || servers.is_empty() {
        return None;
    }
    let mut names: Vec<_> = vms.iter().map(|v| (&v.data_centre, &v.name)).collect();
    names.sort_unstable();
    let position = names.iter().position(|(_, name)| *name == vm)?;
    let mut sorted = servers.to_vec();
    sorted.sort_unstable_by_key(|s| (&s.data_centre, &s.name));
    let count = (sorted.len() as f64 * capacity / names.len() as f64) as usize;
    let first = position * sorted.len() / names.len();
    let chosen = sorted.iter().cycle().skip(first).take(count.max(1));
    Some(chosen.map(|s| s.name.clone()).collect())
}
