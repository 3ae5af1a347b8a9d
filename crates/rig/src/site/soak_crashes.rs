//! A request that crashes servers, sent again and again during a soak, and the check that the VMs stop it.

use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::crash_runs::CrashRun;
use super::crash_runs::CrashRuns;
use super::restarting_server::RestartingServer;
use super::restarting_server::RestartingServerOptions;
use super::setup::Site;

/// The service whose servers crash.
const SERVICE: &str = "fragile";

/// The text in the path of the request that crashes them.
const CRASHES_ON: &str = "crashes";

/// The number of servers.
const SERVERS: usize = 8;

/// How long a server runs a request before it crashes.
const WORK: Duration = Duration::from_millis(20);

/// The share of callers that leave before the crash.
const LEAVING_SHARE: f64 = 0.5;

/// How long the other callers wait.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Separates the draws of how long callers wait from the others of the same seed.
const PATIENCE_STREAM: u64 = 1;

/// The time after the third crash from which runs count.
const NOTICE_MAX: Duration = Duration::from_secs(4);

/// The runs that may begin later than that.
const LATE_RUNS_MAX: usize = 3;

/// A VM that was killed, paused or stopped counts again after this time.
const IN_TOUCH_AFTER: Duration = Duration::from_secs(4);

/// A period in which a VM was not running as it should.
pub(super) struct Disturbance {
    pub(super) vm: usize,
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// Draws how long callers wait for the answer to a request that crashes servers.
struct Patience {
    rng: ChaCha8Rng,
}

impl Patience {
    /// Creates the draws of a seed; they come from a generator of their own.
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(PATIENCE_STREAM);
        Self { rng }
    }

    fn next(&mut self) -> Duration {
        match self.rng.random_bool(LEAVING_SHARE) {
            true => WORK / 2,
            false => ANSWER_TIMEOUT,
        }
    }
}

/// A request that is sent again and again until dropped.
pub(super) struct CrashingRequests {
    runs: Arc<CrashRuns>,
    task: JoinHandle<()>,
    _servers: Vec<RestartingServer>,
}

impl CrashingRequests {
    /// Starts the servers and the caller, who sends the request to a random VM each time.
    ///
    /// # Errors
    ///
    /// If a server does not start.
    pub(super) async fn start(site: &mut Site, seed: u64) -> Result<Self> {
        let options = RestartingServerOptions::builder()
            .id("i-fragile".to_owned())
            .service(SERVICE.to_owned())
            .zone(String::new())
            .work(WORK)
            .crashes_on(CRASHES_ON)
            .down_for(Duration::from_secs(3))
            .build();
        let servers = site
            .add_crashing_service(SERVICE, SERVERS, &options)
            .await?;
        let vms: Vec<_> = site.vms.iter().map(|vm| vm.plan().callers).collect();
        let caller = site.caller();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut patience = Patience::new(seed);
        let task = tokio::spawn(async move {
            for n in 0_u64.. {
                tokio::time::sleep(Duration::from_millis(rng.random_range(300..900))).await;
                let vm = rng.random_range(0..vms.len());
                let (caller, addr) = (caller.clone(), vms[vm]);
                let target = format!("/{SERVICE}/{CRASHES_ON}");
                let wait = patience.next();
                tokio::spawn(async move {
                    let id = request_id(vm, n);
                    // The answer says nothing that the check needs.
                    drop(tokio::time::timeout(wait, caller.send(addr, &target, &id)).await);
                });
            }
        });
        Ok(Self {
            runs: Arc::clone(&site.crashes),
            task,
            _servers: servers,
        })
    }

    /// Returns a violation if too many runs began too late, sent by VMs that were not disturbed before.
    pub(super) fn violation(&self, disturbances: &[Disturbance]) -> Option<String> {
        let late = self.runs.late(NOTICE_MAX);
        let late = late.iter().filter(|run| is_in_touch(run, disturbances));
        let count = late.count();
        (count > LATE_RUNS_MAX).then(|| {
            let table = self.runs.table();
            format!("{count} late runs of a request that crashes servers:\n{table}")
        })
    }
}

impl Drop for CrashingRequests {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns the id of the n-th request, which names the VM that it is sent to.
fn request_id(vm: usize, n: u64) -> String {
    format!("crash-{vm}-{n}")
}

fn is_in_touch(run: &CrashRun, disturbances: &[Disturbance]) -> bool {
    let vm = run.request.split('-').nth(1).and_then(|n| n.parse().ok());
    let at = Instant::from_std(run.at);
    let is_during = |d: &Disturbance| at >= d.from && at < d.until + IN_TOUCH_AFTER;
    !disturbances
        .iter()
        .any(|d| Some(d.vm) == vm && is_during(d))
}
