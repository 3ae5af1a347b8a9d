//! Who the process is, and where it listens and connects from.

use std::net::IpAddr;
use std::net::SocketAddr;

use gs_types::prelude::*;
use serde::Serialize;

/// Who this process is.
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

/// Where this process listens; IP numbers and ports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and for scraping metrics.
    pub admin: SocketAddr,
    /// For the other VMs.
    pub mesh: SocketAddr,
}

/// Where outgoing connections start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Source {
    /// The local address; the system's choice if `None`.
    pub ip: Option<IpAddr>,
}
