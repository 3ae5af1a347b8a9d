//! A running deployment: stand-ins in this process and a `gentiansill` process for each VM.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use gs_types::prelude::*;
use tempfile::TempDir;

use crate::corpus::Corpus;
use crate::deploy::Shape;
use crate::deploy::Snapshots;
use crate::deploy::VmPlan;
use crate::deploy::config;
use crate::deploy::plan_vms;
use crate::link::Link;
use crate::load::Caller;
use crate::load::Checker;
use crate::load::LookupMix;
use crate::load::Targets;
use crate::net::Net;
use crate::net::SiteNumber;
use crate::platform::Control;
use crate::platform::MeshAddresses;
use crate::platform::Platform;
use crate::platform::PlatformOptions;
use crate::platform::Vm;
use crate::process::VmProcess;
use crate::reference::ReferenceSearch;
use crate::server::Servers;

/// The secret of the rig's mesh; it is valid only for the rig's own processes.
const MESH_SECRET: &str = "rig-mesh-secret-of-no-worth-00000";

/// The time within which a process must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval and the timeout of the balancer's readiness probes.
const BALANCER_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The sites of a deployment.
const SITES: std::ops::RangeInclusive<SiteNumber> = 1..=3;

/// The options of a deployment.
#[derive(Clone, Debug, Builder)]
pub struct DeploymentOptions {
    /// Its sizes, delays and lookups.
    pub shape: Shape,
    /// The searched text.
    pub corpus: Arc<Corpus>,
    /// The `gentiansill` program.
    pub bin: PathBuf,
    /// The mean service time of its backend servers.
    #[builder(default = Duration::from_millis(4))]
    pub service_time: Duration,
    /// The seed of its backend servers.
    #[builder(default = 20_261_203)]
    pub seed: u64,
    /// Sections appended to every settings file.
    #[builder(default, into)]
    pub settings: String,
    /// The delay of the platform's answers.
    #[builder(default = Duration::from_millis(2))]
    pub platform_delay: Duration,
    /// The delay until changes appear in the platform's VM list.
    #[builder(default = Duration::from_secs(1))]
    pub vm_lag: Duration,
}

/// A running deployment; dropping it ends everything.
#[derive(Debug)]
pub struct Deployment {
    /// Its sizes, delays and lookups.
    pub shape: Shape,
    /// Its network.
    pub net: Arc<Net>,
    /// Its backend servers.
    pub servers: Servers,
    /// Its platform.
    pub platform: Platform,
    /// Its snapshots.
    pub snapshots: Arc<Snapshots>,
    /// The reference search over its text.
    pub reference: Arc<ReferenceSearch>,
    /// Its VMs, ordered by data centre.
    pub vms: Vec<VmProcess>,
    /// The time from each VM's start until it reported ready.
    pub times_to_ready: Vec<Duration>,
    corpus: Arc<Corpus>,
    options: DeploymentOptions,
    dir: TempDir,
    _links: Vec<Link>,
}

impl Deployment {
    /// Starts the stand-ins and the VMs, and waits until every VM is ready.
    ///
    /// # Errors
    ///
    /// If something cannot be started, or a VM is not ready in time.
    pub async fn start(options: DeploymentOptions) -> Result<Self> {
        let (mut d, plans) = Self::start_stand_ins(options).await?;
        for plan in plans {
            let vm = d.start_process(plan)?;
            d.vms.push(vm);
        }
        for vm in &mut d.vms {
            let after = vm.wait_until_ready(START_TIMEOUT).await?;
            d.times_to_ready.push(after);
        }
        Ok(d)
    }

    async fn start_stand_ins(options: DeploymentOptions) -> Result<(Self, Vec<VmPlan>)> {
        let shape = options.shape.clone();
        let corpus = options.corpus.clone();
        let net = Arc::new(Net::with_unused_network(shape.between));
        let specs = shape.servers(options.service_time, options.seed)?;
        let servers = Servers::start(net.clone(), specs.clone()).await?;
        let snapshots = Arc::new(Snapshots::new(shape.clone(), specs, corpus.clone()));
        let plans = plan_vms(&shape, &net)?;
        let (links, mesh_addresses) = link_mesh(&net, &plans).await?;
        let vms: Result<Vec<Vm>> = plans.iter().map(vm_entry).collect();
        let platform = Platform::start(
            PlatformOptions::builder()
                .addr(SocketAddr::from((net.ip(crate::net::OUTSIDE, 1), 0)))
                .vms(vms?)
                .vm_lag(options.vm_lag)
                .delay(options.platform_delay)
                .mesh_addresses(mesh_addresses)
                .build(),
        )
        .await?;
        let dir = tempfile::tempdir().map_err(|e| io_error(&e))?;
        std::fs::write(dir.path().join("mesh.secret"), MESH_SECRET).map_err(|e| io_error(&e))?;
        let d = Self {
            reference: Arc::new(ReferenceSearch::new(corpus.clone())),
            shape,
            net,
            servers,
            platform,
            snapshots,
            vms: Vec::new(),
            times_to_ready: Vec::new(),
            corpus,
            options,
            dir,
            _links: links,
        };
        d.put("config/current", &config(&d.shape)?)?;
        for g in d.shape.groups.clone() {
            d.publish(g.name, SnapshotId(1), g.services)?;
        }
        Ok((d, plans))
    }

    /// Publishes a snapshot to the servers, then the group's map to the platform.
    ///
    /// # Errors
    ///
    /// If there is no such group.
    pub fn publish(&self, group: &str, snapshot: SnapshotId, shards: u32) -> Result<()> {
        self.snapshots
            .publish(&self.servers, group, snapshot, shards)?;
        self.write_group_map(group)
    }

    /// Removes a snapshot from a group's map on the platform.
    ///
    /// # Errors
    ///
    /// If there is no such group.
    pub fn retire(&self, group: &str, snapshot: SnapshotId) -> Result<()> {
        self.snapshots.retire(group, snapshot);
        self.write_group_map(group)
    }

    /// Returns the path of a VM's log file.
    #[must_use]
    pub fn log_of(&self, vm: &VmId) -> PathBuf {
        self.dir.path().join(format!("{vm}.log"))
    }

    /// Returns the VMs as the balancer's targets; with `follow`, only those that report ready.
    #[must_use]
    pub fn targets(&self, follow: bool) -> Arc<Targets> {
        let vms = self.vms.iter().map(|v| v.plan().callers).collect();
        let targets = Arc::new(Targets::new(vms));
        if follow {
            let plans: Vec<VmPlan> = self.vms.iter().map(|v| v.plan().clone()).collect();
            tokio::spawn(follow_readiness(plans, Arc::downgrade(&targets)));
        }
        targets
    }

    /// Returns a checker of answers for this deployment.
    #[must_use]
    pub fn checker(&self) -> Checker {
        Checker::new(
            self.reference.clone(),
            self.snapshots.clone(),
            self.servers.clone(),
        )
    }

    /// Returns a mix of lookups over this deployment's text.
    #[must_use]
    pub fn mix(&self, seed: u64) -> LookupMix {
        LookupMix::new(&self.shape, &self.corpus, seed)
    }

    /// Partitions a data centre from the others and from the platform.
    ///
    /// # Errors
    ///
    /// If the data centre's name does not fit the rules for names.
    pub fn cut(&self, site: SiteNumber) -> Result<()> {
        for other in SITES.filter(|s| *s != site) {
            self.net.cut(site, other);
        }
        self.cut_platform(&[site])
    }

    /// Heals all partitions.
    ///
    /// # Errors
    ///
    /// Never; the return type is shared with [`Deployment::cut`].
    pub fn heal(&self) -> Result<()> {
        for a in SITES {
            for b in SITES {
                self.net.heal(a, b);
            }
        }
        self.cut_platform(&[])
    }

    /// Restarts the process of a VM; kills it first if it still runs.
    ///
    /// # Errors
    ///
    /// If it cannot be started or is not ready in time.
    pub async fn restart(&mut self, vm: usize) -> Result<()> {
        let plan = self.vms[vm].plan().clone();
        self.vms[vm].kill();
        self.vms[vm] = self.start_process(plan)?;
        self.vms[vm].wait_until_ready(START_TIMEOUT).await?;
        Ok(())
    }

    fn cut_platform(&self, sites: &[SiteNumber]) -> Result<()> {
        let names: Result<Vec<DataCentre>> = sites
            .iter()
            .map(|s| self.shape.data_centre(*s).parse())
            .collect();
        self.platform.control(Control {
            cut_data_centres: Some(names?),
            ..Control::default()
        });
        Ok(())
    }

    fn start_process(&self, plan: VmPlan) -> Result<VmProcess> {
        let dir: &Path = self.dir.path();
        let settings = dir.join(format!("{}.toml", plan.name));
        let secret = dir.join("mesh.secret");
        let text = plan.settings(self.platform.addr(), &secret, &self.options.settings);
        std::fs::write(&settings, text).map_err(|e| io_error(&e))?;
        let log = self.log_of(&plan.name);
        VmProcess::start(&self.options.bin, plan, &settings, &log)
    }

    fn write_group_map(&self, group: &str) -> Result<()> {
        let map = self.snapshots.map(&self.servers, group)?;
        self.put(&format!("groups/{group}"), &map)
    }

    fn put(&self, path: &str, object: &impl serde::Serialize) -> Result<()> {
        let text = serde_json::to_vec(object)
            .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()))?;
        self.platform.put(path, text);
        Ok(())
    }
}

/// Starts a link to every VM's mesh address from each of the other data centres.
async fn link_mesh(net: &Arc<Net>, plans: &[VmPlan]) -> Result<(Vec<Link>, MeshAddresses)> {
    let mut links = Vec::new();
    let mut table = MeshAddresses::new();
    for to in plans {
        for from in SITES.filter(|s| *s != to.site) {
            let link = Link::start(net.clone(), from, to.site, to.mesh).await?;
            for source in plans.iter().filter(|p| p.site == from) {
                let shown = table.entry(source.ip.into()).or_default();
                shown.insert(to.name.clone(), link.addr());
            }
            links.push(link);
        }
    }
    Ok((links, table))
}

fn vm_entry(plan: &VmPlan) -> Result<Vm> {
    Ok(Vm {
        vm: plan.name.clone(),
        data_centre: plan.data_centre.parse()?,
        region: plan.region.parse()?,
        mesh: plan.mesh,
        callers: plan.callers,
        admin: plan.admin,
        leaving: false,
    })
}

/// Keeps the targets equal to the VMs that report ready, until the targets are dropped.
async fn follow_readiness(plans: Vec<VmPlan>, targets: std::sync::Weak<Targets>) {
    let caller = Caller::new();
    while let Some(targets) = targets.upgrade() {
        let mut ready = Vec::new();
        for plan in &plans {
            let response = caller.get(plan.admin, crate::process::READY_PATH);
            let answer = tokio::time::timeout(BALANCER_POLL_INTERVAL, response).await;
            if matches!(answer, Ok(Ok((200, _)))) {
                ready.push(plan.callers);
            }
        }
        targets.set(ready);
        drop(targets);
        tokio::time::sleep(BALANCER_POLL_INTERVAL).await;
    }
}

fn io_error(e: &std::io::Error) -> Error {
    Error::new(ErrorKind::Io, e.to_string()).at("set up a deployment")
}
