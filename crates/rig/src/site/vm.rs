//! Starts, signals and ends one `gentiansill relay` process, by its process id.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use rustix::process::Pid;
use rustix::process::Signal;
use serde_json::Value;

use super::traffic::RepeatBudget;
use crate::load::Caller;

/// The interval between two checks of a process's state.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The name, addresses and data centre of a VM.
#[derive(Clone, Debug)]
pub struct RelayVmPlan {
    /// Its name.
    pub name: String,
    /// Its data centre, which is also its region.
    pub zone: String,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the balancer's probes.
    pub status: SocketAddr,
    /// The address for other VMs.
    pub peers: SocketAddr,
    /// The peer addresses of the VMs that it contacts first.
    pub seeds: Vec<SocketAddr>,
    /// The budget of repeats that all VMs share.
    pub repeats: RepeatBudget,
    /// The times of its shutdown.
    pub shutdown: ShutdownTimes,
}

/// The times of a VM's shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// The time for which it accepts connections at least.
    pub lag: Duration,
    /// The time from SIGTERM until the platform kills it.
    pub grace: Duration,
}

/// A running VM process; killed when dropped.
pub struct RelayVm {
    plan: RelayVmPlan,
    child: Child,
    settings: PathBuf,
}

impl RelayVm {
    /// Writes the settings and starts the process; its log is appended to `NAME.log` in `dir`.
    ///
    /// # Errors
    ///
    /// If a file cannot be written or the program cannot be started.
    pub fn start(bin: &Path, dir: &Path, store: SocketAddr, plan: RelayVmPlan) -> Result<Self> {
        let failed = |e: std::io::Error| Error::new(ErrorKind::Io, e.to_string()).at("start a VM");
        let settings = dir.join(format!("{}.toml", plan.name));
        std::fs::write(&settings, settings_text(&plan, store)).map_err(failed)?;
        let log = dir.join(format!("{}.log", plan.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(failed)?;
        let child = Command::new(bin)
            .arg("relay")
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(failed)?)
            .stderr(log)
            .spawn()
            .map_err(failed)?;
        Ok(Self {
            plan,
            child,
            settings,
        })
    }

    /// Returns its plan.
    #[must_use]
    pub fn plan(&self) -> &RelayVmPlan {
        &self.plan
    }

    /// Returns the path of its settings file.
    #[must_use]
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Returns the id of its process.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until its status address answers that it is ready.
    ///
    /// # Errors
    ///
    /// If it exits, or is not ready within `limit`.
    pub async fn wait_until_ready(&mut self, limit: Duration) -> Result<()> {
        let caller = Caller::new();
        let end = Instant::now() + limit;
        loop {
            let response = caller.get(self.plan.status, "/ready");
            if let Ok(Ok((200, _))) = tokio::time::timeout(Duration::from_secs(1), response).await {
                return Ok(());
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(Error::new(
                    ErrorKind::Io,
                    format!("the process exited with {status}"),
                ));
            }
            if Instant::now() > end {
                return Err(Error::new(
                    ErrorKind::Unavailable,
                    "the process was not ready in time",
                ));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until it may use its share of the repeats that are allowed in addition to the ratio: it knows the
    /// other VMs and has been running for a window of the budget.
    ///
    /// # Errors
    ///
    /// If it may not use it within `limit` after a window.
    pub async fn wait_until_slack_is_usable(&self, limit: Duration) -> Result<()> {
        let caller = Caller::new();
        let end = Instant::now() + self.plan.repeats.window + limit;
        while Instant::now() < end {
            let (_, text) = caller.get(self.plan.status, "/dump").await?;
            let dump: Value = serde_json::from_str(&text)
                .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("read a dump"))?;
            if dump["slack"]["for-others"].as_f64() > Some(0.0) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(Error::new(
            ErrorKind::Unavailable,
            "the share of the repeats was not usable in time",
        ))
    }

    /// Sends a signal to this process only.
    pub fn signal(&self, signal: Signal) {
        // Fails if the process has ended; then there is nothing to signal.
        let _ = rustix::process::kill_process(Pid::from_child(&self.child), signal);
    }

    /// Waits until it has ended and returns its exit code.
    ///
    /// # Errors
    ///
    /// If it does not end within `limit`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Result<Option<i32>> {
        let end = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Ok(status.code());
            }
            if Instant::now() > end {
                return Err(Error::new(
                    ErrorKind::Unavailable,
                    "the process did not end in time",
                ));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for RelayVm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings_text(plan: &RelayVmPlan, store: SocketAddr) -> String {
    let RelayVmPlan {
        name,
        zone,
        callers,
        status,
        peers,
        seeds,
        repeats,
        shutdown,
    } = plan;
    let seeds: Vec<String> = seeds.iter().map(|addr| format!("\"{addr}\"")).collect();
    let seeds = seeds.join(", ");
    let RepeatBudget { ratio, slack, .. } = repeats;
    let window_ms = repeats.window.as_millis();
    let (lag_ms, grace_ms) = (shutdown.lag.as_millis(), shutdown.grace.as_millis());
    format!(
        "[vm]\nname = \"{name}\"\ndata-centre = \"{zone}\"\nregion = \"{zone}\"\n\
         capacity = {{ cores = 1.0, megabits = 1000.0 }}\n\n\
         [listen]\ncallers = \"{callers}\"\nstatus = \"{status}\"\npeers = \"{peers}\"\n\n\
         [platform]\naddr = \"{store}\"\nrenew-every = \"2s\"\n\n\
         [peers]\nseeds = [{seeds}]\n\n\
         [budget]\nextra-ratio = {ratio:?}\nwindow = \"{window_ms}ms\"\nslack = {slack:?}\n\n\
         [shutdown]\nlag = \"{lag_ms}ms\"\ngrace = \"{grace_ms}ms\"\n\n\
         [log]\nlevel = \"debug\"\n"
    )
}
