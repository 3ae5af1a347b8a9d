//! A randomized soak test: real processes, injected faults, and checks of the guarantees.
//!
//! Faults follow each other and overlap. Callers keep using their connections until a process has ended. The
//! checks cover what callers and backend servers observe: no wrong page, no at-most-once request executed
//! twice, no refusal as not run of a request that ran, no request cut by a planned shutdown, no more repeats than all
//! VMs together may make, and complete pages again once the faults are over.

use std::collections::HashMap;
use std::path::PathBuf;
use std::time::Duration;

use bon::Builder;
use gs_types::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use strum::IntoEnumIterator;
use tokio::time::Instant;

use super::backend::BackendFaults;
use super::proxy::LinkFault;
use super::recovery;
use super::setup::DEFAULT_REPEAT_BUDGET;
use super::setup::Site;
use super::setup::SiteOptions;
use super::soak_crashes::CrashingRequests;
use super::soak_crashes::Disturbance;
use super::soak_faults::Fault;
use super::soak_faults::Repair;
use super::soak_late_copies::LateCopiesFault;
use super::soak_load::Load;
use super::soak_store_reads::StoreReads;
use super::store::StoreFault;
use super::store_restores::StoreRestores;
use super::traffic::RepeatBudget;

/// The repeats allowed for each VM in addition to the ratio: so few that the faults of a soak use them up.
const SLACK_PER_VM: f64 = 10.0;

/// The longest that a VM takes to end after SIGTERM.
const VM_END_MAX: Duration = Duration::from_secs(1);

/// The options of a soak.
#[derive(Builder)]
pub struct SoakOptions {
    /// The `gentiansill` program.
    pub bin: PathBuf,
    /// The directory for settings and logs.
    pub dir: PathBuf,
    /// The seed of all faults.
    pub seed: u64,
    /// The duration during which faults are injected.
    pub length: Duration,
    /// The number of VMs.
    #[builder(default = 3)]
    pub vms: usize,
    /// The number of shards.
    #[builder(default = 6)]
    pub shards: usize,
    /// Whether the store is also restored from copies. These faults are drawn by themselves, so that a seed draws the
    /// same other faults with and without them.
    #[builder(default = true)]
    pub store_restores: bool,
    /// Whether a request that crashes servers is sent again and again.
    #[builder(default = true)]
    pub crashing_requests: bool,
    /// Whether servers also refuse requests at first and send late copies of their answers; drawn by itself.
    #[builder(default = true)]
    pub late_copies: bool,
    /// Whether reads that may be old are old, and open connections to the store go silent for good; drawn by itself.
    #[builder(default = true)]
    pub store_reads: bool,
}

/// The result of a soak.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// The number of requests by outcome.
    pub ends: HashMap<&'static str, u64>,
    /// The injected faults, in order.
    pub faults: Vec<String>,
    /// The violated guarantees; empty if the soak passed.
    pub violations: Vec<String>,
}

/// A period in which a VM may cut requests, because it was killed or paused.
pub(super) struct Outage {
    pub(super) vm: usize,
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// Starts a site, injects faults for the given duration, and checks all requests.
///
/// # Errors
///
/// If the site does not start.
pub async fn soak(options: SoakOptions) -> Result<SoakReport> {
    let repeats = RepeatBudget {
        slack: SLACK_PER_VM * options.vms as f64,
        ..DEFAULT_REPEAT_BUDGET
    };
    let site = SiteOptions::builder()
        .bin(options.bin)
        .dir(options.dir)
        .vms(options.vms)
        .shards(options.shards)
        .repeats(repeats)
        .build();
    let mut active = ActiveSoak {
        site: Site::start(site).await?,
        repeats,
        rng: ChaCha8Rng::seed_from_u64(options.seed),
        pending_repairs: Vec::new(),
        outages: Vec::new(),
        disturbances: Vec::new(),
        restores: StoreRestores::new(options.seed),
        late_copies: LateCopiesFault::new(options.seed),
        store_reads: StoreReads::new(options.seed),
        report: SoakReport::default(),
    };
    let crashing = match options.crashing_requests {
        true => Some(CrashingRequests::start(&mut active.site, options.seed).await?),
        false => None,
    };
    let load = Load::start(&active.site);
    let end = Instant::now() + options.length;
    while Instant::now() < end {
        let wait = active.rng.random_range(100..700);
        active.sleep_and_repair(Duration::from_millis(wait)).await?;
        active.inject_fault().await?;
        if options.store_restores {
            active.copy_store();
        }
        if options.late_copies {
            active.begin_late_copies();
        }
        if options.store_reads {
            let injected = active.store_reads.inject(&active.site);
            let injected = injected.map(|fault| fault.to_string());
            active.report.faults.extend(injected);
        }
    }
    active.repair_all().await?;
    active.site.configure(recovery::add_route);
    let unrecovered = recovery::unrecovered_vms(&active.site).await;
    active.report.violations.extend(unrecovered);
    let requests = load.stop().await;
    active.check_requests(&requests);
    active.check_repeats();
    let violation = crashing.and_then(|c| c.violation(&active.disturbances));
    active.report.violations.extend(violation);
    Ok(active.report)
}

/// A soak in progress.
pub(super) struct ActiveSoak {
    pub(super) site: Site,
    pub(super) repeats: RepeatBudget,
    rng: ChaCha8Rng,
    /// The repairs that end the injected faults, with their times.
    pending_repairs: Vec<(Instant, Repair)>,
    pub(super) outages: Vec<Outage>,
    disturbances: Vec<Disturbance>,
    restores: StoreRestores,
    late_copies: LateCopiesFault,
    store_reads: StoreReads,
    pub(super) report: SoakReport,
}

impl ActiveSoak {
    /// Makes a copy of the store now and then, from which it is restored later.
    fn copy_store(&mut self) {
        let Some(copied) = self.restores.copy(&self.site) else {
            return;
        };
        self.report.faults.push(copied.to_string());
        self.pending_repairs
            .push((copied.restore_at, Repair::StoreRestore));
    }

    /// Makes a service send late copies now and then.
    fn begin_late_copies(&mut self) {
        let Some(begun) = self.late_copies.inject(&self.site) else {
            return;
        };
        self.report.faults.push(begun.to_string());
        self.pending_repairs.push((begun.until, Repair::LateCopies));
    }

    /// Sleeps for the given duration and makes the repairs that are due meanwhile.
    async fn sleep_and_repair(&mut self, d: Duration) -> Result<()> {
        let until = Instant::now() + d;
        loop {
            self.pending_repairs.sort_by_key(|(at, _)| *at);
            let due = self
                .pending_repairs
                .first()
                .filter(|(at, _)| *at <= until)
                .copied();
            let Some((at, repair)) = due else { break };
            tokio::time::sleep_until(at).await;
            self.pending_repairs.remove(0);
            self.repair(repair).await?;
        }
        tokio::time::sleep_until(until).await;
        Ok(())
    }

    /// Draws a fault, its target and its duration, and injects it.
    async fn inject_fault(&mut self) -> Result<()> {
        let all: Vec<Fault> = Fault::iter().collect();
        let Some(fault) = all.choose(&mut self.rng).copied() else {
            return Ok(());
        };
        let length = Duration::from_millis(self.rng.random_range(200..2500));
        let vm = self.rng.random_range(0..self.site.vms.len());
        let server = self.rng.random_range(0..self.site.backends.len());
        self.report
            .faults
            .push(format!("{fault} vm={vm} server={server} {length:?}"));
        let until = Instant::now() + length;
        let repair = self.apply_fault(fault, vm, server, until).await?;
        if let Some(repair) = repair {
            self.pending_repairs.push((until, repair));
        }
        Ok(())
    }

    async fn apply_fault(
        &mut self,
        fault: Fault,
        vm: usize,
        server: usize,
        until: Instant,
    ) -> Result<Option<Repair>> {
        let is_down =
            |m: &Repair| matches!(m, Repair::VmRestart(v) | Repair::VmContinue(v) if *v == vm);
        let vm_is_down = self.pending_repairs.iter().any(|(_, m)| is_down(m));
        let site = &mut self.site;
        let faulty = |f: fn(&mut BackendFaults)| {
            let mut faults = BackendFaults::default();
            f(&mut faults);
            faults
        };
        let server_faults = match fault {
            Fault::ServerPause => Some(faulty(|f| f.pause = Some(Duration::from_millis(600)))),
            Fault::ServerLoses => Some(faulty(|f| f.loses = true)),
            Fault::ServerTruncates => Some(faulty(|f| f.truncates = true)),
            Fault::ServerCrosses => Some(faulty(|f| f.crosses = true)),
            Fault::ServerSheds => Some(faulty(|f| f.sheds = true)),
            Fault::ServerFails => Some(faulty(|f| f.fails = true)),
            _ => None,
        };
        if let Some(faults) = server_faults {
            site.backends[server].set_faults(faults);
            return Ok(Some(Repair::ServerFaults(server)));
        }
        let disturbance = Disturbance {
            vm,
            from: Instant::now(),
            // A VM that was stopped is restarted then, or later if it is still ending.
            until: until + VM_END_MAX,
        };
        let link = |fault| {
            site.backends[server].link().set_fault(fault);
            Some(Repair::ServerLink(server))
        };
        let store = |fault| {
            site.store.set_fault(fault);
            Some(Repair::Store)
        };
        let store_link = |fault| {
            site.store_links[vm].set_fault(fault);
            Some(Repair::StoreLink(vm))
        };
        Ok(match fault {
            Fault::ServerLinkDelay => link(LinkFault::Delay(Duration::from_millis(80))),
            Fault::ServerLinkReset => link(LinkFault::Reset),
            Fault::ServerLinkSilent => link(LinkFault::Silent),
            Fault::ServerLinkOneWay => link(LinkFault::OneWay),
            Fault::StoreBusy => store(StoreFault::Busy),
            Fault::StoreSilent => store(StoreFault::Silent),
            Fault::StoreLost => store(StoreFault::Lost),
            Fault::StoreSlow => store(StoreFault::Slow(Duration::from_millis(400))),
            Fault::StoreLinkReset => store_link(LinkFault::Reset),
            Fault::StoreLinkSilent => store_link(LinkFault::Silent),
            Fault::StoreLinkOneWay => store_link(LinkFault::OneWay),
            Fault::StoreForgets => {
                site.store.drop_history();
                None
            }
            Fault::Configure => {
                site.configure(|c| c.routes[0].objective_ms ^= 8);
                None
            }
            Fault::ServerCrash => {
                site.backends[server].crash();
                Some(Repair::ServerRestart(server))
            }
            // A VM that is already down or paused gets no second signal.
            _ if vm_is_down => None,
            Fault::VmReload => {
                site.vms[vm].signal(Signal::HUP);
                None
            }
            Fault::VmTerm => {
                self.disturbances.push(disturbance);
                site.vms[vm].signal(Signal::TERM);
                Some(Repair::VmRestart(vm))
            }
            Fault::VmKill => {
                self.disturbances.push(disturbance);
                self.record_outage(vm, until);
                self.site.vms[vm].signal(Signal::KILL);
                Some(Repair::VmRestart(vm))
            }
            _ => {
                self.disturbances.push(disturbance);
                self.record_outage(vm, until);
                self.site.vms[vm].signal(Signal::STOP);
                Some(Repair::VmContinue(vm))
            }
        })
    }

    /// Records that a VM may cut or delay requests until the given time and 4 s longer.
    fn record_outage(&mut self, vm: usize, until: Instant) {
        self.outages.push(Outage {
            vm,
            from: Instant::now(),
            until: until + Duration::from_secs(4),
        });
    }

    async fn repair(&mut self, repair: Repair) -> Result<()> {
        let site = &mut self.site;
        match repair {
            Repair::VmContinue(vm) => site.vms[vm].signal(Signal::CONT),
            Repair::VmRestart(vm) => {
                let ended = site.vms[vm].wait_for_exit(Duration::from_secs(8)).await;
                if let Err(e) = ended {
                    self.report
                        .violations
                        .push(format!("vm {vm} did not end: {e}"));
                }
                let plan = self.site.vms[vm].plan().clone();
                self.site.vms[vm] = self.site.launch(vm, plan)?;
            }
            Repair::ServerRestart(server) => site.backends[server].restart().await?,
            Repair::ServerFaults(server) => {
                site.backends[server].set_faults(BackendFaults::default())
            }
            Repair::ServerLink(server) => site.backends[server].link().set_fault(LinkFault::None),
            Repair::LateCopies => LateCopiesFault::end(site),
            Repair::Store => site.store.set_fault(StoreFault::None),
            Repair::StoreRestore => {
                let rewrite_at = self.restores.restore(site);
                self.pending_repairs
                    .push((rewrite_at, Repair::StoreRewrite));
            }
            Repair::StoreRewrite => self.restores.rewrite(site),
            Repair::StoreLink(vm) => site.store_links[vm].set_fault(LinkFault::None),
        }
        Ok(())
    }

    /// Waits for and makes all pending repairs.
    async fn repair_all(&mut self) -> Result<()> {
        while let Some(last) = self.pending_repairs.iter().map(|(at, _)| *at).max() {
            self.sleep_and_repair(last.saturating_duration_since(Instant::now()))
                .await?;
        }
        Ok(())
    }
}
