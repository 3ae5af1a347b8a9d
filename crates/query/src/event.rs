//! What the engine is told.

use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::action::Notice;

/// One input of the engine; a trace is a list of these with their times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A configuration version is in force here from now on; an older one is ignored.
    Config(Arc<Config>),
    /// The newest shard map of a group; an older revision is ignored.
    Group(Arc<GroupMap>),
    /// What a server's health and load endpoint says, a hint only.
    Report(ServerReport),
    /// A drain or quarantine, from a peer or from the platform's list.
    Sign(Notice, NoticeSource),
    /// How many connections this VM may hold open to each server from now on.
    Shares(Vec<(ServerName, Connections)>),
    /// A caller's lookup arrived.
    Arrive(Arrival),
    /// The claim asked for by [`crate::Action::Claim`] is decided.
    Claim(LookupSeq, ClaimDecision),
    /// An attempt is about to put its first byte on a connection: the point of no return.
    Sent(AttemptId),
    /// An attempt ended. Each [`crate::Action::Dispatch`] gets exactly one, also after a cancel;
    /// until it came, an attempt handed over may pass the point of no return at any moment.
    Reply(AttemptId, PartReply),
    /// The caller of this lookup hung up.
    Gone(LookupSeq),
    /// A connection to a server opened (`true`) or closed (`false`).
    Connection(ServerName, bool),
    /// A server closed a connection that this process would have kept, or stopped answering on it.
    Lost(ServerName),
    /// A timer asked for by [`crate::Action::Wake`] is due.
    Tick,
    /// This process is leaving: refuse new lookups, finish the ones in flight.
    Leave,
}

/// A caller's lookup, with the number the shell gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// The number, unique in this incarnation.
    pub seq: LookupSeq,
    /// What is asked.
    pub req: LookupRequest,
}

/// The decision about an at-most-once lookup's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimDecision {
    /// This lookup, and no other with its key ever, may be sent.
    Granted,
    /// The key was claimed before; whether that run was sent is not known here.
    Taken,
    /// The key is outside the claim window: never granted, now or later.
    Expired,
    /// The claim was not made, and nothing of it can take effect later.
    Refused,
    /// The claim may have been made or may yet be, so the key may be used up.
    Unknown,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PartReply {
    /// A part whose length, digest and attempt id were checked.
    Whole {
        /// The snapshot that the server says it is from.
        snapshot: SnapshotId,
        /// The part.
        part: Arc<Part>,
        /// Lookups running or queued on the server when it answered.
        load: u32,
        /// Whether the server says it is draining.
        draining: bool,
    },
    /// The server refused for load and says that it did not run this attempt.
    Shed {
        /// When the server wants to be asked again.
        retry_after: Duration,
    },
    /// The server is draining and says that it did not run this attempt.
    Draining,
    /// The server does not hold the pinned snapshot and did not run this attempt.
    NoSnapshot {
        /// The snapshots that it does hold.
        holds: SmallVec<[SnapshotId; 4]>,
    },
    /// The attempt never left: no connection in time, or cancelled before the point of no return.
    NotSent,
    /// The connection broke after the point of no return; the server may have crashed on it.
    Broken,
    /// The reply was garbled, cut short or carried another attempt's id.
    Garbled,
    /// The server answered with an error of its own.
    Failed,
    /// Nothing came back within the attempt's time.
    Late,
    /// Stopped by [`crate::Action::Cancel`] after the point of no return; it may have run, and its
    /// connection is closed or free again.
    Cancelled,
}

/// What a server's health and load endpoint says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server.
    pub server: ServerName,
    /// The run of the server, so that a restart clears a drain mark; `None` if it did not answer.
    pub incarnation: Option<Incarnation>,
    /// The snapshots that it says are ready.
    pub snapshots: SmallVec<[SnapshotId; 4]>,
    /// The load that it claims.
    pub load: u32,
    /// Whether it says it is draining.
    pub draining: bool,
}

/// Where a sign came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoticeSource {
    /// Another VM's gossip.
    Peer,
    /// The platform's list.
    Platform,
}
