//! State that a VM sends to a starting peer: routes, servers and VMs.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::entry::ServerEntry;
use crate::peer_vms::PeerVm;
use crate::relay::Relay;
use crate::table::RouteTable;

/// The state that a VM needs to serve requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SeedState {
    /// The routes in force.
    pub table: Arc<RouteTable>,
    /// The servers in the register.
    pub servers: Vec<ServerEntry>,
    /// The announced VMs.
    pub vms: Vec<PeerVm>,
}

impl Relay {
    /// Returns the state known to this VM; `None` before it has routes.
    #[must_use]
    pub fn seed_state(&self) -> Option<SeedState> {
        let core = &self.core;
        let entries = core.servers.all().map(|v| &v.entry);
        let known = entries.filter(|e| {
            // A server whose entry is missing may have left, and a starting VM cannot know for how
            // long the entry has been missing.
            !core.registered_peers.contains(&e.name) && !core.missing_servers.contains_key(&e.name)
        });
        Some(SeedState {
            table: Arc::clone(core.table.as_ref()?),
            servers: known.map(|e| ServerEntry::clone(e)).collect(),
            vms: core.peer_vms.vms().to_vec(),
        })
    }
}
