//! Which servers of a service this VM uses.
//!
//! The load it answers: a fleet with more VMs than each server of a service accepts connections. Were each VM to
//! connect to each server, many connections would be reset, with the requests on them.

use std::collections::HashSet;

use gs_types::prelude::*;

use crate::entry::ServerEntry;
use crate::peer_vms::PeerVm;

/// The part of what servers accept that is shared out; the rest is for VMs that are not listed yet, and for those
/// whose servers are away.
const SHARED_PART: f64 = 0.9;

/// Whether the servers of a service together accept fewer connections than there are VMs.
pub(crate) fn is_scarce(vms: usize, servers: usize, connections: Connections) -> bool {
    servers > 0 && servers as f64 * f64::from(connections.0) * SHARED_PART < vms as f64
}

/// The servers that a VM uses of a service whose servers accept so many connections each; `None` for all.
///
/// Every VM works the same out from the same lists. In the order of data centres on both sides, so that most of
/// its servers are near.
pub(crate) fn server_subset(
    vm: &VmId,
    vms: &[PeerVm],
    servers: &[&ServerEntry],
    connections: Connections,
) -> Option<HashSet<ServerName>> {
    let room = f64::from(connections.0) * SHARED_PART;
    if room >= vms.len() as f64 || servers.is_empty() {
        return None;
    }
    let mut names: Vec<_> = vms.iter().map(|v| (&v.data_centre, &v.name)).collect();
    names.sort_unstable();
    let place = names.iter().position(|(_, name)| *name == vm)?;
    let mut sorted = servers.to_vec();
    sorted.sort_unstable_by_key(|s| (&s.data_centre, &s.name));
    let each = (sorted.len() as f64 * room / names.len() as f64) as usize;
    let first = place * sorted.len() / names.len();
    let chosen = sorted.iter().cycle().skip(first).take(each.max(1));
    Some(chosen.map(|s| s.name.clone()).collect())
}
