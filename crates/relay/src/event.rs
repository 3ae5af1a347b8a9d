//! Events that the relay processes.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::attempt::AttemptKey;
use crate::crash_report::CrashReport;
use crate::crash_report::Verdict;
use crate::entry::ServerEntry;
use crate::options::RelayOptions;
use crate::peer_vms::PeerVm;
use crate::reply::AttemptEnd;
use crate::request::CallerRequest;
use crate::table::RouteTable;

/// A caller's request, with the number that the I/O driver (shell) assigned to it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The number of the request, unique in this process.
    pub seq: LookupSeq,
    /// The request.
    pub req: CallerRequest,
    /// Set if a peer VM has delegated parts to this one.
    pub delegated: Option<DelegatedParts>,
}

/// Parts that a peer VM has delegated to this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelegatedParts {
    /// Fingerprint of the route's content at the peer; the request is not run under a different
    /// route.
    pub route: Fingerprint,
    /// The time within which the page must be sent to be in time.
    pub on_time: Duration,
    /// The time within which the page must be sent to be of any use.
    pub latest: Duration,
    /// The fewest parts that are of use in time; with fewer, the page waits.
    pub parts_wanted: usize,
    /// The shards wanted, by their number in the route.
    pub shards: Vec<u16>,
    /// How many times the request has been delegated, this time included.
    pub hops: u8,
}

/// Where verdicts were learned from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum VerdictOrigin {
    /// Another VM.
    Peer,
    /// The directory, which this VM queries itself.
    Directory,
}

/// An input of the relay.
#[derive(Clone, Debug)]
pub enum Event {
    /// A version of the routes is in force from now on; an older one is ignored.
    Table(Arc<RouteTable>),
    /// A server registered itself or renewed its entry with changes.
    Server(Arc<ServerEntry>),
    /// A server's entry cannot be read, so its present content is not known.
    EntryMissing(ServerName),
    /// The register removed a server's entry, after it had been answering without an outage for this long.
    EntryRemoved(ServerName, Duration),
    /// Whether the register, the source of routes and servers, is reachable.
    RegisterReachable(bool),
    /// The announced VMs, this one included.
    Vms(Vec<PeerVm>),
    /// A connection to a server or a peer was opened, and how long that took.
    Opened(ServerName, Duration),
    /// A connection to a server or a peer was closed.
    Closed(ServerName),
    /// The address of a server or a peer refused a connection: no process listens there.
    Refused(ServerName),
    /// Other settings are in force from now on.
    Options(RelayOptions),
    /// Other VMs decided these on requests that crash servers.
    Verdicts(Vec<Verdict>, VerdictOrigin),
    /// Another VM saw a request crash servers, or be executed by them.
    CrashReported(CrashReport),
    /// A caller's request arrived.
    Arrive(Arrival),
    /// An attempt ended; each [`crate::Action::Send`] is followed by exactly one, also after a
    /// cancel.
    Ended(AttemptKey, AttemptEnd),
    /// The caller of this request disconnected.
    CallerDisconnected(LookupSeq),
    /// The process shuts down: every request, present or later, gets its final response by this time.
    ShutDown(Instant),
    /// All events that have arrived so far were passed in; requests whose attempts have ended are
    /// checked for completion.
    CaughtUp,
    /// A timer requested by [`crate::Action::Wake`] expired.
    Tick,
}
