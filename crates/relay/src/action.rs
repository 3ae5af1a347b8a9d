//! What the relay asks its shell to do.

use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;

use crate::attempt::AttemptKey;
use crate::entry::ServerEntry;
use crate::outcome::RequestReport;
use crate::request::OpaqueRequest;

/// An attempt to hand to a backend server.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Which attempt it is.
    pub attempt: AttemptKey,
    /// The server; nobody else may run it.
    pub server: Arc<ServerEntry>,
    /// The caller's id of the request.
    pub id: Arc<str>,
    /// What is handed on.
    pub content: Arc<OpaqueRequest>,
    /// The time that the caller still waits; handed to the server.
    pub time_left: Duration,
    /// When the attempt is given up; at most `time_left`.
    pub attempt_timeout: Duration,
    /// Whether it may run at most once, so that a connection that may be stale is not used.
    pub once: bool,
    /// Whether its connection is kept for later attempts.
    pub keep_connection: bool,
    /// Set if the server is another VM, which is to ask for parts.
    pub delegation: Option<Delegation>,
}

/// What is said to a VM that is to ask for parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegation {
    /// The host that the caller named.
    pub host: Box<str>,
    /// The route by its content; the peer runs the request under no other.
    pub route: Fingerprint,
    /// The time in which its page must leave there to be in time here.
    pub on_time: Duration,
    /// The time in which it must leave there to be of any use.
    pub latest: Duration,
    /// The fewest parts that are of use in time.
    pub parts_wanted: usize,
    /// The shards wanted, by their number in the route.
    pub shards: Vec<u16>,
    /// VMs that the request has passed.
    pub hops: u8,
}

/// One output of the relay.
#[derive(Clone, Debug)]
pub enum Action {
    /// Hand an attempt to a backend server.
    Send(Dispatch),
    /// Stop an attempt; if it was sent, close its connection so that the server drops the work.
    Cancel(AttemptKey),
    /// The final word to the caller of this request; sent once, and at once.
    Answer(LookupSeq, Box<RequestReport>),
    /// Tell the other VMs that this request crashes servers.
    Quarantine(Fingerprint),
    /// Send [`crate::Event::Tick`] after this time at the latest.
    Wake(Duration),
    /// Hold at most `most` connections to this server, and `warm` of them open.
    Connect {
        /// The server.
        server: Arc<ServerEntry>,
        /// Connections to hold open.
        connections_min: Connections,
        /// The most connections.
        connections_max: Connections,
    },
    /// Close every connection to this server as it becomes idle.
    Disconnect(ServerName),
}
