//! The lagging VM list.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// A VM as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub vm: VmId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The region of that data centre.
    pub region: Region,
    /// Where its mesh socket listens.
    pub mesh: SocketAddr,
    /// Where it takes lookups.
    pub callers: SocketAddr,
    /// Where it takes operators' calls.
    pub admin: SocketAddr,
    /// Whether the platform is taking it away.
    #[serde(default)]
    pub leaving: bool,
}

/// Mesh addresses shown in place of the true ones, by asker and VM.
pub type MeshFrom = BTreeMap<IpAddr, BTreeMap<VmId, SocketAddr>>;

/// The VM list with what it was, so that it can be shown late.
#[derive(Debug)]
pub(super) struct VmList {
    lag: Duration,
    /// The list from each time on, oldest first.
    steps: Vec<(Instant, Vec<Vm>)>,
    first: Vec<Vm>,
    mesh_from: MeshFrom,
}

impl VmList {
    /// Starts with a list that shows at once.
    pub(super) fn new(vms: Vec<Vm>, lag: Duration) -> Self {
        Self {
            lag,
            steps: Vec::new(),
            first: vms,
            mesh_from: MeshFrom::new(),
        }
    }

    /// Shows these mesh addresses in place of the true ones.
    pub(super) fn with_mesh_from(mut self, mesh_from: MeshFrom) -> Self {
        self.mesh_from = mesh_from;
        self
    }

    /// Sets how late changes show.
    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Changes the list from now on.
    pub(super) fn change(&mut self, f: impl FnOnce(&mut Vec<Vm>)) {
        let mut vms = self.newest().to_vec();
        f(&mut vms);
        self.steps.push((Instant::now(), vms));
    }

    /// The list as a caller at this address sees it now.
    pub(super) fn shown(&self, asker: IpAddr) -> Vec<Vm> {
        let now = Instant::now();
        let seen = self
            .steps
            .iter()
            .rev()
            .find(|(at, _)| *at + self.lag <= now);
        let mut vms = seen.map_or(&self.first, |(_, vms)| vms).clone();
        if let Some(links) = self.mesh_from.get(&asker) {
            for vm in &mut vms {
                vm.mesh = links.get(&vm.vm).copied().unwrap_or(vm.mesh);
            }
        }
        vms
    }

    /// Whether the address is that of a VM in one of these data centres.
    pub(super) fn stands_in(&self, source: IpAddr, data_centres: &[DataCentre]) -> bool {
        self.newest()
            .iter()
            .any(|v| v.mesh.ip() == source && data_centres.contains(&v.data_centre))
    }

    fn newest(&self) -> &[Vm] {
        self.steps.last().map_or(&self.first, |(_, vms)| vms)
    }
}
