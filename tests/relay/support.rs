//! What the tests share: a small site with the real binary.

use std::collections::HashSet;
use std::path::PathBuf;
use std::time::Duration;

use gs_rig::site::Answer;
use gs_rig::site::CallOutcome;
use gs_rig::site::Site;
use gs_rig::site::SiteCaller;
use gs_rig::site::SiteOptions;
use gs_rig::site::SiteRoute;
use rustix::process::Signal;
use tempfile::TempDir;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

/// Sites that run at the same time; more would only wait for the machine.
static ROOM: Semaphore = Semaphore::const_new(3);

/// The longest that a configuration may take: what the users' sites allow at the least, 3 s.
pub const APPLY: Duration = Duration::from_secs(3);

/// The longest that a test waits for something that takes a few seconds.
const UNTIL_MAX: Duration = Duration::from_secs(20);

/// The time between two looks whether it has come.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// A site, its folder and its room.
pub struct Running {
    pub site: Site,
    pub caller: SiteCaller,
    dir: TempDir,
    next: u32,
    _room: SemaphorePermit<'static>,
}

/// Starts three VMs, one in each data centre, over six shards of two servers.
pub async fn site() -> Running {
    site_of(3).await
}

/// Starts so many VMs, one after the other in three data centres, over six shards of two servers.
pub async fn site_of(vms: usize) -> Running {
    let room = ROOM.acquire().await.expect("the semaphore stays open");
    let dir = tempfile::tempdir().expect("a folder");
    let options = SiteOptions::builder()
        .bin(PathBuf::from(env!("CARGO_BIN_EXE_gentiansill")))
        .dir(dir.path().to_owned())
        .vms(vms)
        .build();
    Running {
        site: Site::start(options).await.expect("the site starts"),
        caller: SiteCaller::new(),
        dir,
        next: 0,
        _room: room,
    }
}

impl Running {
    pub fn route(&self, prefix: &str) -> SiteRoute {
        self.site.route(prefix).expect("a route")
    }

    /// Asks the `vm`-th VM on a route.
    pub async fn ask(&mut self, vm: usize, route: &SiteRoute) -> Answer {
        self.next += 1;
        let id = format!("q{}", self.next);
        let addr = self.site.vms[vm].plan().callers;
        self.caller.request(addr, route, &id).await
    }

    /// Asks each VM in turn, `rounds` times; gives all answers.
    pub async fn ask_all(&mut self, rounds: usize, route: &SiteRoute) -> Vec<Answer> {
        let mut answers = Vec::new();
        for n in 0..rounds * self.site.vms.len() {
            answers.push(self.ask(n % self.site.vms.len(), route).await);
        }
        answers
    }

    /// Asks until the answer is whole and right; fails after `limit`.
    pub async fn until_whole(&mut self, vm: usize, route: &SiteRoute, limit: Duration) {
        let end = tokio::time::Instant::now() + limit;
        loop {
            let answer = self.ask(vm, route).await;
            if answer.outcome == CallOutcome::Right(0) {
                return;
            }
            let lines = || self.lines(&["event=directory-", "event=vms", "event=routes "]);
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

    /// Starts a VM that was killed, and waits until it is ready.
    pub async fn start(&mut self, vm: usize) {
        let plan = self.site.vms[vm].plan().clone();
        let mut again = self.site.launch(vm, plan).expect("it starts again");
        let ready = again.wait_until_ready(Duration::from_secs(5)).await;
        ready.expect("it is ready");
        self.site.vms[vm] = again;
    }

    /// Waits until something holds; fails after [`UNTIL_MAX`].
    pub async fn until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = tokio::time::Instant::now() + UNTIL_MAX;
        while !holds(self) {
            assert!(tokio::time::Instant::now() < end, "not in time: {what}");
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Calls made to the store whose method and path begin like this.
    pub fn calls(&self, begin: &str) -> u64 {
        let calls = self.site.store.calls();
        let wanted = calls.iter().filter(|(call, _)| call.starts_with(begin));
        wanted.map(|(_, n)| n).sum()
    }

    /// Whom the `vm`-th VM hears of the register from, by the last line of its log that says so.
    pub fn source(&self, vm: usize) -> Option<String> {
        let log = self.log(&self.site.vms[vm].plan().name);
        let lines = log.lines().rev();
        let mut sources = lines.filter_map(|line| line.split_once("event=register-source source="));
        sources.next().map(|(_, source)| source.to_owned())
    }

    /// The logs of all VMs.
    pub fn logs(&self) -> String {
        let files = std::fs::read_dir(self.dir.path()).expect("the folder");
        let logs = files.filter_map(|f| {
            let path = f.ok()?.path();
            let is_log = path.extension().is_some_and(|e| e == "log");
            is_log.then(|| std::fs::read_to_string(path).ok())?
        });
        logs.collect()
    }

    /// The lines of all logs that hold one of these texts, each after the name of its VM, in the order of time.
    pub fn lines(&self, texts: &[&str]) -> String {
        let names = self.site.vms.iter().map(|vm| vm.plan().name.clone());
        let logs: Vec<_> = names.map(|name| (self.log(&name), name)).collect();
        let lines = logs.iter().flat_map(|(log, name)| {
            let wanted = log
                .lines()
                .filter(|line| texts.iter().any(|text| line.contains(text)));
            wanted.map(move |line| (line, name))
        });
        let mut lines: Vec<_> = lines.collect();
        // Each line begins with its time.
        lines.sort();
        lines
            .iter()
            .map(|(line, name)| format!("{name} {line}\n"))
            .collect()
    }

    /// The log of a VM; empty before its first line.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// How often a request ran, on all servers together.
    pub fn ran(&self, id: &str) -> u32 {
        let runs = self.site.runs.lock().expect("the runs");
        let of_id = runs.iter().filter(|((_, i), _)| i == id);
        of_id.map(|(_, n)| *n).sum()
    }

    /// The servers that ran any request since the runs were cleared.
    pub fn busy(&self) -> HashSet<String> {
        let runs = self.site.runs.lock().expect("the runs");
        runs.keys().map(|(server, _)| server.clone()).collect()
    }

    pub fn clear_runs(&self) {
        self.site.runs.lock().expect("the runs").clear();
    }
}

/// Fails if an answer is wrong, or is not of the kind wanted.
pub fn all(answers: &[Answer], wanted: impl Fn(&CallOutcome) -> bool) {
    let bad: Vec<&Answer> = answers.iter().filter(|a| !wanted(&a.outcome)).collect();
    assert!(bad.is_empty(), "{bad:?}");
}

pub fn is_right(v: &CallOutcome) -> bool {
    matches!(v, CallOutcome::Right(_))
}

pub fn is_whole(v: &CallOutcome) -> bool {
    *v == CallOutcome::Right(0)
}
