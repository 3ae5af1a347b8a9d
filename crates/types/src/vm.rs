//! An entry of the platform's list of VMs.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentre;
use crate::ids::Region;
use crate::ids::VmId;

/// A VM as shown by the platform's list, which lags behind, and as VMs report it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM's name.
    pub vm: VmId,
    /// The data centre that it is in.
    pub data_centre: DataCentre,
    /// The region of that data centre.
    pub region: Region,
    /// The address that receives messages from other VMs.
    pub mesh: SocketAddr,
    /// The address that receives callers' lookups.
    pub callers: SocketAddr,
    /// The address that receives operators' calls.
    pub admin: SocketAddr,
    /// Whether the platform reports that the VM is leaving.
    #[serde(default)]
    pub leaving: bool,
}
