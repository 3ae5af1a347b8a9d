//! A VM as the platform lists it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentre;
use crate::ids::Region;
use crate::ids::VmId;

/// A VM as the platform's lagging list shows it, and as VMs tell each other of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Its name.
    pub vm: VmId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The region of that data centre.
    pub region: Region,
    /// Where it takes messages from other VMs.
    pub mesh: SocketAddr,
    /// Where it takes callers' lookups.
    pub callers: SocketAddr,
    /// Where it takes operators' calls.
    pub admin: SocketAddr,
    /// Whether the platform says that it is leaving.
    #[serde(default)]
    pub leaving: bool,
}
