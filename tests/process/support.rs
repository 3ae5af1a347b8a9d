//! Helpers for the process tests: a small deployment that runs the real binary.

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

/// Seed of the deployment, lookups and load in every process test.
pub const SEED: u64 = 20_261_203;

/// Maximum number of deployments that run at the same time; more would only compete for CPU time.
const DEPLOYMENTS_MAX: usize = 3;

/// Limits how many deployments run at the same time in this test process.
static DEPLOYMENT_PERMITS: Semaphore = Semaphore::const_new(DEPLOYMENTS_MAX);

/// A running deployment and its permit from [`DEPLOYMENT_PERMITS`].
pub struct TestDeployment {
    deployment: Deployment,
    _permit: SemaphorePermit<'static>,
}

impl Deref for TestDeployment {
    type Target = Deployment;

    fn deref(&self) -> &Deployment {
        &self.deployment
    }
}

impl DerefMut for TestDeployment {
    fn deref_mut(&mut self) -> &mut Deployment {
        &mut self.deployment
    }
}

/// Starts three VMs, one in each data centre, over four shards with two replicas each.
pub async fn start_tiny() -> TestDeployment {
    start(Shape::tiny(), "").await
}

/// Starts a deployment of this shape with these additional settings.
pub async fn start(shape: Shape, settings: &str) -> TestDeployment {
    let permit = DEPLOYMENT_PERMITS
        .acquire()
        .await
        .expect("the semaphore stays open");
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
    TestDeployment {
        deployment,
        _permit: permit,
    }
}

/// Runs load over all lookups, checks every answer and returns the sum of the tallies.
pub async fn run_load(d: &Deployment, targets: Arc<Targets>, rate: f64, length: Duration) -> Tally {
    run_load_mix(d, d.mix(SEED), targets, rate, length).await
}

/// Runs load over this mix, checks every answer and returns the sum of the tallies.
pub async fn run_load_mix(
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
    sum_tallies(&tallies)
}

/// Like [`run_load`], but the returned future does not borrow the deployment, so that its VMs can be
/// restarted while the load runs.
pub fn run_load_detached(
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
    async move { sum_tallies(&load::run(spec, mix, targets, Some(checker)).await) }
}

/// Returns the sum of the tallies of all lookups.
fn sum_tallies(tallies: &BTreeMap<&'static str, Tally>) -> Tally {
    let mut all = Tally::default();
    tallies.values().for_each(|t| all.add(t));
    all
}

/// Draws one request for the lookup of this name.
pub fn draw_lookup(d: &Deployment, lookup: &str, seed: u64) -> LookupRequest {
    d.mix(seed).only(&[lookup]).draw()
}

/// Sends a lookup to the VM with this index and checks the answer.
pub async fn send_lookup(d: &Deployment, vm: usize, lookup: &LookupRequest) -> Reply {
    let reply = Caller::new()
        .request(d.vms[vm].plan().callers, lookup)
        .await;
    assert_eq!(d.checker().check(lookup, &reply), None, "{reply:?}");
    reply
}

/// Returns the reason if the reply is a refusal.
pub fn refusal_reason(reply: &Reply) -> Option<String> {
    reply.refusal().map(|r| r.reason.to_string())
}

/// Waits until a condition holds; fails the test after 30 s, far longer than any healthy run takes.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + Duration::from_secs(30);
    while !holds().await {
        assert!(
            tokio::time::Instant::now() < end,
            "timed out waiting for: {what}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
