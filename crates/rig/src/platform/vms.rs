//! The VM list, whose changes become visible with a delay.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The region of that data centre.
    pub region: Region,
    /// The address of its mesh socket.
    pub mesh: SocketAddr,
    /// The address for lookups.
    pub callers: SocketAddr,
    /// The address for operators' calls.
    pub admin: SocketAddr,
    /// Whether the platform is removing it.
    #[serde(default)]
    pub leaving: bool,
}

/// Mesh addresses returned in place of the true ones, by source address and VM.
pub type MeshAddresses = BTreeMap<IpAddr, BTreeMap<VmId, SocketAddr>>;

/// The VM list with its earlier versions, so that changes can become visible with a delay.
#[derive(Debug)]
pub(super) struct VmList {
    lag: Duration,
    /// The versions of the list with the times of the changes, oldest first.
    versions: Vec<(Instant, Vec<Vm>)>,
    initial: Vec<Vm>,
    mesh_addresses: MeshAddresses,
}

impl VmList {
    /// Creates a list whose initial content is visible without delay.
    pub(super) fn new(vms: Vec<Vm>, lag: Duration) -> Self {
        Self {
            lag,
            versions: Vec::new(),
            initial: vms,
            mesh_addresses: MeshAddresses::new(),
        }
    }

    /// Sets the mesh addresses that are returned in place of the true ones.
    pub(super) fn with_mesh_addresses(mut self, mesh_addresses: MeshAddresses) -> Self {
        self.mesh_addresses = mesh_addresses;
        self
    }

    /// Sets the delay until changes become visible.
    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Changes the list; the change becomes visible after the delay.
    pub(super) fn change(&mut self, f: impl FnOnce(&mut Vec<Vm>)) {
        let mut vms = self.newest().to_vec();
        f(&mut vms);
        self.versions.push((Instant::now(), vms));
    }

    /// Returns the list that is now visible to a caller at this address.
    pub(super) fn list_for(&self, source: IpAddr) -> Vec<Vm> {
        let now = Instant::now();
        let visible = self
            .versions
            .iter()
            .rev()
            .find(|(at, _)| *at + self.lag <= now);
        let mut vms = visible.map_or(&self.initial, |(_, vms)| vms).clone();
        if let Some(links) = self.mesh_addresses.get(&source) {
            for vm in &mut vms {
                vm.mesh = links.get(&vm.vm).copied().unwrap_or(vm.mesh);
            }
        }
        vms
    }

    /// Whether the address is that of a VM in one of these data centres.
    pub(super) fn is_in_data_centre(&self, source: IpAddr, data_centres: &[DataCentre]) -> bool {
        self.newest()
            .iter()
            .any(|v| v.mesh.ip() == source && data_centres.contains(&v.data_centre))
    }

    fn newest(&self) -> &[Vm] {
        self.versions.last().map_or(&self.initial, |(_, vms)| vms)
    }
}
