//! Actions that the relay returns to the I/O driver (shell).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;

use crate::attempt::AttemptKey;
use crate::crash_report::CrashReport;
use crate::crash_report::Verdict;
use crate::entry::ServerEntry;
use crate::outcome::RequestReport;
use crate::request::OpaqueRequest;

/// An attempt to send to a backend server or a peer.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// The server; no other may execute the attempt.
    pub server: Arc<ServerEntry>,
    /// The caller's id of the request.
    pub id: Arc<str>,
    /// The request as forwarded.
    pub content: Arc<OpaqueRequest>,
    /// How long the caller still waits, limited by the route's timeout; it is sent to the server.
    pub time_left: Duration,
    /// Timeout of the attempt; at most `time_left`.
    pub attempt_timeout: Duration,
    /// Whether the request may be executed at most once, so that a connection that may be stale is
    /// not used.
    pub once: bool,
    /// Whether the connection is kept open for later attempts.
    pub keep_connection: bool,
    /// Set if the server is a peer VM to which parts are delegated.
    pub delegation: Option<Delegation>,
}

/// What is sent to a peer VM that parts are delegated to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegation {
    /// The host that the caller named.
    pub host: Box<str>,
    /// Fingerprint of the route's content; the peer does not run the request under a different
    /// route.
    pub route: Fingerprint,
    /// The time within which the peer must send its page for it to arrive in time.
    pub on_time: Duration,
    /// The time within which the peer must send its page for it to be of any use.
    pub latest: Duration,
    /// The fewest parts that are of use in time.
    pub parts_wanted: usize,
    /// The shards wanted, by their number in the route.
    pub shards: Vec<u16>,
    /// How many times the request has been delegated, this time included.
    pub hops: u8,
}

/// An output of the relay.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an attempt to a backend server or a peer.
    Send(Dispatch),
    /// Stop an attempt; if it was sent, close its connection so that the server drops the work.
    /// Returned only when a caller disconnects; the attempts of an answered request continue.
    Cancel(AttemptKey),
    /// Send the final response to the caller of this request, without delay; returned once for each
    /// request, except for one whose caller disconnected.
    Answer(LookupSeq, Box<RequestReport>),
    /// Tell a verdict of this VM to the other VMs and write it to the directory, until it is heard.
    Publish {
        /// The verdict.
        verdict: Verdict,
        /// The addresses of the other VMs.
        peers: Vec<SocketAddr>,
    },
    /// Send a report to as many VMs as there are `copies`, the first of the candidates that answer.
    ReportCrash {
        /// The addresses of the VMs that may collect it, the most preferred first.
        candidates: Vec<SocketAddr>,
        /// The number of VMs that are to receive it.
        copies: usize,
        /// The report.
        report: CrashReport,
    },
    /// Stop writing this VM's verdict on a request to the directory: there is a later one.
    Superseded(Fingerprint),
    /// Remove an outdated verdict on a request from the directory.
    Unlist(Fingerprint),
    /// Send [`crate::Event::Tick`] after this time at the latest.
    Wake(Duration),
    /// Hold at most `connections_max` connections to this server, and open connections now until
    /// there are `connections_min`. Those that close later are not reopened in advance.
    Connect {
        /// The server.
        server: Arc<ServerEntry>,
        /// The number of connections to open now, counting those that are open already.
        connections_min: Connections,
        /// The largest number of connections.
        connections_max: Connections,
    },
    /// Open one more connection to this server if its share allows it, to learn whether the server still runs:
    /// [`crate::Event::Opened`] or [`crate::Event::Refused`] follows, or neither if that is not known. The connection
    /// is kept for later attempts.
    CheckServer(Arc<ServerEntry>),
    /// Close every connection to this server as it becomes idle.
    Disconnect(ServerName),
}
