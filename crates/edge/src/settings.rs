//! The settings of a relay process: a TOML file that is parsed and checked as a whole.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use gs_relay::ANSWER_CPU_TIME;
use gs_relay::ANSWER_NETWORK_MARGIN;
use gs_relay::Capacity;
use gs_relay::PeerVm;
use gs_relay::RelayOptions;
use gs_settings::LogLevel;
use gs_types::prelude::*;
use gs_types::size::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::shutdown_settings::Shutdown;

/// The largest settings file, in bytes.
const FILE_BYTES_MAX: u64 = 256 * 1024;

/// The largest margin before the end of an objective; a larger one suggests a mistaken unit.
const MARGIN_MAX: Duration = Duration::from_secs(10);

/// The least time between two renewals: a slow platform takes this long to answer.
const RENEW_INTERVAL_MIN: Duration = Duration::from_secs(1);

/// The least memory of a VM: what an idle process, the buffers of its connections and their free parts of bodies need.
const MEMORY_MIN: Bytes = Bytes(64 << 20);

/// The parts of a VM's memory that the bodies of requests, and answers, may use, as divisors.
const REQUEST_BODIES_DIVISOR: u64 = 8;
const ANSWERS_DIVISOR: u64 = 8;

/// The least fraction of a core that is assumed when the work on an answer is estimated.
const CORES_MIN: f64 = 0.05;

/// The shortest time in which a process can be shut down.
const GRACE_MIN: Duration = Duration::from_millis(100);

/// The fraction of an allowance that is used, so that VMs whose windows do not begin together still keep within it.
const ALLOWANCE_FRACTION: f64 = 0.9;

/// The settings of one relay process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct EdgeSettings {
    /// This VM.
    pub vm: Vm,
    /// The addresses on which it listens.
    pub listen: Listen,
    /// The platform where routes are declared and servers registered.
    pub platform: Platform,
    /// Other VMs.
    #[serde(default)]
    pub peers: Peers,
    /// The time at which answers are sent.
    #[serde(default)]
    pub answers: Answers,
    /// The budget of extra attempts at servers.
    #[serde(default)]
    pub budget: Budget,
    /// Backend servers.
    #[serde(default)]
    pub servers: Servers,
    /// The shutdown of the process.
    #[serde(default)]
    pub shutdown: Shutdown,
    /// The log of the process.
    #[serde(default)]
    pub log: Log,
}

/// The VM that the process runs on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Vm {
    /// Its name.
    pub name: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its data centre's region.
    pub region: Region,
    /// What it can process in a second.
    pub capacity: Capacity,
    /// The memory that its process may use.
    #[serde(default = "memory_usual")]
    pub memory: Bytes,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// The region of every data centre.
    #[serde(default)]
    pub data_centres: HashMap<DataCentre, Region>,
}

/// Returns the default of `memory`.
fn memory_usual() -> Bytes {
    Bytes(256 << 20)
}

/// The addresses on which a process listens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's probes, metrics and dumps.
    pub status: SocketAddr,
    /// For other VMs that delegate requests or follow this VM.
    pub peers: SocketAddr,
    /// For metrics in addition to `status`, on a port that is known in advance.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// The platform where routes are declared and servers registered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Platform {
    /// The address of the platform's store.
    pub addr: SocketAddr,
    /// The time between two renewals of this VM's announcement there; longer if there are many VMs. An
    /// announcement that was not renewed for three and a half such intervals has expired.
    #[serde(default = "renew_usual", with = "humantime_serde")]
    pub renew_every: Duration,
}

/// Returns the default of `renew-every`: a write per minute from each VM is far below what the platform admits.
fn renew_usual() -> Duration {
    Duration::from_secs(60)
}

/// Other VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Peers {
    /// The addresses on which some of them listen for peers; a VM that starts while the platform is unreachable queries
    /// them for their state.
    pub seeds: Vec<SocketAddr>,
    /// Whether this VM may learn of routes, servers and VMs from others of its data centre that query the platform.
    pub follow: bool,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            follow: true,
        }
    }
}

/// The time at which answers are sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Answers {
    /// The network latency of a request from its caller and of the answer back.
    #[serde(with = "humantime_serde")]
    pub margin: Duration,
}

/// The budget of extra attempts at servers: hedges and retries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Budget {
    /// The largest number of extra attempts per request for a service, over all VMs.
    pub extra_ratio: f64,
    /// The window in which they are counted.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// The number of extra attempts allowed on top in a window, over all VMs.
    pub slack: f64,
    /// The largest number of VMs that may run at the same time.
    pub peers: u32,
}

/// Backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Servers {
    /// How long a server that was removed from the register continues to serve.
    #[serde(with = "humantime_serde")]
    pub drain: Duration,
    /// The longest that opening a connection may take.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
}

/// The log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Log {
    /// The lowest level that is logged.
    pub level: LogLevel,
}

impl Default for Answers {
    fn default() -> Self {
        Self {
            margin: ANSWER_NETWORK_MARGIN,
        }
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            extra_ratio: 0.2,
            window: Duration::from_secs(10),
            slack: 50.0,
            peers: 12,
        }
    }
}

impl Default for Servers {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(3),
            connect_timeout: Duration::from_millis(300),
        }
    }
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
        }
    }
}

impl EdgeSettings {
    /// Loads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if it cannot be read, [`ErrorKind::TooMuch`] if it is too large, [`ErrorKind::BadInput`]
    /// with the place and the reason if its content is invalid.
    pub fn load(path: &Path) -> Result<Self> {
        let failed = |e: std::io::Error| {
            Error::new(ErrorKind::Io, e.to_string())
                .at("read settings")
                .from_peer(path.display().to_string())
                .with_hint("check that the file exists and may be read")
        };
        if std::fs::metadata(path).map_err(failed)?.len() > FILE_BYTES_MAX {
            return Err(Error::new(
                ErrorKind::TooMuch,
                format!("the file is larger than {FILE_BYTES_MAX} bytes"),
            )
            .at("read settings"));
        }
        Self::parse(&std::fs::read_to_string(path).map_err(failed)?)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] with the place and the reason.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = toml::from_str(text).map_err(|e| {
            Error::new(ErrorKind::BadInput, e.to_string())
                .at("read settings")
                .with_hint("docs/SETTINGS-relay.md lists the keys")
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        let bad = |key: &str, range: &str| {
            Err(
                Error::new(ErrorKind::BadInput, format!("`{key}` is out of range"))
                    .at("check settings")
                    .with_hint(format!("give `{key}` {range}")),
            )
        };
        if !(0.0..=10.0).contains(&self.budget.extra_ratio) {
            return bad("budget.extra-ratio", "from 0 to 10");
        }
        if !(0.0..=1e9).contains(&self.budget.slack) {
            return bad("budget.slack", "from 0 to 1e9");
        }
        if self.budget.peers == 0 {
            return bad("budget.peers", "at least 1");
        }
        if self.budget.window < Duration::from_millis(100) {
            return bad("budget.window", "at least 100ms");
        }
        if self.platform.renew_every < RENEW_INTERVAL_MIN {
            return bad("platform.renew-every", "at least 1s");
        }
        if self.answers.margin > MARGIN_MAX {
            return bad("answers.margin", "at most 10s");
        }
        if self.vm.memory < MEMORY_MIN {
            return bad("vm.memory", "at least 64MB");
        }
        if self.shutdown.grace < GRACE_MIN {
            return bad("shutdown.grace", "at least 100ms");
        }
        if self.shutdown.lag() > self.shutdown.answer_after() {
            return bad("shutdown.lag", "at most nine tenths of `shutdown.grace`");
        }
        Ok(())
    }

    /// Returns the memory that the bodies of requests may hold together.
    #[must_use]
    pub fn request_bodies_max(&self) -> Bytes {
        Bytes(self.vm.memory.0 / REQUEST_BODIES_DIVISOR)
    }

    /// Returns the memory that answers may hold together until they are written.
    #[must_use]
    pub fn answers_max(&self) -> Bytes {
        Bytes(self.vm.memory.0 / ANSWERS_DIVISOR)
    }

    /// Returns this VM as a peer of the others.
    #[must_use]
    pub fn as_peer(&self) -> PeerVm {
        PeerVm {
            name: self.vm.name.clone(),
            data_centre: self.vm.data_centre.clone(),
            region: self.vm.region.clone(),
            addr: self.listen.peers,
            capacity: self.vm.capacity,
        }
    }

    /// Returns the addresses of the VMs to query at the start, without this VM's own.
    #[must_use]
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.peers.seeds.iter().copied();
        seeds.filter(|addr| *addr != self.listen.peers).collect()
    }

    /// Returns how long before the end of its objective an answer is sent: the network latency, and the time of the
    /// work on it here.
    fn answer_margin(&self) -> Duration {
        let cores = self.vm.capacity.cores.clamp(CORES_MIN, 1.0);
        self.answers.margin + ANSWER_CPU_TIME.div_f64(cores)
    }

    /// Returns the options of the relay.
    #[must_use]
    pub fn relay(&self) -> RelayOptions {
        let mut regions = self.vm.data_centres.clone();
        regions.insert(self.vm.data_centre.clone(), self.vm.region.clone());
        RelayOptions::builder()
            .vm(self.vm.name.clone())
            .region(self.vm.region.clone())
            .regions(regions)
            .data_centre(self.vm.data_centre.clone())
            .vms_assumed(self.budget.peers)
            .renewal_interval(self.platform.renew_every)
            .answer_margin(self.answer_margin())
            .extra_ratio(self.budget.extra_ratio * ALLOWANCE_FRACTION)
            .extra_window(self.budget.window)
            .extra_slack(self.budget.slack * ALLOWANCE_FRACTION)
            .drain(self.servers.drain)
            .build()
    }
}
