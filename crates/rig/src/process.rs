//! One `gentiansill` process of a deployment: started, signalled, measured and ended by its id.

use std::fs::File;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use rustix::process::Pid;
use rustix::process::Signal;

use crate::deploy::VmPlan;
use crate::load::Caller;

/// The path that answers 200 once a VM takes lookups.
pub(crate) const READY: &str = "/ready";

/// The time between two looks at something that a process brings about.
const LOOK_AGAIN: Duration = Duration::from_millis(5);

/// Clock ticks a second in `/proc`; fixed by the kernel's interface to programs.
const TICKS: u64 = 100;

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct VmProcess {
    plan: VmPlan,
    child: Child,
    started: Instant,
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, user and system.
    pub cpu: Duration,
    /// Resident memory.
    pub resident: Bytes,
    /// Threads.
    pub threads: u32,
}

impl VmProcess {
    /// Starts `bin serve` with a settings file; its log goes to `log`.
    ///
    /// # Errors
    ///
    /// If the program cannot be started.
    pub fn start(bin: &Path, plan: VmPlan, settings: &Path, log: &Path) -> Result<Self> {
        let failed = |e: std::io::Error| {
            Error::new(ErrorKind::Io, e.to_string())
                .at("start a VM's process")
                .from_peer(plan.name.to_string())
        };
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(failed)?;
        let child = Command::new(bin)
            .arg("serve")
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(failed)?;
        Ok(Self {
            plan,
            child,
            started: Instant::now(),
        })
    }

    /// Its VM.
    #[must_use]
    pub fn plan(&self) -> &VmPlan {
        &self.plan
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until it takes lookups; gives the time since its start.
    ///
    /// # Errors
    ///
    /// If it exits, or is not ready within `limit`.
    pub async fn wait_until_ready(&mut self, limit: Duration) -> Result<Duration> {
        let caller = Caller::new();
        let end = Instant::now() + limit;
        loop {
            if self.is_ready(&caller).await {
                return Ok(self.started.elapsed());
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(self.failed(format!("it exited with {status}")));
            }
            if Instant::now() > end {
                return Err(self.failed(format!("not ready within {limit:?}")));
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Whether it says that it takes lookups.
    pub async fn is_ready(&self, caller: &Caller) -> bool {
        let asked = caller.get(self.plan.admin, READY);
        let answer = tokio::time::timeout(Duration::from_secs(1), asked).await;
        matches!(answer, Ok(Ok((200, _))))
    }

    /// Sends it a signal.
    ///
    /// # Errors
    ///
    /// If it is gone.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        rustix::process::kill_process(self.pid()?, signal)
            .map_err(|e| self.failed(format!("signal: {e}")))
    }

    /// Waits until it has exited.
    ///
    /// # Errors
    ///
    /// If it has not within `limit`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Result<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Ok(status),
                Ok(None) if Instant::now() < end => tokio::time::sleep(LOOK_AGAIN).await,
                Ok(None) => return Err(self.failed(format!("still running after {limit:?}"))),
                Err(e) => return Err(self.failed(e.to_string())),
            }
        }
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        // It may be gone already, which is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// What it has used so far.
    ///
    /// # Errors
    ///
    /// If it is gone.
    pub fn usage(&self) -> Result<Usage> {
        usage_of(self.id())
    }

    fn pid(&self) -> Result<Pid> {
        i32::try_from(self.child.id())
            .ok()
            .and_then(Pid::from_raw)
            .ok_or_else(|| self.failed("no process id".to_owned()))
    }

    fn failed(&self, text: String) -> Error {
        Error::new(ErrorKind::Unavailable, text)
            .at("watch a VM's process")
            .from_peer(self.plan.name.to_string())
    }
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a process has used so far, from `/proc`.
///
/// # Errors
///
/// If there is no such process.
pub fn usage_of(pid: u32) -> Result<Usage> {
    let read = |name: &str| {
        std::fs::read_to_string(format!("/proc/{pid}/{name}"))
            .map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("read a process's usage"))
    };
    let (stat, status) = (read("stat")?, read("status")?);
    let line = |key: &str| {
        let found = status.lines().find_map(|l| l.strip_prefix(key));
        found
            .and_then(|l| l.split_whitespace().next())
            .and_then(|n| n.parse::<u64>().ok())
            .unwrap_or(0)
    };
    Ok(Usage {
        cpu: cpu(&stat),
        resident: Bytes(line("VmRSS:") << 10),
        threads: u32::try_from(line("Threads:")).unwrap_or(0),
    })
}

/// The fields 14 and 15 of `stat`, counted after the program's name, which may hold anything.
fn cpu(stat: &str) -> Duration {
    let after = stat.rsplit(')').next().unwrap_or("");
    let ticks: u64 = after
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|n| n.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * 1000 / TICKS)
}
