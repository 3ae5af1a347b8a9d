//! How the process starts, tells what it does, and ends.

use std::path::PathBuf;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Serialize;

use crate::key_hash::KeyHash;
use crate::words::LogLevel;

/// The graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Shutdown {
    /// How long new requests are still taken after the process says that it is not ready.
    #[serde(with = "humantime_serde")]
    pub lag: Duration,
    /// When the process exits whatever is still in flight.
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

/// The first admin team; a team's key itself is never kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Bootstrap {
    /// Its name.
    pub team: TeamName,
    /// The SHA-256 of its key in hexadecimal.
    pub key_sha256: KeyHash,
}

/// The log on stderr; VMs have no disks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Log {
    /// How much is logged.
    pub level: LogLevel,
}

/// The trace, if one is wanted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// The file to write; nothing is recorded if `None`.
    pub file: Option<PathBuf>,
}

/// The threads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Runtime {
    /// Worker threads that serve requests.
    pub workers: u32,
}

impl Default for Runtime {
    fn default() -> Self {
        Self { workers: 2 }
    }
}
