//! The short form of a group's shard map and its backend servers.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use gs_types::prelude::*;
use serde::Deserialize;

/// The port of a script's first server; the others follow, and nothing connects to them.
const FIRST_PORT: u16 = 9000;

/// A group's shard map: for each snapshot, the servers of each shard.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct MapSpec {
    group: GroupName,
    revision: u64,
    /// For each snapshot number and each shard from 0, the shard's servers.
    snapshots: BTreeMap<String, Vec<Vec<ServerName>>>,
    /// The data centres of the servers that are not in the VM's data centre.
    #[serde(default)]
    elsewhere: BTreeMap<ServerName, DataCentre>,
    #[serde(default = "two")]
    slots: u32,
    #[serde(default = "twenty_five")]
    connections: u32,
}

/// Returns the default of `slots`.
fn two() -> u32 {
    2
}

/// Returns the default of `connections`.
fn twenty_five() -> u32 {
    25
}

impl MapSpec {
    pub(crate) fn build(&self, vm_data_centre: &DataCentre) -> Result<GroupMap> {
        let mut names = Vec::new();
        let mut snapshots = Vec::new();
        for (id, shards) in &self.snapshots {
            let mut maps = Vec::new();
            for (shard, servers) in (0..).zip(shards) {
                for name in servers {
                    if !names.contains(name) {
                        names.push(name.clone());
                    }
                }
                maps.push(ShardMap {
                    shard: ShardId(shard),
                    servers: servers.iter().cloned().collect(),
                });
            }
            snapshots.push(Arc::new(SnapshotMap {
                id: id.parse()?,
                shards: maps,
            }));
        }
        let servers = (FIRST_PORT..)
            .zip(names)
            .map(|(port, name)| self.server(port, name, vm_data_centre))
            .collect::<Result<_>>()?;
        Ok(GroupMap {
            group: self.group.clone(),
            revision: self.revision,
            servers,
            snapshots,
        })
    }

    fn server(
        &self,
        port: u16,
        name: ServerName,
        vm_data_centre: &DataCentre,
    ) -> Result<Arc<ServerDecl>> {
        let data_centre = self.elsewhere.get(&name).unwrap_or(vm_data_centre).clone();
        Ok(Arc::new(ServerDecl {
            service: name.as_str().parse()?,
            name,
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
            data_centre,
            slots: Slots(self.slots),
            connections: Connections(self.connections),
        }))
    }
}
