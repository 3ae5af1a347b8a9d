//! The engine's outputs, carried out by its I/O driver (shell).

use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// One output of the engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Dispatch an attempt to a backend server.
    Dispatch(Dispatch),
    /// Stop an attempt; if it was sent, cancel it at the server and close or drain its connection.
    ///
    /// The driver still ends it with one [`crate::Event::Reply`]: `NotSent` if no byte was sent,
    /// else `Cancelled` once its connection is closed or free again. Until then the attempt counts
    /// against this VM's share of the server's connections.
    Cancel(AttemptId),
    /// Request the claim of an at-most-once lookup; answered by [`crate::Event::Claim`].
    Claim(LookupClaim),
    /// Send the outcome of this lookup, an answer or a refusal, to its caller, immediately; emitted at
    /// most once per lookup.
    Answer(LookupSeq, Outcome),
    /// Send [`crate::Event::Tick`] after this time at the latest; replaces the previous request.
    Wake(Duration),
    /// Keep the given number of connections to a server open and ready.
    Warm(ServerName, Connections),
    /// Send a notice to every peer VM, whose engine gets it as [`crate::Event::Sign`].
    Spread(Notice),
    /// Open one more connection to a server, to learn from [`crate::Event::Accepted`] or
    /// [`crate::Event::Refused`] whether it runs.
    Check(ServerName),
}

/// An attempt to dispatch to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The attempt's id, which the server echoes in its reply.
    pub attempt: AttemptId,
    /// The server.
    pub server: Arc<ServerDecl>,
    /// The snapshot that the lookup is pinned to.
    pub snapshot: SnapshotId,
    /// The text to search for.
    pub query: Arc<str>,
    /// The key of a keyed lookup.
    pub key: Option<Arc<str>>,
    /// The maximum number of hits to return.
    pub page: u32,
    /// The time left for this attempt; also sent to the server.
    pub budget: Duration,
    /// Whether the server must execute it at most once: the driver must never resend it.
    pub once: bool,
    /// The caller's idempotency key of an at-most-once lookup, by which a server recognises
    /// repeated executions.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// A request for the claim that an at-most-once lookup needs before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupClaim {
    /// The lookup.
    pub seq: LookupSeq,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// The fingerprint of the request; a key that is claimed is refused for other fingerprints too.
    pub fingerprint: Fingerprint,
    /// The time within which the decision is of use.
    pub budget: Duration,
}

/// A drain or quarantine that VMs announce to each other: sent with [`Action::Spread`], received as
/// [`crate::Event::Sign`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Notice {
    /// This incarnation of a server accepts no new work.
    Drain {
        /// The server.
        server: ServerName,
        /// The incarnation that is draining; `None` if not known.
        incarnation: Option<Incarnation>,
    },
    /// This lookup is suspected of crashing servers, or quarantined for it; 0 crashes clears it.
    Quarantine {
        /// The lookup's fingerprint.
        fingerprint: Fingerprint,
        /// The number of servers known to have crashed while they executed it.
        crashes: u32,
        /// How long to refuse it from now; zero while it is only suspected.
        rest: Duration,
    },
}
