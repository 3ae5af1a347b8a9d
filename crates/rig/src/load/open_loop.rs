//! Open-loop load: requests arrive at a given rate, whether or not earlier ones were answered.

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

use super::caller::Caller;
use super::caller::Reply;
use super::check::Checker;
use super::mix::LookupMix;
use super::mix::LookupRequest;
use super::tally::Tally;

/// The VMs to which the balancer sends requests, round-robin.
#[derive(Debug, Default)]
pub struct Targets {
    vms: RwLock<Vec<SocketAddr>>,
    next: AtomicUsize,
}

impl Targets {
    /// Creates targets with these addresses.
    #[must_use]
    pub fn new(vms: Vec<SocketAddr>) -> Self {
        Self {
            vms: RwLock::new(vms),
            next: AtomicUsize::new(0),
        }
    }

    /// Replaces the addresses.
    pub fn set(&self, vms: Vec<SocketAddr>) {
        *self.vms.write().unwrap_or_else(PoisonError::into_inner) = vms;
    }

    /// Returns the next address, if there is one.
    #[must_use]
    pub fn next(&self) -> Option<SocketAddr> {
        let vms = self.vms.read().unwrap_or_else(PoisonError::into_inner);
        let n = self.next.fetch_add(1, Ordering::Relaxed);
        vms.get(n.checked_rem(vms.len())?).copied()
    }
}

/// How callers resend a request that got no page.
#[derive(Clone, Copy, Debug)]
pub struct Resends {
    /// The maximum number of resends of a request.
    pub resends_max: u32,
    /// The delay before each resend.
    pub resend_delay: Duration,
}

/// The parameters of one load run.
#[derive(Clone, Debug, Builder)]
pub struct LoadSpec {
    /// Arrivals per second.
    pub rate: f64,
    /// The duration of the arrivals.
    pub length: Duration,
    /// The seed of the arrivals.
    #[builder(default = 20_261_203)]
    pub seed: u64,
    /// The one-way delay between callers and VMs.
    #[builder(default)]
    pub to_callers: Duration,
    /// How callers resend requests; they do not if absent.
    pub resends: Option<Resends>,
}

/// The tallies of a run by lookup name.
type Tallies = Arc<Mutex<BTreeMap<&'static str, Tally>>>;

/// The state shared by all requests of a run.
#[derive(Clone)]
struct SharedState {
    caller: Caller,
    targets: Arc<Targets>,
    checker: Option<Checker>,
    spec: LoadSpec,
    tallies: Tallies,
}

/// Runs load, waits until every request has ended, and returns the tallies by lookup name.
pub async fn run(
    spec: LoadSpec,
    mut mix: LookupMix,
    targets: Arc<Targets>,
    checker: Option<Checker>,
) -> BTreeMap<&'static str, Tally> {
    let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
    let tallies = Tallies::default();
    let shared = SharedState {
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
        requests.spawn(send_with_resends(shared.clone(), mix.draw(), start + due));
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    let mut out = tallies.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut out)
}

/// Sends one request and its resends; latency is measured from the scheduled arrival.
async fn send_with_resends(shared: SharedState, request: LookupRequest, due: Instant) {
    let mut left = shared.spec.resends.map_or(0, |r| r.resends_max);
    loop {
        let reply = send(&shared, &request).await;
        let took = due.elapsed();
        let slowest = shared.checker.as_ref().and_then(|c| c.slowest_part(&reply));
        let fault = shared
            .checker
            .as_ref()
            .and_then(|c| c.check(&request, &reply));
        if let Some(f) = fault {
            log::warn!("event=wrong-answer fault={f:?} ask={request:?} reply={reply:?}");
        }
        let done = reply.page().is_some();
        {
            let mut tallies = lock(&shared.tallies);
            let tally = tallies.entry(request.lookup.name).or_default();
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
        tokio::time::sleep(resends.resend_delay).await;
    }
}

async fn send(shared: &SharedState, request: &LookupRequest) -> Reply {
    let delay = shared.spec.to_callers;
    let Some(vm) = shared.targets.next() else {
        return Reply::Unreachable;
    };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let reply = shared.caller.request(vm, request).await;
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    reply
}

fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
