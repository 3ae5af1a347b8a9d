//! The [`Mesh`] trait, which the other crates use to send messages.

use std::net::SocketAddr;

use gs_types::prelude::*;

use crate::counters::Counts;

/// Sends messages of type `M` to peers without waiting.
pub trait Mesh<M>: Send + Sync {
    /// Sends a message to a peer; it may still be lost.
    ///
    /// # Errors
    ///
    /// [`SendError`] if the message was dropped at once. Callers that rely on timeouts to detect missing answers, as
    /// all in this workspace do, can ignore it.
    fn send(&self, to: &VmId, msg: &M) -> Result<(), SendError>;

    /// Sets the peers to keep connections to, replacing the previous ones.
    fn set_peers(&self, peers: &[(VmId, SocketAddr)]);

    /// Returns the numbers of sent, received and rejected messages.
    fn counts(&self) -> Counts;
}

/// A received message from an authenticated sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received<M> {
    /// The sending VM.
    pub from: VmId,
    /// The incarnation of the sending process.
    pub incarnation: Incarnation,
    /// The message.
    pub msg: M,
}

/// Why a message was dropped before it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SendError {
    /// The peer's address is not known.
    NoSuchPeer,
    /// The send queue is full: the peer is too slow or unreachable.
    Full,
    /// The encoded message is larger than allowed.
    TooLarge,
    /// The message could not be encoded or the socket failed.
    Failed,
}

impl std::error::Error for SendError {}
