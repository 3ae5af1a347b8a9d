//! The startup, log, trace, threads and shutdown of the process.

use std::path::PathBuf;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Serialize;

use crate::choices::LogLevel;
use crate::key_hash::KeyHash;

/// The graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Shutdown {
    /// The time for which new requests are still accepted after the process reports that it is not
    /// ready.
    #[serde(with = "humantime_serde")]
    pub lag: Duration,
    /// The time after which the process exits even if requests are still in flight.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            lag: Duration::from_secs(2),
            deadline: Duration::from_secs(30),
        }
    }
}

/// The first admin team; the key of a team is never stored, only its hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Bootstrap {
    /// The name of the team.
    pub team: TeamName,
    /// The SHA-256 of the team's key in hexadecimal.
    pub key_sha256: KeyHash,
}

/// The log, which goes to stderr because VMs have no disks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Log {
    /// The level of detail.
    pub level: LogLevel,
}

/// The recorded trace, if any.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// The file that the trace is written to; nothing is recorded if `None`.
    pub file: Option<PathBuf>,
}

/// The threads of the process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Runtime {
    /// The number of worker threads that serve requests.
    pub workers: u32,
}

impl Default for Runtime {
    fn default() -> Self {
        Self { workers: 2 }
    }
}
