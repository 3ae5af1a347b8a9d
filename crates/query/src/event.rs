//! The engine's inputs.

use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::action::Notice;

/// One input of the engine; a trace is a list of events with their times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A configuration version is now in force on this VM; an older one is ignored.
    Config(Arc<Config>),
    /// The newest shard map of a group; an older revision is ignored.
    Group(Arc<GroupMap>),
    /// A report from a server's health and load endpoint; only a hint, because it may be out of date.
    Report(ServerReport),
    /// A drain or quarantine notice, from a peer (the peer's [`crate::Action::Spread`]) or from the
    /// platform's list.
    Sign(Notice, NoticeSource),
    /// The number of connections this VM may hold open to each server from now on.
    Shares(Vec<(ServerName, Connections)>),
    /// A caller's lookup arrived.
    Arrive(Arrival),
    /// The claim requested by [`crate::Action::Claim`] is decided.
    Claim(LookupSeq, ClaimDecision),
    /// The first byte of an attempt is about to be sent, so the server may execute it.
    Sent(AttemptId),
    /// An attempt ended. Each [`crate::Action::Dispatch`] gets exactly one of these, also after a
    /// cancel; until then, the first byte of a dispatched attempt may be sent at any moment.
    Reply(AttemptId, PartReply),
    /// The caller of this lookup disconnected.
    Gone(LookupSeq),
    /// A connection to a server opened (`true`) or closed (`false`).
    Connection(ServerName, bool),
    /// A connection was lost: its server closed it although this process would have kept it, or
    /// stopped responding on it. The server itself does not count as lost by this.
    Lost(ServerName),
    /// A timer requested by [`crate::Action::Wake`] expired.
    Tick,
    /// This process is leaving: it refuses new lookups and finishes those in flight.
    Leave,
    /// This process shuts down: every lookup, present or later, gets its outcome within this time.
    ShutDown(Duration),
    /// A server accepted a connection, which was begun this long ago: it was running then.
    Accepted(ServerName, Duration),
    /// The address of a server refused a connection: its process has ended.
    Refused(ServerName),
}

/// A caller's lookup with the number that the I/O driver (shell) assigned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// The number, unique in this incarnation.
    pub seq: LookupSeq,
    /// The caller's request.
    pub req: LookupRequest,
}

/// The decision about an at-most-once lookup's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimDecision {
    /// This lookup may be sent, and never another one with the same key.
    Granted,
    /// The key was claimed before; whether that submission was sent is not known here.
    Taken,
    /// The key is outside the claim window, so it can never be granted.
    Expired,
    /// The claim was not made and cannot take effect later.
    Refused,
    /// The claim may have been made or may still be, so the key may be used up.
    Unknown,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PartReply {
    /// A complete part; its length, digest and attempt id were checked.
    Whole {
        /// The snapshot of the part, as reported by the server.
        snapshot: SnapshotId,
        /// The part.
        part: Arc<Part>,
        /// Lookups running or queued on the server when it replied.
        load: u32,
        /// Whether the server reports that it is draining.
        draining: bool,
    },
    /// The server refused the attempt because of its load and reports that it did not execute it.
    Shed {
        /// How long to wait before the next attempt at this server.
        retry_after: Duration,
    },
    /// The server is draining and reports that it did not execute the attempt.
    Draining,
    /// The server does not hold the pinned snapshot and did not execute the attempt.
    NoSnapshot {
        /// The snapshots that it holds.
        holds: SmallVec<[SnapshotId; 4]>,
    },
    /// No byte was sent: no connection was available in time, or the attempt was cancelled first.
    ///
    /// Also stands for a server's reply that the attempt was not executed, if the reason that it
    /// gives is not known. [`Event::Sent`] precedes such a reply, so the attempt counts as one that
    /// may have been executed.
    NotSent,
    /// The connection broke after [`Event::Sent`] was reported; the server may have crashed on the
    /// attempt. An idle connection that the server had closed before the first byte was sent is
    /// reported in the same way.
    Broken,
    /// The reply was malformed, truncated or carried another attempt's id.
    Garbled,
    /// The server replied with an error.
    Failed,
    /// No reply arrived within the attempt's time.
    Late,
    /// Stopped by [`crate::Action::Cancel`] after the first byte was sent; it may have been
    /// executed, and its connection is closed or free again.
    Cancelled,
}

/// A report from a server's health and load endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// The server.
    pub server: ServerName,
    /// The server's incarnation, by which a restart clears a drain; `None` if it did not respond.
    pub incarnation: Option<Incarnation>,
    /// The snapshots that it reports as ready.
    pub snapshots: SmallVec<[SnapshotId; 4]>,
    /// The load that it reports.
    pub load: u32,
    /// Whether it reports that it is draining.
    pub draining: bool,
}

/// The source of a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoticeSource {
    /// Gossip from another VM.
    Peer,
    /// The platform's list.
    Platform,
}
