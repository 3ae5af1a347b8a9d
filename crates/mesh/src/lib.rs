//! Messages between the VMs: framed, authenticated and bounded in size, over `nng` and TCP.
//!
//! A [`Mesh`] sends a typed message to a peer without waiting for it. Messages to a peer that is dead, partitioned,
//! stopped or slow are dropped and counted, and do not delay those to other peers. Received messages arrive on a channel
//! of [`Received`]. The crate does I/O only: any message may be lost, and each is delivered at most once.
//!
//! [`NngMesh`] is the implementation over the network; [`LocalMesh`] connects senders within one process for tests.

mod counters;
mod endpoint;
mod frame;
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
pub use frame::PROTOCOL_VERSION;
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
