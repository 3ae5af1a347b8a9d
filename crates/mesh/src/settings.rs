//! Settings of a mesh.

use std::net::IpAddr;
use std::net::SocketAddr;

use gs_types::prelude::*;

use crate::secret::Secret;

/// The default for the largest message: a platform value of 1 MiB, and 16 KiB for its envelope.
const MESSAGE_BYTES_MAX: Bytes = Bytes((1 << 20) + (16 << 10));

/// The default number of messages queued for a peer.
const SEND_QUEUE_MAX: u16 = 64;

/// The default number of received messages queued for the program.
const INBOX_MAX: usize = 4096;

/// Settings of a mesh.
#[derive(Clone, Debug, bon::Builder)]
pub struct MeshSettings {
    /// The name of this VM.
    pub vm: VmId,
    /// The incarnation of this process; larger than every earlier one on this VM.
    pub incarnation: Incarnation,
    /// The address to listen on; port 0 selects a free port, for tests.
    pub listen: SocketAddr,
    /// The address announced to peers for replies; the listening address by default.
    pub advertised: Option<SocketAddr>,
    /// The local address of outgoing connections; chosen by the system by default.
    pub source: Option<IpAddr>,
    /// The secret shared by all VMs, which authenticates frames.
    pub secret: Secret,
    /// The largest message accepted or sent.
    #[builder(default = MESSAGE_BYTES_MAX)]
    pub message_max: Bytes,
    /// The largest number of messages queued for a peer; further ones are dropped.
    #[builder(default = SEND_QUEUE_MAX)]
    pub send_queue_max: u16,
    /// The largest number of received messages queued for the program; further ones are dropped.
    #[builder(default = INBOX_MAX)]
    pub inbox_max: usize,
}
