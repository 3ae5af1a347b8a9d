//! What the relay is told.

use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;

use crate::attempt::AttemptKey;
use crate::entry::ServerEntry;
use crate::options::RelayOptions;
use crate::peer_vms::PeerVm;
use crate::reply::AttemptEnd;
use crate::request::CallerRequest;
use crate::table::RouteTable;

/// A caller's request, with the number that the shell gave it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The number, unique in this process.
    pub seq: LookupSeq,
    /// The request.
    pub req: CallerRequest,
    /// Set if another VM asks for parts.
    pub delegated: Option<DelegatedParts>,
}

/// What a VM that asks for parts says of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelegatedParts {
    /// The route by its content there; the request is run under no other.
    pub route: Fingerprint,
    /// The time in which the page must leave to be in time.
    pub on_time: Duration,
    /// The time in which it must leave to be of any use.
    pub latest: Duration,
    /// The fewest parts that are of use in time; with fewer the page waits.
    pub parts_wanted: usize,
    /// The shards wanted, by their number in the route.
    pub shards: Vec<u16>,
    /// VMs that the request has passed.
    pub hops: u8,
}

/// One input of the relay.
#[derive(Clone, Debug)]
pub enum Event {
    /// A version of the routes is in force from now on; an older one is ignored.
    Table(Arc<RouteTable>),
    /// A server registered itself, or said something new of itself.
    Server(Arc<ServerEntry>),
    /// A server is gone from the register.
    ServerGone(ServerName),
    /// Whether the register, from which routes and servers are known, is in reach.
    RegisterReachable(bool),
    /// The VMs that are there, this one included.
    Vms(Vec<PeerVm>),
    /// A connection to a server or a peer opened, after this time.
    Opened(ServerName, Duration),
    /// A connection to a server or a peer closed.
    Closed(ServerName),
    /// Other settings are in force from now on.
    Options(RelayOptions),
    /// Other VMs found that these requests crash servers.
    Quarantined(Vec<Fingerprint>),
    /// A caller's request arrived.
    Arrive(Arrival),
    /// An attempt ended; each [`crate::Action::Send`] gets exactly one, also after a cancel.
    Ended(AttemptKey, AttemptEnd),
    /// The caller of this request hung up.
    CallerDisconnected(LookupSeq),
    /// Everything that had come by now was told; requests whose attempts have ended are looked at.
    CaughtUp,
    /// A timer asked for by [`crate::Action::Wake`] is due.
    Tick,
}
