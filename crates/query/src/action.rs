//! What the engine asks its shell to do.

use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// One output of the engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Hand an attempt to a backend server.
    Dispatch(Dispatch),
    /// Stop an attempt; if it was sent, tell the server and close or drain its connection.
    ///
    /// The shell still ends it with one [`crate::Event::Reply`]: `NotSent` if it never left, else
    /// `Cancelled` once its connection is closed or free again. Until then the attempt counts
    /// against this VM's share of the server's connections.
    Cancel(AttemptId),
    /// Ask for the claim of an at-most-once lookup; answered by [`crate::Event::Claim`].
    Claim(LookupClaim),
    /// The final word to the caller of this lookup; sent once, and at once.
    Answer(LookupSeq, Outcome),
    /// Send [`crate::Event::Tick`] after this time at the latest; replaces the one asked before.
    Wake(Duration),
    /// Hold so many connections to a server open and idle-ready.
    Warm(ServerName, Connections),
    /// Tell every peer.
    Spread(Notice),
}

/// An attempt to hand to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Its id, to be echoed.
    pub attempt: AttemptId,
    /// The server.
    pub server: Arc<ServerDecl>,
    /// The pinned snapshot.
    pub snapshot: SnapshotId,
    /// The text to search for.
    pub query: Arc<str>,
    /// For a keyed lookup, the key.
    pub key: Option<Arc<str>>,
    /// The most hits wanted.
    pub page: u32,
    /// The time left for this attempt; handed to the server too.
    pub budget: Duration,
    /// Whether the server must run it at most once: no resend by the shell for any reason.
    pub once: bool,
    /// For an at-most-once lookup, the caller's key, so that a server can tell runs apart.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// A claim wanted before an at-most-once lookup is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupClaim {
    /// The lookup.
    pub seq: LookupSeq,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// What the lookup asks; the same key with another fingerprint is refused all the same.
    pub fingerprint: Fingerprint,
    /// The time in which an answer is of use.
    pub budget: Duration,
}

/// A thing that every VM should know about a server or a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Notice {
    /// This run of a server takes no new work.
    Drain {
        /// The server.
        server: ServerName,
        /// The run that is draining; `None` if not known.
        incarnation: Option<Incarnation>,
    },
    /// This lookup is suspected of crashing servers, or known to; with 0 crashes it is cleared.
    Quarantine {
        /// The lookup's fingerprint.
        fingerprint: Fingerprint,
        /// Servers that broke while they ran it, as far as is known.
        crashes: u32,
        /// How long to refuse it from now; zero while it is only suspected.
        rest: Duration,
    },
}
