//! How much this VM takes on: admission, and budgets for extra attempts.
//!
//! An [`AdmissionPolicy`] says whether a lookup is begun at all, a [`HedgePolicy`] when a slow part
//! is asked for again elsewhere, and [`ExtraBudget`] bounds hedges and retries together, so that
//! trouble on the servers cannot multiply the load on them.

mod adaptive;
mod admission;
mod budget;
mod digest;
mod dump;
mod fixed;
mod hedge;

pub use adaptive::Adaptive;
pub use admission::AdmissionDecision;
pub use admission::AdmissionPolicy;
pub use admission::AdmissionRequest;
pub use admission::LookupEnd;
pub use budget::ExtraBudget;
pub use digest::LatencyDigest;
pub use dump::AdmissionDump;
pub use fixed::Fixed;
pub use hedge::Distance;
pub use hedge::HedgePolicy;
pub use hedge::LearnedDelay;
pub use hedge::NoHedge;
