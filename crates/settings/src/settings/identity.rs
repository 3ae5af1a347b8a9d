//! The identity of the VM and its local addresses.

use std::net::IpAddr;
use std::net::SocketAddr;

use gs_types::prelude::*;
use serde::Serialize;

/// The name and location of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Vm {
    /// The VM's name, unique among live VMs.
    pub name: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
}

/// The addresses that the process listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators, metrics and health checks.
    pub admin: SocketAddr,
    /// The address for the other VMs.
    pub mesh: SocketAddr,
}

/// The source address of outgoing connections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Source {
    /// The local IP address; the system chooses one if `None`.
    pub ip: Option<IpAddr>,
}
