//! Messages between our own processes: framed, authenticated and bounded, over `nng` and TCP.
//!
//! A [`Mesh`] sends one typed message to one peer and never waits for it: a peer that is dead, cut
//! off, stopped or slow loses messages, which are counted, and holds up nobody. What arrives comes
//! out of a channel of [`Received`]. Nothing here decides anything: every message may be lost,
//! and is handed over at most once.
//!
//! [`NngMesh`] is the real one, [`LocalMesh`] joins senders within one process for tests.

mod counters;
mod frame;
mod hub;
mod link;
mod local;
mod mesh;
mod nng_mesh;
mod replay;
mod secret;
mod settings;

pub use counters::Counters;
pub use counters::Counts;
pub use frame::Codec;
pub use frame::Frame;
pub use frame::FrameKind;
pub use frame::PROTOCOL;
pub use frame::RejectReason;
pub use local::LocalHub;
pub use local::LocalMesh;
pub use mesh::Mesh;
pub use mesh::Received;
pub use mesh::SendError;
pub use nng_mesh::NngMesh;
pub use replay::ReplayGuard;
pub use secret::Secret;
pub use settings::MeshSettings;
