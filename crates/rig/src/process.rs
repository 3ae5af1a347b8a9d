//! Starts, signals, measures and ends one `gentiansill` process, by its process id.

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

/// The path that answers 200 once a VM accepts lookups.
pub(crate) const READY_PATH: &str = "/ready";

/// The interval between two checks of a process's state.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The clock ticks per second in `/proc`; the kernel's user-space interface fixes this value.
const TICKS_PER_SECOND: u64 = 100;

/// A running VM process; killed when dropped.
#[derive(Debug)]
pub struct VmProcess {
    plan: VmPlan,
    child: Child,
    started: Instant,
}

/// The resources used by a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, user and system.
    pub cpu: Duration,
    /// Resident memory.
    pub resident: Bytes,
    /// The number of threads.
    pub threads: u32,
}

impl VmProcess {
    /// Starts `bin serve` with a settings file; its log is appended to `log`.
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

    /// Returns the plan of its VM.
    #[must_use]
    pub fn plan(&self) -> &VmPlan {
        &self.plan
    }

    /// Returns its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until it accepts lookups and returns the time since its start.
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
                return Err(self.failed(format!("the process exited with {status}")));
            }
            if Instant::now() > end {
                return Err(self.failed(format!("not ready within {limit:?}")));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether it reports that it accepts lookups.
    pub async fn is_ready(&self, caller: &Caller) -> bool {
        let response = caller.get(self.plan.admin, READY_PATH);
        let answer = tokio::time::timeout(Duration::from_secs(1), response).await;
        matches!(answer, Ok(Ok((200, _))))
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// If it has ended.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        rustix::process::kill_process(self.pid()?, signal)
            .map_err(|e| self.failed(format!("signal: {e}")))
    }

    /// Sends SIGSTOP and waits until all threads have stopped.
    ///
    /// The signal wakes one thread, which stops the others; until it has run, on a busy machine, they go on.
    ///
    /// # Errors
    ///
    /// If it has ended.
    pub async fn pause(&self) -> Result<()> {
        self.signal(Signal::STOP)?;
        while !self.is_paused()? {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns whether all threads have stopped.
    fn is_paused(&self) -> Result<bool> {
        let failed = |e: std::io::Error| self.failed(format!("read its state: {e}"));
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        for thread in threads.map_err(failed)? {
            let stat = thread.map_err(failed)?.path().join("stat");
            let stat = std::fs::read_to_string(stat).map_err(failed)?;
            // The state follows the name, which stands in parentheses.
            let state = stat.rsplit_once(") ").map(|(_, fields)| fields);
            if !state.is_some_and(|fields| fields.starts_with('T')) {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Waits until it has exited.
    ///
    /// # Errors
    ///
    /// If it has not exited within `limit`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Result<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Ok(status),
                Ok(None) if Instant::now() < end => tokio::time::sleep(POLL_INTERVAL).await,
                Ok(None) => return Err(self.failed(format!("still running after {limit:?}"))),
                Err(e) => return Err(self.failed(e.to_string())),
            }
        }
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        // Fails if the process has already ended; then there is nothing to kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the resources used so far.
    ///
    /// # Errors
    ///
    /// If it has ended.
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

/// Returns the resources used so far by a process, from `/proc`.
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
    let status_field = |key: &str| {
        let found = status.lines().find_map(|l| l.strip_prefix(key));
        found
            .and_then(|l| l.split_whitespace().next())
            .and_then(|n| n.parse::<u64>().ok())
            .unwrap_or(0)
    };
    Ok(Usage {
        cpu: cpu(&stat),
        resident: Bytes(status_field("VmRSS:") << 10),
        threads: u32::try_from(status_field("Threads:")).unwrap_or(0),
    })
}

/// Returns the processor time from fields 14 and 15 of `stat`, counted from the end of the program's
/// name, which may contain spaces and parentheses.
fn cpu(stat: &str) -> Duration {
    let after = stat.rsplit(')').next().unwrap_or("");
    let ticks: u64 = after
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|n| n.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}
