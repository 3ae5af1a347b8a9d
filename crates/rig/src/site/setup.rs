//! Sets up a site: store, backend servers and VMs.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use gs_types::prelude::*;

use super::address::allocate_address;
use super::backend::Backend;
use super::backend::Runs;
use super::backend::ServerRecords;
use super::caller::SiteCaller;
use super::config::SiteConfig;
use super::config::SiteRoute;
use super::crash_runs::CrashRuns;
use super::objects::LostWrite;
use super::proxy::FaultProxy;
use super::restarting_server::RestartingServer;
use super::restarting_server::RestartingServerOptions;
use super::store::Store;
use super::traffic::RepeatBudget;
use super::traffic::Traffic;
use super::vm::RelayVm;
use super::vm::RelayVmPlan;
use super::vm::ShutdownTimes;

/// The data centres of a site.
const ZONES: [&str; 3] = ["east", "west", "south"];

/// A budget of repeats that is not used up by the faults of a few servers.
pub const DEFAULT_REPEAT_BUDGET: RepeatBudget = RepeatBudget {
    window: Duration::from_secs(2),
    ratio: 0.2,
    slack: 400.0,
};

/// The longest time that a request may take on a site's first routes, in milliseconds.
const DEFAULT_ROUTE_TIMEOUT_MS: u64 = 3000;

/// The times of a shutdown that does not hold tests up.
const SHORT_SHUTDOWN: ShutdownTimes = ShutdownTimes {
    lag: Duration::from_millis(300),
    grace: Duration::from_millis(4200),
};

/// The options of a site.
#[derive(Builder)]
pub struct SiteOptions {
    /// The `gentiansill` program.
    pub bin: PathBuf,
    /// The directory for settings and logs.
    pub dir: PathBuf,
    /// The number of shards, each with two servers in two of the three data centres.
    #[builder(default = 6)]
    pub shards: usize,
    /// The number of VMs, spread round-robin over the three data centres.
    #[builder(default = 3)]
    pub vms: usize,
    /// The time for which a server executes a request.
    #[builder(default = Duration::from_millis(4))]
    pub work: Duration,
    /// The budget of repeats that all VMs share.
    #[builder(default = DEFAULT_REPEAT_BUDGET)]
    pub repeats: RepeatBudget,
    /// The times of a VM's shutdown.
    #[builder(default = SHORT_SHUTDOWN)]
    pub shutdown: ShutdownTimes,
}

/// A running site: store, backend servers and VMs.
pub struct Site {
    /// The platform's store.
    pub store: Store,
    /// The backend servers.
    pub backends: Vec<Backend>,
    /// The VMs.
    pub vms: Vec<RelayVm>,
    /// The proxies through which the VMs reach the store, one for each VM.
    pub store_links: Vec<FaultProxy>,
    /// How often each server ran each request.
    pub runs: Runs,
    /// The requests of the callers made by [`Site::caller`], and all arrivals at the servers.
    pub traffic: Arc<Traffic>,
    /// The runs of requests that crash servers.
    pub crashes: Arc<CrashRuns>,
    /// The configuration in force.
    pub config: SiteConfig,
    options: SiteOptions,
}

impl Site {
    /// Starts everything and waits until each VM is ready.
    ///
    /// # Errors
    ///
    /// If a component does not start.
    pub async fn start(options: SiteOptions) -> Result<Self> {
        let store = Store::start().await?;
        let records = ServerRecords::default();
        let shards: Vec<String> = (0..options.shards).map(|n| format!("shard{n}")).collect();
        let mut backends = Vec::new();
        for (n, shard) in shards.iter().enumerate() {
            for copy in 0..2 {
                let id = format!("i-{shard}-{copy}");
                let zone = ZONES[(n + copy) % ZONES.len()];
                let work = options.work;
                let b = Backend::start(&store, &id, shard, zone, work, records.clone()).await?;
                backends.push(b);
            }
        }
        for (n, zone) in ZONES.iter().enumerate() {
            let id = format!("i-desk-{n}");
            let work = options.work;
            let b = Backend::start(&store, &id, "desk", zone, work, records.clone()).await?;
            backends.push(b);
        }
        let config = SiteConfig {
            version: 1,
            routes: vec![
                route("/page/", &shards, Some((10, 0.5)), true),
                route("/one/", &["desk".to_owned()], None, true),
                route("/once/", &["desk".to_owned()], None, false),
            ],
        };
        let mut site = Self {
            store,
            backends,
            vms: Vec::new(),
            store_links: Vec::new(),
            runs: records.runs,
            traffic: records.traffic,
            crashes: records.crashes,
            config,
            options,
        };
        site.store.put("config", "main", site.config.spec());
        let mut plans = (0..site.options.vms)
            .map(plan)
            .collect::<Result<Vec<_>>>()?;
        let seeds: Vec<SocketAddr> = plans.iter().map(|p| p.peers).collect();
        for plan in &mut plans {
            plan.seeds.clone_from(&seeds);
            plan.repeats = site.options.repeats;
            plan.shutdown = site.options.shutdown;
        }
        for (n, plan) in plans.into_iter().enumerate() {
            let link = FaultProxy::start(site.store.addr()).await?;
            site.store_links.push(link);
            site.vms.push(site.launch(n, plan)?);
        }
        for vm in &mut site.vms {
            vm.wait_until_ready(Duration::from_secs(10)).await?;
        }
        Ok(site)
    }

    /// Starts the `n`-th VM, or restarts it after it has ended.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn launch(&self, n: usize, plan: RelayVmPlan) -> Result<RelayVm> {
        let store = self.store_links[n].addr();
        RelayVm::start(&self.options.bin, &self.options.dir, store, plan)
    }

    /// Starts servers that requests crash, and makes a route to them.
    ///
    /// # Errors
    ///
    /// If a server cannot listen.
    pub async fn add_crashing_service(
        &mut self,
        service: &str,
        servers: usize,
        options: &RestartingServerOptions,
    ) -> Result<Vec<RestartingServer>> {
        let mut started = Vec::new();
        for n in 0..servers {
            let mut options = options.clone();
            options.id = format!("{}-{n}", options.id);
            options.zone = ZONES[n % ZONES.len()].to_owned();
            let records = ServerRecords {
                runs: Arc::clone(&self.runs),
                traffic: Arc::clone(&self.traffic),
                crashes: Arc::clone(&self.crashes),
            };
            let writer = self.store.writer();
            started.push(RestartingServer::start(writer, options, records).await?);
        }
        let services = [service.to_owned()];
        let added = route(&format!("/{service}/"), &services, None, false);
        self.configure(|cfg| cfg.routes.push(added));
        Ok(started)
    }

    /// Creates a caller whose requests are recorded.
    #[must_use]
    pub fn caller(&self) -> SiteCaller {
        SiteCaller::recording(Arc::clone(&self.traffic))
    }

    /// Returns the route with this path prefix.
    ///
    /// # Errors
    ///
    /// If there is none.
    pub fn route(&self, prefix: &str) -> Result<SiteRoute> {
        let found = self.config.routes.iter().find(|r| r.prefix == prefix);
        found
            .cloned()
            .ok_or_else(|| Error::new(ErrorKind::NotFound, format!("no route {prefix}")))
    }

    /// Returns the backend server with this id.
    ///
    /// # Errors
    ///
    /// If there is none.
    pub fn backend(&mut self, id: &str) -> Result<&mut Backend> {
        let found = self.backends.iter_mut().find(|b| b.id() == id);
        found.ok_or_else(|| Error::new(ErrorKind::NotFound, format!("no server {id}")))
    }

    /// Changes the configuration and writes it to the store as a new version.
    pub fn configure(&mut self, change: impl FnOnce(&mut SiteConfig)) {
        change(&mut self.config);
        self.config.version += 3;
        self.store.put("config", "main", self.config.spec());
    }

    /// Writes again what a restored store has lost, the configuration as it is by now.
    pub fn rewrite(&self, mut lost: Vec<LostWrite>) {
        lost.retain(|w| w.kind != "config");
        self.store.rewrite(lost);
        self.store.put("config", "main", self.config.spec());
    }
}

fn route(
    prefix: &str,
    services: &[String],
    page: Option<(usize, f64)>,
    is_safe: bool,
) -> SiteRoute {
    SiteRoute {
        prefix: prefix.to_owned(),
        services: services.to_vec(),
        page,
        is_safe,
        objective_ms: 400,
        timeout_ms: DEFAULT_ROUTE_TIMEOUT_MS,
    }
}

fn plan(n: usize) -> Result<RelayVmPlan> {
    let [callers, status, peers] = free_ports(allocate_address())?;
    Ok(RelayVmPlan {
        name: format!("vm-{n}"),
        zone: ZONES[n % ZONES.len()].to_owned(),
        callers,
        status,
        peers,
        seeds: Vec::new(),
        repeats: DEFAULT_REPEAT_BUDGET,
        shutdown: SHORT_SHUTDOWN,
    })
}

/// Returns three different free ports of an address.
///
/// All three sockets stay bound until the last port is found. If each were released before the next is sought,
/// two of the three ports would be equal one time in 2,300, and the VM would not start.
///
/// # Errors
///
/// [`ErrorKind::Io`] if the address has none.
pub fn free_ports(ip: Ipv4Addr) -> Result<[SocketAddr; 3]> {
    let failed = |e: std::io::Error| Error::new(ErrorKind::Io, e.to_string()).at("find a port");
    let held = [0; 3].map(|any| TcpListener::bind((ip, any)));
    let [a, b, c] = held.map(|l| l.and_then(|l| Ok((l.local_addr()?, l))));
    let (a, b, c) = (a.map_err(failed)?, b.map_err(failed)?, c.map_err(failed)?);
    Ok([a.0, b.0, c.0])
}
