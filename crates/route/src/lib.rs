//! Chooses the replicas that the lookups of `gentiansill serve` are sent to.
//!
//! Holds the state of backend servers as seen by this VM. The routes of `gentiansill relay` are a
//! different thing, in the crate `gs_relay`.
//!
//! [`Servers`] keeps one view per backend server; [`GroupView`] keeps the snapshots of a group and
//! determines which of them every shard can answer from; a [`ReplicaPolicy`] chooses among the
//! available replicas. All of it is a plain state machine: time is passed in, and nothing here does
//! I/O.

mod dump;
mod group;
mod incarnations;
mod latency;
mod lost;
mod observed;
mod options;
mod policy;
mod round_robin;
mod server;
mod servers;
mod state;
mod undeclared;

pub use dump::ServerDump;
pub use group::GroupView;
pub use group::Pin;
pub use group::Readiness;
pub use group::Snapshot;
pub use incarnations::HealthReport;
pub use incarnations::ReportEffect;
pub use latency::Latency;
pub use observed::ObservedLatency;
pub use options::RouteOptions;
pub use policy::Candidate;
pub use policy::ReplicaPolicy;
pub use round_robin::RoundRobin;
pub use server::DispatchStatus;
pub use server::Failure;
pub use server::Holds;
pub use server::ServerView;
pub use servers::ServerIdx;
pub use servers::Servers;
pub use state::ServerEvent;
pub use state::ServerState;
