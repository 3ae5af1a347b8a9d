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
mod lost_servers;
mod observed_latency;
mod options;
mod policy;
mod round_robin;
mod server;
mod servers;
mod state;
mod undeclared;

pub use dump::ServerDump;
pub use group::GroupView;
pub use group::PinnableSnapshot;
pub use group::Readiness;
pub use group::Snapshot;
pub use incarnations::HealthReport;
pub use incarnations::ReportEffect;
pub use latency::SmoothedLatency;
pub use observed_latency::ObservedLatency;
pub use options::RouteOptions;
pub use policy::Candidate;
pub use policy::ReplicaPolicy;
pub use round_robin::RoundRobin;
pub use server::DispatchStatus;
pub use server::ServerFailure;
pub use server::ServerView;
pub use server::SnapshotHolding;
pub use servers::ServerIdx;
pub use servers::Servers;
pub use state::ServerEvent;
pub use state::ServerState;
