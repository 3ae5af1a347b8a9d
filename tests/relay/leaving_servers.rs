//! Randomized test of servers that are removed from the store and go on serving, while VMs are disturbed.
//!
//! Each seed draws what is disturbed, at which phase of the VMs' heartbeats, and when the server is removed after it. VMs
//! that are not disturbed must not send a request to the server once it may have exited.

use std::env;
use std::time::Duration;
use std::time::Instant;

use gs_rig::site::LinkFault;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use rustix::process::Signal;
use strum::IntoEnumIterator;
use tokio::task::JoinSet;

use crate::support::FOLLOWED_VMS;
use crate::support::TestSite;
use crate::support::start_followed_site;

/// The direct VMs of the first data centre.
const DIRECT_VMS: [usize; 2] = [0, 12];

/// The server that is removed, in the data centre of [`DIRECT_VMS`].
const LEAVING_SERVER: &str = "i-desk-0";

/// How long a removed server continues to serve.
const DRAIN: Duration = Duration::from_secs(3);

/// How long after a disturbance of all VMs they count as undisturbed again.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// The time over which moments are drawn, at least that between two heartbeats.
const PHASE_MAX_MS: u64 = 1500;

/// The latest removal after a disturbance.
const REMOVAL_MAX_MS: u64 = 1000;

/// Time in which each VM sends several requests.
const LATE_PERIOD: Duration = Duration::from_millis(1200);

/// The environment variable with the number of seeds to run, from [`FIRST_SEED`] on.
const SEEDS_VAR: &str = "GS_LEAVING_SEEDS";

/// The first seed that [`SEEDS_VAR`] runs.
const FIRST_SEED: u64 = 5700;

/// What happens before the server is removed.
#[derive(Clone, Copy, Debug, strum::EnumIter)]
enum Disturbance {
    OneSilent,
    BothSilent,
    /// The second direct VM is partitioned some time after the first.
    BothSilentInTurn,
    OneWay,
    Reset,
    /// The open connections of all VMs to the store go silent; new ones work.
    SilentConnections,
    Kill,
    Pause,
}

/// A drawn run.
#[derive(Debug)]
struct Draw {
    disturbance: Disturbance,
    vm: usize,
    phase: Duration,
    gap: Duration,
    removal: Duration,
}

impl Draw {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let all: Vec<Disturbance> = Disturbance::iter().collect();
        Self {
            disturbance: *all.choose(&mut rng).expect("a disturbance"),
            vm: *DIRECT_VMS.choose(&mut rng).expect("a VM"),
            phase: Duration::from_millis(rng.random_range(0..PHASE_MAX_MS)),
            gap: Duration::from_millis(rng.random_range(500..2000)),
            removal: Duration::from_millis(rng.random_range(0..REMOVAL_MAX_MS)),
        }
    }

    /// Returns the VMs that are disturbed for so long that nothing is asked of them.
    fn disturbed_vms(&self) -> Vec<usize> {
        match self.disturbance {
            Disturbance::BothSilent | Disturbance::BothSilentInTurn => DIRECT_VMS.to_vec(),
            Disturbance::SilentConnections => Vec::new(),
            _ => vec![self.vm],
        }
    }

    /// Returns how long after the removal undisturbed VMs may still use the server.
    fn allowed(&self) -> Duration {
        match self.disturbance {
            Disturbance::SilentConnections => DRAIN.max(STABLE_WINDOW - self.removal),
            _ => DRAIN,
        }
    }
}

/// Disturbs the VMs, and removes the server's entry meanwhile.
async fn disturb_and_remove(r: &mut TestSite, draw: &Draw) {
    let cut = |r: &TestSite, vm: usize, fault| r.site.store_links[vm].set_fault(fault);
    let other = DIRECT_VMS[usize::from(draw.vm == DIRECT_VMS[0])];
    match draw.disturbance {
        Disturbance::OneSilent => cut(r, draw.vm, LinkFault::Silent),
        Disturbance::BothSilent => {
            cut(r, draw.vm, LinkFault::Silent);
            cut(r, other, LinkFault::Silent);
        }
        Disturbance::BothSilentInTurn => {
            cut(r, draw.vm, LinkFault::Silent);
            tokio::time::sleep(draw.gap).await;
            cut(r, other, LinkFault::Silent);
        }
        Disturbance::OneWay => cut(r, draw.vm, LinkFault::OneWay),
        Disturbance::Reset => cut(r, draw.vm, LinkFault::Reset),
        Disturbance::SilentConnections => {
            for link in &r.site.store_links {
                link.abandon_connections();
            }
        }
        Disturbance::Kill => r.site.vms[draw.vm].signal(Signal::KILL),
        Disturbance::Pause => r.site.vms[draw.vm].signal(Signal::STOP),
    }
    tokio::time::sleep(draw.removal).await;
    r.site.store.delete("servers", LEAVING_SERVER);
}

/// Runs one seed; returns the draw and the logs if an undisturbed VM used the server for too long.
async fn violation(seed: u64) -> Option<String> {
    let draw = Draw::new(seed);
    let mut r = start_followed_site().await;
    tokio::time::sleep(draw.phase).await;
    disturb_and_remove(&mut r, &draw).await;
    tokio::time::sleep(draw.allowed()).await;
    r.clear_runs();
    let disturbed = draw.disturbed_vms();
    let route = r.route("/once/");
    let end = Instant::now() + LATE_PERIOD;
    while Instant::now() < end {
        for vm in (0..FOLLOWED_VMS).filter(|vm| !disturbed.contains(vm)) {
            r.request(vm, &route).await;
        }
    }
    r.site.vms[draw.vm].signal(Signal::CONT);
    let lines = || r.log_lines(&["event=register-", "event=directory-", "event=server-"]);
    let is_late = r.busy_servers().contains(LEAVING_SERVER);
    is_late.then(|| format!("seed {seed}: {draw:?}\n{}", lines()))
}

/// Guards against VMs that use a removed server for too long, whatever delays the news of its removal.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
#[case(5)]
#[case(6)]
#[tokio::test]
async fn undisturbed_vms_do_not_use_a_removed_server_for_too_long(#[case] seed: u64) {
    assert_eq!(violation(seed).await, None);
}

/// Runs more seeds by hand: the number of them is in [`SEEDS_VAR`]; none without it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn undisturbed_vms_do_not_use_a_removed_server_for_too_long_with_more_seeds() {
    let seeds = env::var(SEEDS_VAR).ok().and_then(|n| n.parse().ok());
    let mut runs = JoinSet::new();
    for seed in (FIRST_SEED..).take(seeds.unwrap_or(0)) {
        runs.spawn(async move { (seed, violation(seed).await) });
    }
    let mut violations = Vec::new();
    while let Some(run) = runs.join_next().await {
        let (seed, violation) = run.expect("the run ends");
        let disturbance = Draw::new(seed).disturbance;
        println!("{seed} {disturbance:?} late={}", violation.is_some());
        violations.extend(violation);
    }
    assert_eq!(violations, Vec::<String>::new());
}
