//! The settings of a process, which exist only once every value is checked.

mod identity;
mod lookups;
mod peers;
mod process;

use serde::Serialize;

pub use identity::Listen;
pub use identity::Source;
pub use identity::Vm;
pub use lookups::Callers;
pub use lookups::Claims;
pub use lookups::Tuning;
pub use peers::Mesh;
pub use peers::Platform;
pub use peers::Servers;
pub use process::Bootstrap;
pub use process::Log;
pub use process::Record;
pub use process::Runtime;
pub use process::Shutdown;

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
    /// The name and location of this VM.
    pub vm: Vm,
    /// The addresses that it listens on.
    pub listen: Listen,
    /// The local address of its outgoing connections.
    #[builder(default)]
    pub source: Source,
    /// The platform's object service.
    pub platform: Platform,
    /// The connections between VMs.
    pub mesh: Mesh,
    /// The limits for callers.
    #[builder(default)]
    pub callers: Callers,
    /// The policy for decisions on lookups.
    #[builder(default)]
    pub tuning: Tuning,
    /// The graceful shutdown.
    #[builder(default)]
    pub shutdown: Shutdown,
    /// The connections to backend servers.
    #[builder(default)]
    pub servers: Servers,
    /// The claims of at-most-once lookups.
    #[builder(default)]
    pub claims: Claims,
    /// The first admin team, for a platform that has no configuration yet.
    pub bootstrap: Option<Bootstrap>,
    /// The log on stderr.
    #[builder(default)]
    pub log: Log,
    /// The recorded trace, if any.
    #[builder(default)]
    pub record: Record,
    /// The threads of the process.
    #[builder(default)]
    pub runtime: Runtime,
}
