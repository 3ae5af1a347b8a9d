//! A small deployment: the store, the servers of one service, and seven VMs in three zones.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::Record;
use crate::server::{Deadly, Run, Server, ServerOptions};
use crate::store::Store;
use crate::vm::{Vm, VmPlan};

pub const ZONES: [&str; 3] = ["hobart-a", "launceston-a", "burnie-a"];
pub const HOST: &str = "pupu76.example";
pub const SERVICE: &str = "kafi81c";
pub const PREFIX: &str = "/timi402/";
pub const SLOTS: usize = 3;
const VMS: usize = 7;

pub struct Site {
    pub store: Arc<Store>,
    pub vms: Vec<Vm>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Arc<Record>,
}

impl Site {
    /// Starts the store and the VMs, with one route of this kind to one service.
    pub fn start(dir: &Path, record: Arc<Record>, kind: &str) -> std::io::Result<Self> {
        let store = Store::new(VMS);
        let config = format!(
            r#"{{"version":7,"routes":[{{"name":"r-s4qmv29","hostname":"{HOST}","path_prefix":"{PREFIX}","kind":"{kind}","timeout_ms":8000,"goal_ms":500,"priority":2,"backend":"{SERVICE}","max_attempts":2}}],"backends":[{{"name":"{SERVICE}","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}}],"limits":{{"header_bytes":16384,"body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
        );
        store.put("config", "main", &config);
        let plans = plan_vms(&store)?;
        let seeds: Vec<SocketAddr> = plans.iter().take(3).map(|p| p.peers).collect();
        let mut vms = Vec::new();
        for plan in plans {
            vms.push(Vm::start(plan, dir, &ZONES, &seeds)?);
        }
        Ok(Self { store, vms, runs: Arc::default(), record })
    }

    pub fn start_server(
        &self,
        id: String,
        zone: &str,
        work: Duration,
        deadly: Option<&Deadly>,
    ) -> std::io::Result<Arc<Server>> {
        let opts = ServerOptions {
            id,
            service: SERVICE.to_owned(),
            zone: zone.to_owned(),
            slots: SLOTS,
            work,
            deadly: deadly.cloned(),
        };
        Server::start(opts, &self.store, Arc::clone(&self.runs), Arc::clone(&self.record))
    }

    /// Waits until all VMs are ready.
    pub fn wait_until_ready(&self) -> bool {
        self.vms.iter().all(|vm| vm.wait_until_ready(Duration::from_secs(15)))
    }
}

/// How many networks are tried until one is free.
const NETWORKS_MAX: u32 = 50;

/// Plans the VMs in the first free one of some loopback networks.
fn plan_vms(store: &Arc<Store>) -> std::io::Result<Vec<VmPlan>> {
    let stores = (0..VMS).map(|n| store.listen(n)).collect::<std::io::Result<Vec<_>>>()?;
    let mut failure = std::io::Error::other("no network is free");
    for attempt in 0..NETWORKS_MAX {
        let number = std::process::id().wrapping_add(attempt * 331);
        let [a, b] = [(64 + number % 128) as u8, (1 + number / 128 % 250) as u8];
        let plan = |(n, store): (usize, &SocketAddr)| {
            let zone = ZONES[n % ZONES.len()];
            let ip = Ipv4Addr::new(127, a, b, 1 + n as u8);
            VmPlan::new(format!("front-{zone}-{n}"), zone, ip, *store)
        };
        match stores.iter().enumerate().map(plan).collect() {
            Ok(plans) => return Ok(plans),
            Err(e) => failure = e,
        }
    }
    Err(failure)
}
