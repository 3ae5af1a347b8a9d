//! What a mesh is told at its start.

use std::net::IpAddr;
use std::net::SocketAddr;

use gs_types::prelude::*;

use crate::secret::Secret;

/// Largest message accepted by default: a platform value of a megabyte and its envelope.
const MESSAGE_MAX: Bytes = Bytes((1 << 20) + (16 << 10));

/// Messages kept for a peer that does not take them yet.
const QUEUE: u16 = 64;

/// Received messages kept until the program takes them.
const INBOX: usize = 4096;

/// What a mesh is told at its start.
#[derive(Clone, Debug, bon::Builder)]
pub struct MeshSettings {
    /// This VM.
    pub vm: VmId,
    /// This run of the process; larger than that of every earlier run on the VM.
    pub incarnation: Incarnation,
    /// Where to listen; port 0 takes a free one, for tests.
    pub listen: SocketAddr,
    /// The address that peers are told to answer to; the listening one by default.
    pub advertised: Option<SocketAddr>,
    /// The address that outgoing connections come from; the system's choice by default.
    pub source: Option<IpAddr>,
    /// What all VMs share to recognise each other.
    pub secret: Secret,
    /// Largest message accepted or sent.
    #[builder(default = MESSAGE_MAX)]
    pub message_max: Bytes,
    /// Messages kept for a peer that does not take them yet; newer ones are dropped.
    #[builder(default = QUEUE)]
    pub queue: u16,
    /// Received messages kept until the program takes them; newer ones are dropped.
    #[builder(default = INBOX)]
    pub inbox: usize,
}
