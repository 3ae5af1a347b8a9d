//! Helpers for the relay tests: a small site that runs the real binary.

use std::collections::HashSet;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use gs_rig::site::Answer;
use gs_rig::site::CallOutcome;
use gs_rig::site::DEFAULT_REPEAT_BUDGET;
use gs_rig::site::RepeatBudget;
use gs_rig::site::ShutdownTimes;
use gs_rig::site::Site;
use gs_rig::site::SiteCaller;
use gs_rig::site::SiteOptions;
use gs_rig::site::SiteRoute;
use rustix::process::Signal;
use tempfile::TempDir;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

/// Limits how many sites run at the same time in this test process; more would only compete for CPU time.
static SITE_PERMITS: Semaphore = Semaphore::const_new(3);

/// Maximum time until a configuration is in force: 3 s, the lowest limit among users' sites.
pub const CONFIG_APPLY_MAX: Duration = Duration::from_secs(3);

/// Maximum time that [`TestSite::wait_until`] waits for a condition, which usually takes a few seconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of VMs of a site with followers: six in each data centre.
pub const FOLLOWED_VMS: usize = 18;

/// Number of data centres, over which VMs are distributed in turn.
pub const DATA_CENTRES: usize = 3;

/// Interval between two checks of a condition.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A running site, its folder and its permit from [`SITE_PERMITS`].
pub struct TestSite {
    pub site: Site,
    pub caller: SiteCaller,
    dir: TempDir,
    requests: u32,
    _permit: SemaphorePermit<'static>,
}

/// Starts three VMs, one in each data centre, over six shards with two servers each, and waits until they may repeat
/// attempts.
pub async fn start_site() -> TestSite {
    start_site_with(3).await
}

/// Starts the given number of VMs, distributed in turn over three data centres, over six shards with two servers each.
pub async fn start_site_with(vms: usize) -> TestSite {
    start_site_with_budget(vms, DEFAULT_REPEAT_BUDGET).await
}

/// Starts the same with the given budget of repeats that all VMs share.
pub async fn start_site_with_budget(vms: usize, repeats: RepeatBudget) -> TestSite {
    start_site_with_options(|bin, dir| {
        SiteOptions::builder()
            .bin(bin)
            .dir(dir)
            .vms(vms)
            .repeats(repeats)
            .build()
    })
    .await
}

/// Starts three VMs with the given times of a shutdown.
pub async fn start_site_with_shutdown(shutdown: ShutdownTimes) -> TestSite {
    start_site_with_options(|bin, dir| {
        SiteOptions::builder()
            .bin(bin)
            .dir(dir)
            .shutdown(shutdown)
            .build()
    })
    .await
}

/// Starts a site with the options that `options` returns for a program and a folder, and waits until its VMs may repeat
/// attempts.
async fn start_site_with_options(
    options: impl FnOnce(PathBuf, PathBuf) -> SiteOptions,
) -> TestSite {
    let permit = SITE_PERMITS
        .acquire()
        .await
        .expect("the semaphore stays open");
    let dir = tempfile::tempdir().expect("a folder");
    let options = options(
        PathBuf::from(env!("CARGO_BIN_EXE_gentiansill")),
        dir.path().to_owned(),
    );
    let site = Site::start(options).await.expect("the site starts");
    for vm in &site.vms {
        let usable = vm.wait_until_slack_is_usable(Duration::from_secs(5)).await;
        usable.expect("it may repeat attempts");
    }
    TestSite {
        caller: site.caller(),
        site,
        dir,
        requests: 0,
        _permit: permit,
    }
}

/// Starts a site of [`FOLLOWED_VMS`] VMs and waits until four of six in each data centre follow another VM.
pub async fn start_followed_site() -> TestSite {
    let r = start_site_with(FOLLOWED_VMS).await;
    r.wait_until("two direct VMs in each data centre and followers", |r| {
        let direct =
            (0..FOLLOWED_VMS).filter(|vm| r.register_source(*vm).as_deref() == Some("register"));
        let following = (0..FOLLOWED_VMS)
            .filter(|vm| r.register_source(*vm).is_some_and(|s| s.starts_with("vm-")));
        direct.count() == 2 * DATA_CENTRES && following.count() == 4 * DATA_CENTRES
    })
    .await;
    r
}

/// Adds a route, which makes a new version of the configuration.
pub fn add_route(r: &mut TestSite, prefix: &str) -> SiteRoute {
    let mut route = r.route("/one/");
    prefix.clone_into(&mut route.prefix);
    let added = route.clone();
    r.site.configure(|cfg| cfg.routes.push(added));
    route
}

/// Waits until these VMs answer on a new route; returns how long it took.
pub async fn wait_until_in_force(r: &mut TestSite, vms: &[usize], route: &SiteRoute) -> Duration {
    let start = Instant::now();
    for vm in vms {
        while !matches!(r.request(*vm, route).await.outcome, CallOutcome::Right(_)) {
            assert!(
                start.elapsed() < CONFIG_APPLY_MAX,
                "VM {vm} does not know the route"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    start.elapsed()
}

impl TestSite {
    pub fn route(&self, prefix: &str) -> SiteRoute {
        self.site.route(prefix).expect("a route")
    }

    /// Sends a request on a route to the VM with this index.
    pub async fn request(&mut self, vm: usize, route: &SiteRoute) -> Answer {
        self.requests += 1;
        let id = format!("q{}", self.requests);
        let addr = self.site.vms[vm].plan().callers;
        self.caller.request(addr, route, &id).await
    }

    /// Sends `rounds` requests to each VM in turn; returns all answers.
    pub async fn request_all(&mut self, rounds: usize, route: &SiteRoute) -> Vec<Answer> {
        let mut answers = Vec::new();
        for n in 0..rounds * self.site.vms.len() {
            answers.push(self.request(n % self.site.vms.len(), route).await);
        }
        answers
    }

    /// Sends requests until an answer is right and complete; fails after `limit`.
    pub async fn wait_until_complete(&mut self, vm: usize, route: &SiteRoute, limit: Duration) {
        let end = tokio::time::Instant::now() + limit;
        loop {
            let answer = self.request(vm, route).await;
            if answer.outcome == CallOutcome::Right(0) {
                return;
            }
            let lines = || self.log_lines(&["event=directory-", "event=vms", "event=routes "]);
            assert!(tokio::time::Instant::now() < end, "{answer:?}\n{}", lines());
        }
    }

    /// Kills a VM.
    pub async fn kill(&mut self, vm: usize) {
        self.site.vms[vm].signal(Signal::KILL);
        let ended = self.site.vms[vm]
            .wait_for_exit(Duration::from_secs(5))
            .await;
        ended.expect("it ends");
    }

    /// Restarts a killed VM and waits until it is ready.
    pub async fn restart(&mut self, vm: usize) {
        let plan = self.site.vms[vm].plan().clone();
        let mut restarted = self.site.launch(vm, plan).expect("it starts again");
        let ready = restarted.wait_until_ready(Duration::from_secs(5)).await;
        ready.expect("it is ready");
        self.site.vms[vm] = restarted;
    }

    /// Waits until a condition holds; fails after [`WAIT_TIMEOUT`].
    pub async fn wait_until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while !holds(self) {
            assert!(
                tokio::time::Instant::now() < end,
                "timed out waiting for: {what}"
            );
            tokio::time::sleep(RECHECK_INTERVAL).await;
        }
    }

    /// Returns the number of calls to the store whose method and path start with `prefix`.
    pub fn count_calls(&self, prefix: &str) -> u64 {
        let calls = self.site.store.calls();
        let matching = calls.iter().filter(|(call, _)| call.starts_with(prefix));
        matching.map(|(_, n)| n).sum()
    }

    /// Returns the same without the calls that may be answered from an old state.
    pub fn count_full_calls(&self, prefix: &str) -> u64 {
        let calls = self.site.store.serializable_calls();
        let matching = calls.iter().filter(|(call, _)| call.starts_with(prefix));
        self.count_calls(prefix) - matching.map(|(_, n)| n).sum::<u64>()
    }

    /// Returns the source from which the VM with this index follows the register, as last logged.
    pub fn register_source(&self, vm: usize) -> Option<String> {
        let log = self.log(&self.site.vms[vm].plan().name);
        let lines = log.lines().rev();
        let mut sources = lines.filter_map(|line| line.split_once("event=register-source source="));
        sources.next().map(|(_, source)| source.to_owned())
    }

    /// Returns the logs of all VMs, concatenated.
    pub fn logs(&self) -> String {
        let files = std::fs::read_dir(self.dir.path()).expect("the folder");
        let logs = files.filter_map(|f| {
            let path = f.ok()?.path();
            let is_log = path.extension().is_some_and(|e| e == "log");
            is_log.then(|| std::fs::read_to_string(path).ok())?
        });
        logs.collect()
    }

    /// Returns the lines of all logs that contain one of these texts, in the order of time, each after its VM's name.
    pub fn log_lines(&self, texts: &[&str]) -> String {
        let names = self.site.vms.iter().map(|vm| vm.plan().name.clone());
        let logs: Vec<_> = names.map(|name| (self.log(&name), name)).collect();
        let lines = logs.iter().flat_map(|(log, name)| {
            let matching = log
                .lines()
                .filter(|line| texts.iter().any(|text| line.contains(text)));
            matching.map(move |line| (line, name))
        });
        let mut lines: Vec<_> = lines.collect();
        // Each line starts with its time.
        lines.sort();
        lines
            .iter()
            .map(|(line, name)| format!("{name} {line}\n"))
            .collect()
    }

    /// Returns the log of a VM; empty if it has not logged yet.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Returns how often a request ran on all servers together.
    pub fn count_runs(&self, id: &str) -> u32 {
        let runs = self.site.runs.lock().expect("the runs");
        let of_id = runs.iter().filter(|((_, i), _)| i == id);
        of_id.map(|(_, n)| *n).sum()
    }

    /// Returns the servers that ran any request since [`TestSite::clear_runs`].
    pub fn busy_servers(&self) -> HashSet<String> {
        let runs = self.site.runs.lock().expect("the runs");
        runs.keys().map(|(server, _)| server.clone()).collect()
    }

    pub fn clear_runs(&self) {
        self.site.runs.lock().expect("the runs").clear();
    }
}

/// Fails unless the outcome of every answer satisfies `is_expected`.
pub fn assert_all(answers: &[Answer], is_expected: impl Fn(&CallOutcome) -> bool) {
    let bad: Vec<&Answer> = answers
        .iter()
        .filter(|a| !is_expected(&a.outcome))
        .collect();
    assert!(bad.is_empty(), "{bad:?}");
}

pub fn is_right(outcome: &CallOutcome) -> bool {
    matches!(outcome, CallOutcome::Right(_))
}

pub fn is_complete(outcome: &CallOutcome) -> bool {
    *outcome == CallOutcome::Right(0)
}
