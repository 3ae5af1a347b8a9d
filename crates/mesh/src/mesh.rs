//! The interface that the rest of the program sees.

use std::net::SocketAddr;

use gs_types::prelude::*;

use crate::counters::Counts;

/// Sends messages of type `M` to peers without ever waiting for one.
pub trait Mesh<M>: Send + Sync {
    /// Hands a message over for a peer; it may still be lost.
    ///
    /// # Errors
    ///
    /// [`SendError`] if it was dropped at once; a caller that counts on answers by timeout, as all
    /// of ours do, may ignore it.
    fn send(&self, to: &VmId, msg: &M) -> Result<(), SendError>;

    /// Replaces the list of peers to hold connections to.
    fn set_peers(&self, peers: &[(VmId, SocketAddr)]);

    /// What was sent, received and refused so far.
    fn counts(&self) -> Counts;
}

/// A message whose sender is authenticated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received<M> {
    /// The VM that sent it.
    pub from: VmId,
    /// The run of the process that sent it.
    pub incarnation: Incarnation,
    /// The message.
    pub msg: M,
}

/// Why a message was dropped before it left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SendError {
    /// The peer's address is not known.
    NoSuchPeer,
    /// The peer does not take messages as fast as they come, or is away.
    Full,
    /// The encoded message passes the bound on size.
    TooLarge,
    /// The message could not be encoded or the socket failed.
    Failed,
}

impl std::error::Error for SendError {}
