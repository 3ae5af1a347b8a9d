//! A randomized soak: real processes, faults from outside, and the promises checked meanwhile.
//!
//! Faults come in series and overlap. Callers go on using their connections until a process is gone. What
//! is checked is what callers and backend servers see: no wrong page, nothing doubled that may run once, a
//! refusal that is true, nothing cut by a planned end, and whole pages again once the faults are over.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::PoisonError;
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
use super::caller::CallOutcome;
use super::proxy::LinkFault;
use super::recovery;
use super::soak_load::Load;
use super::soak_load::ObservedRequest;
use super::store::StoreFault;
use super::whole::Site;
use super::whole::SiteOptions;

/// The most violations that are told of.
const TOLD_MAX: usize = 20;

/// How a soak is run.
#[derive(Builder)]
pub struct SoakOptions {
    /// The program.
    pub bin: PathBuf,
    /// Where settings and logs are written.
    pub dir: PathBuf,
    /// The seed of all faults.
    pub seed: u64,
    /// How long faults come.
    pub length: Duration,
    /// VMs.
    #[builder(default = 3)]
    pub vms: usize,
    /// Shards.
    #[builder(default = 6)]
    pub shards: usize,
}

/// What a soak came to.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Requests by what became of them.
    pub ends: HashMap<&'static str, u64>,
    /// The faults, in order.
    pub faults: Vec<String>,
    /// The promises broken; none on a good day.
    pub violations: Vec<String>,
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, strum::EnumIter, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum Fault {
    VmTerm,
    VmKill,
    VmPause,
    VmReload,
    ServerCrash,
    ServerPause,
    ServerLoses,
    ServerTruncates,
    ServerCrosses,
    ServerSheds,
    ServerFails,
    ServerLinkDelay,
    ServerLinkReset,
    ServerLinkSilent,
    ServerLinkOneWay,
    StoreBusy,
    StoreSilent,
    StoreLost,
    StoreSlow,
    StoreForgets,
    StoreLinkReset,
    StoreLinkSilent,
    StoreLinkOneWay,
    Configure,
}

/// A time in which a VM may cut requests, as it was killed or stood still.
struct Outage {
    vm: usize,
    from: Instant,
    until: Instant,
}

/// Runs a soak.
///
/// # Errors
///
/// If the site does not start.
pub async fn soak(options: SoakOptions) -> Result<SoakReport> {
    let site = SiteOptions::builder()
        .bin(options.bin)
        .dir(options.dir)
        .vms(options.vms)
        .shards(options.shards)
        .build();
    let mut run = Run {
        site: Site::start(site).await?,
        rng: ChaCha8Rng::seed_from_u64(options.seed),
        pending: Vec::new(),
        outages: Vec::new(),
        report: SoakReport::default(),
    };
    let load = Load::start(&run.site);
    let end = Instant::now() + options.length;
    while Instant::now() < end {
        let wait = run.rng.random_range(100..700);
        run.pass(Duration::from_millis(wait)).await?;
        run.strike().await?;
    }
    run.calm().await?;
    let late = recovery::late(&run.site).await;
    run.report.violations.extend(late);
    let seen = load.stop().await;
    run.check(&seen);
    Ok(run.report)
}

/// A soak under way.
struct Run {
    site: Site,
    rng: ChaCha8Rng,
    /// What mends faults, and when.
    pending: Vec<(Instant, Mend)>,
    outages: Vec<Outage>,
    report: SoakReport,
}

/// What mends a fault.
#[derive(Clone, Copy, Debug)]
enum Mend {
    VmContinue(usize),
    VmRestart(usize),
    ServerRestart(usize),
    ServerWell(usize),
    ServerLink(usize),
    Store,
    StoreLink(usize),
}

impl Run {
    /// Lets time pass, mending what falls due.
    async fn pass(&mut self, d: Duration) -> Result<()> {
        let until = Instant::now() + d;
        loop {
            self.pending.sort_by_key(|(at, _)| *at);
            let due = self.pending.first().filter(|(at, _)| *at <= until).copied();
            let Some((at, mend)) = due else { break };
            tokio::time::sleep_until(at).await;
            self.pending.remove(0);
            self.mend(mend).await?;
        }
        tokio::time::sleep_until(until).await;
        Ok(())
    }

    /// Draws a fault and its length.
    async fn strike(&mut self) -> Result<()> {
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
        let mend = self.begin(fault, vm, server, until).await?;
        if let Some(mend) = mend {
            self.pending.push((until, mend));
        }
        Ok(())
    }

    async fn begin(
        &mut self,
        fault: Fault,
        vm: usize,
        server: usize,
        until: Instant,
    ) -> Result<Option<Mend>> {
        let is_down = |m: &Mend| matches!(m, Mend::VmRestart(v) | Mend::VmContinue(v) if *v == vm);
        let vm_is_down = self.pending.iter().any(|(_, m)| is_down(m));
        let site = &mut self.site;
        let ill = |f: fn(&mut BackendFaults)| {
            let mut faults = BackendFaults::default();
            f(&mut faults);
            faults
        };
        let sick = match fault {
            Fault::ServerPause => Some(ill(|f| f.pause = Some(Duration::from_millis(600)))),
            Fault::ServerLoses => Some(ill(|f| f.loses = true)),
            Fault::ServerTruncates => Some(ill(|f| f.truncates = true)),
            Fault::ServerCrosses => Some(ill(|f| f.crosses = true)),
            Fault::ServerSheds => Some(ill(|f| f.sheds = true)),
            Fault::ServerFails => Some(ill(|f| f.fails = true)),
            _ => None,
        };
        if let Some(faults) = sick {
            site.backends[server].set_faults(faults);
            return Ok(Some(Mend::ServerWell(server)));
        }
        let link = |harm| {
            site.backends[server].link().set_fault(harm);
            Some(Mend::ServerLink(server))
        };
        let store = |fault| {
            site.store.set_fault(fault);
            Some(Mend::Store)
        };
        let store_link = |harm| {
            site.store_links[vm].set_fault(harm);
            Some(Mend::StoreLink(vm))
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
                Some(Mend::ServerRestart(server))
            }
            // A VM that is down already, or stands still, gets no second signal.
            _ if vm_is_down => None,
            Fault::VmReload => {
                site.vms[vm].signal(Signal::HUP);
                None
            }
            Fault::VmTerm => {
                site.vms[vm].signal(Signal::TERM);
                Some(Mend::VmRestart(vm))
            }
            Fault::VmKill => {
                self.outage(vm, until);
                self.site.vms[vm].signal(Signal::KILL);
                Some(Mend::VmRestart(vm))
            }
            _ => {
                self.outage(vm, until);
                self.site.vms[vm].signal(Signal::STOP);
                Some(Mend::VmContinue(vm))
            }
        })
    }

    /// Notes that a VM may cut or hold up what comes until then and a little longer.
    fn outage(&mut self, vm: usize, until: Instant) {
        self.outages.push(Outage {
            vm,
            from: Instant::now(),
            until: until + Duration::from_secs(4),
        });
    }

    async fn mend(&mut self, mend: Mend) -> Result<()> {
        let site = &mut self.site;
        match mend {
            Mend::VmContinue(vm) => site.vms[vm].signal(Signal::CONT),
            Mend::VmRestart(vm) => {
                let ended = site.vms[vm].wait_for_exit(Duration::from_secs(8)).await;
                if let Err(e) = ended {
                    self.report
                        .violations
                        .push(format!("vm {vm} did not end: {e}"));
                }
                let plan = self.site.vms[vm].plan().clone();
                self.site.vms[vm] = self.site.launch(vm, plan)?;
            }
            Mend::ServerRestart(server) => site.backends[server].restart().await?,
            Mend::ServerWell(server) => site.backends[server].set_faults(BackendFaults::default()),
            Mend::ServerLink(server) => site.backends[server].link().set_fault(LinkFault::None),
            Mend::Store => site.store.set_fault(StoreFault::None),
            Mend::StoreLink(vm) => site.store_links[vm].set_fault(LinkFault::None),
        }
        Ok(())
    }

    /// Mends everything.
    async fn calm(&mut self) -> Result<()> {
        let last = self.pending.iter().map(|(at, _)| *at).max();
        if let Some(last) = last {
            self.pass(last.saturating_duration_since(Instant::now()))
                .await?;
        }
        Ok(())
    }

    /// Checks what callers saw against what ran.
    fn check(&mut self, seen: &[ObservedRequest]) {
        let runs = self
            .site
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut ran: HashMap<&str, u32> = HashMap::new();
        for ((_, id), n) in runs.iter() {
            *ran.entry(id).or_default() += n;
        }
        let mut violations = Vec::new();
        for s in seen {
            let ran = ran.get(s.id.as_str()).copied().unwrap_or(0);
            let kind = match &s.outcome {
                CallOutcome::Right(0) => "whole",
                CallOutcome::Right(_) => "partial",
                CallOutcome::NotRun(_) => "not-run",
                CallOutcome::Failed(_) => "failed",
                CallOutcome::Cut => "cut",
                CallOutcome::Wrong(_) => "wrong",
            };
            *self.report.ends.entry(kind).or_default() += 1;
            match &s.outcome {
                CallOutcome::Wrong(how) => violations.push(format!("{}: {how}", s.id)),
                CallOutcome::NotRun(_) if s.is_once && ran > 0 => {
                    violations.push(format!("{}: refused as not run, and ran {ran} times", s.id));
                }
                CallOutcome::NotRun(None) => {
                    violations.push(format!("{}: no time to come back", s.id))
                }
                CallOutcome::Cut if !self.may_cut(s) => {
                    violations.push(format!("{}: cut by vm {}", s.id, s.vm));
                }
                _ if s.is_once && ran > 1 => violations.push(format!("{}: ran {ran} times", s.id)),
                _ => {}
            }
        }
        let left_out = violations.len().saturating_sub(TOLD_MAX);
        violations.truncate(TOLD_MAX);
        if left_out > 0 {
            violations.push(format!("and {left_out} more"));
        }
        self.report.violations.extend(violations);
    }

    /// Whether a request may have been cut: its VM was killed or stood still, or was not there at all.
    fn may_cut(&self, s: &ObservedRequest) -> bool {
        let meets = |o: &Outage| o.vm == s.vm && s.begun < o.until && s.ended > o.from;
        let is_refused = s.ended - s.begun < Duration::from_millis(50);
        is_refused || self.outages.iter().any(meets)
    }
}
