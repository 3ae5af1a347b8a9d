//! Control commands to the stand-in backend servers and the links between data centres.
//!
//! Tests and operators send them as JSON by `POST /control` to the control port, or apply them in
//! process with `Servers::apply`; `GET /counts` returns the servers' counts.

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::net::SiteNumber;

/// A command to the stand-ins. If `server` is absent, it applies to every server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Command {
    /// Start to drain: refuse new work as `draining`, and report draining in every reply.
    Drain {
        /// The server.
        server: ServerName,
    },
    /// Close the listener and every connection at once.
    Kill {
        /// The server.
        server: ServerName,
    },
    /// Restart with a new incarnation, cold and not draining.
    Restart {
        /// The server.
        server: ServerName,
    },
    /// Start or stop shedding every request.
    Shed {
        /// The server.
        server: Option<ServerName>,
        /// Whether to shed.
        on: bool,
    },
    /// Report this load instead of the true one; absent to report the true one again.
    Mislead {
        /// The server.
        server: Option<ServerName>,
        /// The load to report.
        load: Option<u32>,
    },
    /// Slow down a share of the requests.
    Stragglers {
        /// The server.
        server: Option<ServerName>,
        /// The share, 0 to 1.
        share: f64,
        /// The factor by which their service time grows.
        factor: f64,
    },
    /// Crash on every query that contains this word; absent to stop that.
    Poison {
        /// The word.
        word: Option<String>,
        /// The time until a crashed server restarts, in milliseconds.
        down_ms: u64,
    },
    /// Inject a fault into a share of the replies.
    Spoil {
        /// The server.
        server: Option<ServerName>,
        /// The fault.
        how: ReplyFault,
        /// The share, 0 to 1.
        share: f64,
    },
    /// Hold this snapshot from now on.
    Hold {
        /// The server.
        server: Option<ServerName>,
        /// The snapshot, whose index must have been added.
        snapshot: SnapshotId,
    },
    /// Drop this snapshot.
    Forget {
        /// The server.
        server: Option<ServerName>,
        /// The snapshot.
        snapshot: SnapshotId,
    },
    /// Partition two sites from each other.
    Cut {
        /// One site.
        a: SiteNumber,
        /// The other; 0 is the platform.
        b: SiteNumber,
    },
    /// Heal a partition.
    Heal {
        /// One site.
        a: SiteNumber,
        /// The other; 0 is the platform.
        b: SiteNumber,
    },
}

/// An injected fault of a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplyFault {
    /// No fault.
    #[default]
    None,
    /// The bytes of the body are changed, so that its digest does not match.
    Garbled,
    /// The connection closes in the middle of the body.
    Truncated,
    /// The reply to another attempt is sent, with that attempt's id.
    Crossed,
}
