//! What this VM knows of backend servers, and which replica an attempt goes to.
//!
//! [`Servers`] keeps one view per backend server; [`GroupView`] knows the snapshots of a group and
//! which of them every shard can answer from; a [`ReplicaPolicy`] picks among replicas that are
//! free. All of it is a plain state machine: time is passed in, and nothing here does I/O.

mod dump;
mod early;
mod group;
mod latency;
mod observed;
mod options;
mod policy;
mod round_robin;
mod runs;
mod server;
mod servers;
mod silence;
mod state;

pub use dump::ServerDump;
pub use group::GroupView;
pub use group::Pin;
pub use group::Readiness;
pub use group::Snapshot;
pub use latency::Latency;
pub use observed::Observed;
pub use options::RouteOptions;
pub use policy::Candidate;
pub use policy::ReplicaPolicy;
pub use round_robin::RoundRobin;
pub use runs::Report;
pub use runs::ReportEffect;
pub use server::DispatchStatus;
pub use server::Failure;
pub use server::Holds;
pub use server::ServerView;
pub use servers::ServerIdx;
pub use servers::Servers;
pub use state::ServerEvent;
pub use state::ServerState;
