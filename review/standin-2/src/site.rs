//! A small deployment: the store, the servers of one service, and the VMs in three zones.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::Record;
use crate::server::{Deadly, Run, Server, ServerOptions};
use crate::store::Store;
use crate::vm::{Vm, VmPlan};

/// The zones of the VMs, in order, and of the servers, in turn.
pub struct Layout {
    pub vms: &'static [&'static str],
    pub zones: [&'static str; 3],
}

/// The seven machines of dqm-search.
pub const DQM: Layout = Layout {
    vms: &[
        "hobart-a",
        "launceston-a",
        "burnie-a",
        "hobart-a",
        "launceston-a",
        "burnie-a",
        "hobart-a",
    ],
    zones: ["hobart-a", "launceston-a", "burnie-a"],
};

/// The nine machines of lpl-search, and the spare one of colombo-a, which has been added.
pub const LPL: Layout = Layout {
    vms: &[
        "colombo-a",
        "colombo-a",
        "colombo-a",
        "colombo-a",
        "colombo-a",
        "kandy-a",
        "kandy-a",
        "kandy-a",
        "galle-a",
        "galle-a",
    ],
    zones: ["colombo-a", "kandy-a", "galle-a"],
};
pub const HOST: &str = "pupu76.example";
pub const SERVICE: &str = "kafi81c";
pub const PREFIX: &str = "/timi402/";
pub const SLOTS: usize = 3;

pub struct Site {
    pub layout: &'static Layout,
    pub store: Arc<Store>,
    pub vms: Vec<Vm>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Arc<Record>,
}

impl Site {
    /// Starts the store and the VMs, with one route of this kind to one service.
    pub fn start(
        dir: &Path,
        record: Arc<Record>,
        layout: &'static Layout,
        kind: &str,
    ) -> std::io::Result<Self> {
        let store = Store::new(layout.vms.len());
        let config = format!(
            r#"{{"version":7,"routes":[{{"name":"r-s4qmv29","hostname":"{HOST}","path_prefix":"{PREFIX}","kind":"{kind}","timeout_ms":8000,"goal_ms":500,"priority":2,"backend":"{SERVICE}","max_attempts":2}}],"backends":[{{"name":"{SERVICE}","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}}],"limits":{{"header_bytes":16384,"body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
        );
        store.put("config", "main", &config);
        let plans = plan_vms(&store, layout)?;
        let seeds: Vec<SocketAddr> = plans.iter().take(3).map(|p| p.peers).collect();
        let mut vms = Vec::new();
        for plan in plans {
            vms.push(Vm::start(plan, dir, &layout.zones, &seeds)?);
        }
        Ok(Self {
            layout,
            store,
            vms,
            runs: Arc::default(),
            record,
        })
    }

    /// Starts a server in the zone whose turn it is by its number.
    pub fn start_server(
        &self,
        id: String,
        number: usize,
        work: Duration,
        deadly: Option<&Deadly>,
    ) -> std::io::Result<Arc<Server>> {
        let opts = ServerOptions {
            id,
            service: SERVICE.to_owned(),
            zone: self.layout.zones[number % 3].to_owned(),
            slots: SLOTS,
            work,
            deadly: deadly.cloned(),
        };
        Server::start(
            opts,
            &self.store,
            Arc::clone(&self.runs),
            Arc::clone(&self.record),
        )
    }

    /// Waits until all VMs are ready.
    pub fn wait_until_ready(&self) -> bool {
        self.vms
            .iter()
            .all(|vm| vm.wait_until_ready(Duration::from_secs(15)))
    }
}

/// How many networks are tried until one is free.
const NETWORKS_MAX: u32 = 50;

/// Plans the VMs in the first free one of some loopback networks.
fn plan_vms(store: &Arc<Store>, layout: &Layout) -> std::io::Result<Vec<VmPlan>> {
    let stores = (0..layout.vms.len())
        .map(|n| store.listen(n))
        .collect::<std::io::Result<Vec<_>>>()?;
    let mut failure = std::io::Error::other("no network is free");
    for attempt in 0..NETWORKS_MAX {
        let number = std::process::id().wrapping_add(attempt * 331);
        let [a, b] = [(64 + number % 128) as u8, (1 + number / 128 % 250) as u8];
        let plan = |(n, store): (usize, &SocketAddr)| {
            let zone = layout.vms[n];
            let ip = Ipv4Addr::new(127, a, b, 1 + n as u8);
            let in_zone = layout.vms[..=n].iter().filter(|z| **z == zone).count();
            VmPlan::new(format!("front-{zone}-{in_zone}"), zone, ip, *store)
        };
        match stores.iter().enumerate().map(plan).collect() {
            Ok(plans) => return Ok(plans),
            Err(e) => failure = e,
        }
    }
    Err(failure)
}
