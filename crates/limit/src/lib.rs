//! Admission control, hedging delays and the budget for extra attempts of a VM.
//!
//! An [`AdmissionPolicy`] decides whether a lookup starts, a [`HedgePolicy`] when a slow part is
//! requested from another replica as well, and [`ExtraBudget`] limits hedges and retries together, so
//! that failures of the servers cannot multiply the load on them.

mod adaptive;
mod admission;
mod budget;
mod digest;
mod dump;
mod fixed;
mod hedge;

pub use adaptive::AdaptiveAdmission;
pub use admission::AdmissionDecision;
pub use admission::AdmissionPolicy;
pub use admission::AdmissionRequest;
pub use admission::LookupEnd;
pub use budget::ExtraBudget;
pub use digest::LatencyDigest;
pub use dump::AdmissionDump;
pub use fixed::FixedAdmission;
pub use hedge::Distance;
pub use hedge::HedgePolicy;
pub use hedge::NoHedge;
pub use hedge::QuantileHedge;
