//! What a VM knows of routes, servers and VMs, to be told to one that starts.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::entry::ServerEntry;
use crate::peer_vms::PeerVm;
use crate::relay::Relay;
use crate::table::RouteTable;

/// Everything that a VM must know to serve.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SeedState {
    /// The routes in force.
    pub table: Arc<RouteTable>,
    /// The servers in the register.
    pub servers: Vec<ServerEntry>,
    /// The VMs that are there.
    pub vms: Vec<PeerVm>,
}

impl Relay {
    /// What this VM knows; `None` before it has routes.
    #[must_use]
    pub fn seed_state(&self) -> Option<SeedState> {
        let core = &self.core;
        let entries = core.servers.all().map(|v| &v.entry);
        let known = entries.filter(|e| {
            // Those that have vanished may be gone; whoever starts cannot tell for how long.
            !core.peers_known.contains(&e.name) && !core.missing.contains_key(&e.name)
        });
        Some(SeedState {
            table: Arc::clone(core.table.as_ref()?),
            servers: known.map(|e| ServerEntry::clone(e)).collect(),
            vms: core.peer_vms.vms().to_vec(),
        })
    }
}
