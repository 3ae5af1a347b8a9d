//! What a test or a person tells the stand-in backend servers and links to do.
//!
//! Sent as JSON by `POST /control` to the control port, or applied in the process itself by
//! `Servers::apply`; `GET /counts` gives what the servers counted.

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::net::Site;

/// One change to the stand-ins. Where `server` is absent, every server is meant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Command {
    /// Begin to drain: answer new work with `draining`, and say so in every reply.
    Drain {
        /// The server.
        server: ServerName,
    },
    /// Close the listener and every connection at once.
    Kill {
        /// The server.
        server: ServerName,
    },
    /// Start again with a new incarnation, cold, not draining.
    Restart {
        /// The server.
        server: ServerName,
    },
    /// Shed every request, or stop doing so.
    Shed {
        /// The server.
        server: Option<ServerName>,
        /// Whether to shed.
        on: bool,
    },
    /// Report this load instead of the true one; absent for the truth again.
    Mislead {
        /// The server.
        server: Option<ServerName>,
        /// The load claimed.
        load: Option<u32>,
    },
    /// Let a share of requests take longer.
    Stragglers {
        /// The server.
        server: Option<ServerName>,
        /// The share, 0 to 1.
        share: f64,
        /// How many times the service time they take.
        factor: f64,
    },
    /// Crash on every query that contains this word; absent for none.
    Poison {
        /// The word.
        word: Option<String>,
        /// How long a crashed server stays down, in milliseconds.
        down_ms: u64,
    },
    /// Spoil a share of replies.
    Spoil {
        /// The server.
        server: Option<ServerName>,
        /// How.
        how: ReplyFault,
        /// The share, 0 to 1.
        share: f64,
    },
    /// Hold this snapshot from now on.
    Hold {
        /// The server.
        server: Option<ServerName>,
        /// The snapshot, known to the stand-ins.
        snapshot: SnapshotId,
    },
    /// Drop this snapshot.
    Forget {
        /// The server.
        server: Option<ServerName>,
        /// The snapshot.
        snapshot: SnapshotId,
    },
    /// Cut two sites off from each other.
    Cut {
        /// One site.
        a: Site,
        /// The other; 0 is the platform.
        b: Site,
    },
    /// Heal a cut.
    Heal {
        /// One site.
        a: Site,
        /// The other; 0 is the platform.
        b: Site,
    },
}

/// How a reply is spoilt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplyFault {
    /// Left alone.
    #[default]
    None,
    /// The body's bytes are changed, so that its digest does not fit.
    Garbled,
    /// The connection closes in the middle of the body.
    Truncated,
    /// It echoes another attempt's id.
    Crossed,
}
