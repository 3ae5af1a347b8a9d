//! An open-loop run: requests arrive when they arrive, whether or not earlier ones are answered.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bon::Builder;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::ask::LookupMix;
use super::ask::LookupRequest;
use super::caller::Caller;
use super::caller::Reply;
use super::check::Checker;
use super::tally::Tally;

/// The VMs that the platform's balancer sends callers to, in turn.
#[derive(Debug, Default)]
pub struct Targets {
    vms: RwLock<Vec<SocketAddr>>,
    next: AtomicUsize,
}

impl Targets {
    /// Starts with these.
    #[must_use]
    pub fn new(vms: Vec<SocketAddr>) -> Self {
        Self {
            vms: RwLock::new(vms),
            next: AtomicUsize::new(0),
        }
    }

    /// Replaces them.
    pub fn set(&self, vms: Vec<SocketAddr>) {
        *self.vms.write().unwrap_or_else(PoisonError::into_inner) = vms;
    }

    /// The next in turn.
    #[must_use]
    pub fn next(&self) -> Option<SocketAddr> {
        let vms = self.vms.read().unwrap_or_else(PoisonError::into_inner);
        let n = self.next.fetch_add(1, Ordering::Relaxed);
        vms.get(n.checked_rem(vms.len())?).copied()
    }
}

/// How callers ask again after a refusal or no page in time.
#[derive(Clone, Copy, Debug)]
pub struct Resends {
    /// Resends a request at most.
    pub most: u32,
    /// The wait before each.
    pub wait: Duration,
}

/// One run of load.
#[derive(Clone, Debug, Builder)]
pub struct LoadSpec {
    /// Arrivals a second.
    pub rate: f64,
    /// How long requests arrive.
    pub length: Duration,
    /// The seed of the arrivals.
    #[builder(default = 20_261_203)]
    pub seed: u64,
    /// The one-way delay between callers and VMs.
    #[builder(default)]
    pub to_callers: Duration,
    /// Whether callers ask again.
    pub resends: Option<Resends>,
}

/// The tallies of a run, by lookup.
type Tallies = Arc<Mutex<BTreeMap<&'static str, Tally>>>;

/// What one request needs.
#[derive(Clone)]
struct Shared {
    caller: Caller,
    targets: Arc<Targets>,
    checker: Option<Checker>,
    spec: LoadSpec,
    tallies: Tallies,
}

/// Runs load, waits until every request has ended, and gives the tallies by lookup.
pub async fn run(
    spec: LoadSpec,
    mut mix: LookupMix,
    targets: Arc<Targets>,
    checker: Option<Checker>,
) -> BTreeMap<&'static str, Tally> {
    let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
    let tallies = Tallies::default();
    let shared = Shared {
        caller: Caller::new(),
        targets,
        checker,
        spec: spec.clone(),
        tallies: tallies.clone(),
    };
    let mut requests = JoinSet::new();
    let start = Instant::now();
    let mut due = Duration::ZERO;
    loop {
        let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        due += Duration::from_secs_f64(-u.ln() / spec.rate);
        if due > spec.length {
            break;
        }
        tokio::time::sleep_until(start + due).await;
        requests.spawn(one(shared.clone(), mix.draw(), start + due));
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    let mut out = tallies.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut out)
}

/// One request with its resends; its latency counts from when it was due to arrive.
async fn one(shared: Shared, ask: LookupRequest, due: Instant) {
    let mut left = shared.spec.resends.map_or(0, |r| r.most);
    loop {
        let reply = send(&shared, &ask).await;
        let took = due.elapsed();
        let slowest = shared.checker.as_ref().and_then(|c| c.slowest_part(&reply));
        let fault = shared.checker.as_ref().and_then(|c| c.check(&ask, &reply));
        if let Some(f) = fault {
            log::warn!("event=wrong-answer fault={f:?} ask={ask:?} reply={reply:?}");
        }
        let done = reply.page().is_some();
        {
            let mut tallies = lock(&shared.tallies);
            let tally = tallies.entry(ask.lookup.name).or_default();
            tally.count(&reply, took, fault);
            if let Some(slowest) = slowest {
                tally.count_added(took, slowest);
            }
        }
        let Some(resends) = shared.spec.resends else {
            return;
        };
        if done || left == 0 {
            return;
        }
        left -= 1;
        tokio::time::sleep(resends.wait).await;
    }
}

async fn send(shared: &Shared, ask: &LookupRequest) -> Reply {
    let delay = shared.spec.to_callers;
    let Some(vm) = shared.targets.next() else {
        return Reply::Unreachable;
    };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let reply = shared.caller.request(vm, ask).await;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    reply
}

fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
