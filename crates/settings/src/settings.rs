//! The settings as the process uses them; every value is checked by the time this exists.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Serialize;

use crate::fraction::Fraction;
use crate::key_hash::KeyHash;
use crate::secret::Secret;
use crate::words::LogLevel;
use crate::words::Policy;

/// All settings of one process.
///
/// Use [`load`](crate::load()) for a file, and the builder in tests:
///
/// ```
/// use gs_settings::*;
///
/// let settings = Settings::builder()
///     .vm(Vm {
///         name: "hobart-1".parse()?,
///         data_centre: "hobart-a".parse()?,
///         region: "tasmania".parse()?,
///     })
///     .listen(Listen {
///         callers: "127.0.0.1:8001".parse().expect("an address"),
///         admin: "127.0.0.1:8002".parse().expect("an address"),
///         mesh: "127.0.0.1:8003".parse().expect("an address"),
///     })
///     .platform(Platform::builder().addr("127.0.0.1:7000".parse().expect("an address")).build())
///     .mesh(Mesh::builder().secret(Secret::new(b"sixteen bytes it is")).build())
///     .build();
/// assert_eq!(settings.runtime.workers, 2);
/// # Ok::<(), gs_types::prelude::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, bon::Builder)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// Who this process is.
    pub vm: Vm,
    /// Where it listens.
    pub listen: Listen,
    /// Where its outgoing connections start.
    #[builder(default)]
    pub source: Source,
    /// The platform's object service.
    pub platform: Platform,
    /// The other VMs.
    pub mesh: Mesh,
    /// Bounds on callers.
    #[builder(default)]
    pub callers: Callers,
    /// The decisions' policy.
    #[builder(default)]
    pub tuning: Tuning,
    /// The graceful shutdown.
    #[builder(default)]
    pub shutdown: Shutdown,
    /// The backend servers.
    #[builder(default)]
    pub servers: Servers,
    /// The claims of at-most-once lookups.
    #[builder(default)]
    pub claims: Claims,
    /// The first admin team, for a platform that holds no configuration yet.
    pub bootstrap: Option<Bootstrap>,
    /// The log on stderr.
    #[builder(default)]
    pub log: Log,
    /// The trace, if one is wanted.
    #[builder(default)]
    pub record: Record,
    /// The threads.
    #[builder(default)]
    pub runtime: Runtime,
}

/// Who this process is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Vm {
    /// The VM's name, unique among live VMs.
    pub name: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
}

/// Where this process listens; IP numbers and ports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and for scraping metrics.
    pub admin: SocketAddr,
    /// For the other VMs.
    pub mesh: SocketAddr,
}

/// Where outgoing connections start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Source {
    /// The local address; the system's choice if `None`.
    pub ip: Option<IpAddr>,
}

/// The platform's object service.
#[derive(Clone, Debug, PartialEq, Serialize, bon::Builder)]
#[serde(rename_all = "kebab-case")]
pub struct Platform {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The longest that one call may take, a watch's own wait not counted.
    #[serde(with = "humantime_serde")]
    #[builder(default = Duration::from_millis(500))]
    pub timeout: Duration,
    /// How long a watch waits for a change.
    #[serde(with = "humantime_serde")]
    #[builder(default = Duration::from_secs(10))]
    pub watch_wait: Duration,
    /// This process's part of the platform's reads, lists and watches.
    #[builder(default = PerSecond(200.0))]
    pub reads_per_second: PerSecond,
    /// This process's part of the platform's writes and deletes.
    #[builder(default = PerSecond(30.0))]
    pub writes_per_second: PerSecond,
}

/// The other VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, bon::Builder)]
#[serde(rename_all = "kebab-case")]
pub struct Mesh {
    /// The file that the secret was read from.
    #[builder(default)]
    pub secret_file: PathBuf,
    /// The secret that every VM shares.
    pub secret: Secret,
    /// The time between two heartbeats.
    #[serde(with = "humantime_serde")]
    #[builder(default = Duration::from_millis(250))]
    pub heartbeat: Duration,
}

/// Bounds on callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, bon::Builder)]
#[serde(rename_all = "kebab-case")]
pub struct Callers {
    /// The largest request body.
    #[builder(default = Bytes(64 << 10))]
    pub body: Bytes,
    /// The largest request head.
    #[builder(default = Bytes(16 << 10))]
    pub headers: Bytes,
    /// The longest that a request's head may take to arrive.
    #[serde(with = "humantime_serde")]
    #[builder(default = Duration::from_secs(2))]
    pub header_timeout: Duration,
    /// The longest that a request's body may take to arrive.
    #[serde(with = "humantime_serde")]
    #[builder(default = Duration::from_secs(2))]
    pub body_timeout: Duration,
    /// The most lookups in flight.
    #[builder(default = 2000)]
    pub in_flight: u32,
    /// The most connections held open.
    #[builder(default = Connections(4096))]
    pub connections: Connections,
}

impl Default for Callers {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// The decisions' policy.
#[derive(Clone, Debug, PartialEq, Serialize, bon::Builder)]
#[serde(rename_all = "kebab-case")]
pub struct Tuning {
    /// Which set of decisions runs.
    #[builder(default)]
    pub policy: Policy,
    /// Hedges and retries together, allowed for each first attempt.
    #[builder(default = extra())]
    pub extra_budget: Fraction,
    /// The seed of the decisions' random numbers; drawn at start if `None`.
    pub seed: Option<u64>,
}

impl Default for Tuning {
    fn default() -> Self {
        Self::builder().build()
    }
}

fn extra() -> Fraction {
    Fraction::new(0.03).unwrap_or_default()
}

/// The graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Shutdown {
    /// How long new requests are still taken after the process says that it is not ready.
    #[serde(with = "humantime_serde")]
    pub lag: Duration,
    /// When the process exits whatever is still in flight.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            lag: Duration::from_secs(2),
            deadline: Duration::from_secs(30),
        }
    }
}

/// The backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Servers {
    /// The time between two looks at a server's health and load endpoint.
    #[serde(with = "humantime_serde")]
    pub poll: Duration,
    /// The longest that a new connection may take.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
}

impl Default for Servers {
    fn default() -> Self {
        Self {
            poll: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(100),
        }
    }
}

/// The claims of at-most-once lookups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Claims {
    /// How old an idempotency key may be; older ones are refused for ever.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// How far the clocks of callers and VMs may differ.
    #[serde(with = "humantime_serde")]
    pub skew: Duration,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(24 * 60 * 60),
            skew: Duration::from_secs(30),
        }
    }
}

/// The first admin team; a team's key itself is never kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Bootstrap {
    /// Its name.
    pub team: TeamName,
    /// The SHA-256 of its key in hexadecimal.
    pub key_sha256: KeyHash,
}

/// The log on stderr; VMs have no disks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Log {
    /// How much is logged.
    pub level: LogLevel,
}

/// The trace, if one is wanted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// The file to write; nothing is recorded if `None`.
    pub file: Option<PathBuf>,
}

/// The threads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Runtime {
    /// Worker threads that serve requests.
    pub workers: u32,
}

impl Default for Runtime {
    fn default() -> Self {
        Self { workers: 2 }
    }
}
