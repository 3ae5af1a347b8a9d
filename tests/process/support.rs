//! What the process tests share: a small deployment with the real binary.

use std::collections::BTreeMap;
use std::ops::Deref;
use std::ops::DerefMut;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use gs_rig::corpus::Corpus;
use gs_rig::deploy::Shape;
use gs_rig::deployment::Deployment;
use gs_rig::deployment::DeploymentOptions;
use gs_rig::load;
use gs_rig::load::Caller;
use gs_rig::load::LoadSpec;
use gs_rig::load::LookupMix;
use gs_rig::load::LookupRequest;
use gs_rig::load::Reply;
use gs_rig::load::Tally;
use gs_rig::load::Targets;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

/// The seed of every process test.
pub const SEED: u64 = 20_261_203;

/// Deployments that run at the same time; more would only wait for the machine.
const AT_ONCE: usize = 3;

/// Room for deployments in this test process.
static ROOM: Semaphore = Semaphore::const_new(AT_ONCE);

/// A deployment and its room.
pub struct Running {
    deployment: Deployment,
    _room: SemaphorePermit<'static>,
}

impl Deref for Running {
    type Target = Deployment;

    fn deref(&self) -> &Deployment {
        &self.deployment
    }
}

impl DerefMut for Running {
    fn deref_mut(&mut self) -> &mut Deployment {
        &mut self.deployment
    }
}

/// Starts three VMs, one in each data centre, over four shards of two replicas.
pub async fn tiny() -> Running {
    start(Shape::tiny(), "").await
}

/// Starts a deployment of this shape, with these settings added.
pub async fn start(shape: Shape, settings: &str) -> Running {
    let room = ROOM.acquire().await.expect("the semaphore stays open");
    let options = DeploymentOptions::builder()
        .shape(shape)
        .corpus(Arc::new(Corpus::sample(400)))
        .bin(PathBuf::from(env!("CARGO_BIN_EXE_gentiansill")))
        .seed(SEED)
        .settings(settings)
        .build();
    let deployment = Deployment::start(options)
        .await
        .expect("the deployment starts");
    Running {
        deployment,
        _room: room,
    }
}

/// Runs checked load over every lookup and gives the tallies' sum.
pub async fn load(d: &Deployment, targets: Arc<Targets>, rate: f64, length: Duration) -> Tally {
    load_mix(d, d.mix(SEED), targets, rate, length).await
}

/// Runs checked load over this mix and gives the tallies' sum.
pub async fn load_mix(
    d: &Deployment,
    mix: LookupMix,
    targets: Arc<Targets>,
    rate: f64,
    length: Duration,
) -> Tally {
    let spec = LoadSpec::builder()
        .rate(rate)
        .length(length)
        .seed(SEED)
        .build();
    let tallies = load::run(spec, mix, targets, Some(d.checker())).await;
    sum(&tallies)
}

/// The same over every lookup, not bound to the deployment, so that its VMs can be restarted.
pub fn load_apart(
    d: &Deployment,
    targets: Arc<Targets>,
    rate: f64,
    length: Duration,
) -> impl Future<Output = Tally> + use<> {
    let (mix, checker) = (d.mix(SEED), d.checker());
    let spec = LoadSpec::builder()
        .rate(rate)
        .length(length)
        .seed(SEED)
        .build();
    async move { sum(&load::run(spec, mix, targets, Some(checker)).await) }
}

/// The sum over all lookups.
fn sum(tallies: &BTreeMap<&'static str, Tally>) -> Tally {
    let mut all = Tally::default();
    tallies.values().for_each(|t| all.add(t));
    all
}

/// Draws one lookup of this name.
pub fn ask(d: &Deployment, lookup: &str, seed: u64) -> LookupRequest {
    d.mix(seed).only(&[lookup]).draw()
}

/// Asks a VM by its number, and checks the answer.
pub async fn ask_vm(d: &Deployment, vm: usize, ask: &LookupRequest) -> Reply {
    let reply = Caller::new().request(d.vms[vm].plan().callers, ask).await;
    assert_eq!(d.checker().check(ask, &reply), None, "{reply:?}");
    reply
}

/// The reason of a refusal.
pub fn reason(reply: &Reply) -> Option<String> {
    reply.refusal().map(|r| r.reason.to_string())
}

/// Waits until something holds; gives up, and fails the test, only after a time that no healthy
/// run comes near.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + Duration::from_secs(30);
    while !holds().await {
        assert!(tokio::time::Instant::now() < end, "never happened: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
