//! The connections to the platform, the other VMs and the backend servers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Serialize;

use crate::secret::Secret;

/// The platform's object service.
#[derive(Clone, Debug, PartialEq, Serialize, bon::Builder)]
#[serde(rename_all = "kebab-case")]
pub struct Platform {
    /// The address of the service.
    pub addr: SocketAddr,
    /// The timeout of one call; the wait of a watch is not counted.
    #[serde(with = "humantime_serde")]
    #[builder(default = Duration::from_millis(500))]
    pub timeout: Duration,
    /// The time that a watch waits for a change.
    #[serde(with = "humantime_serde")]
    #[builder(default = Duration::from_secs(3))]
    pub watch_wait: Duration,
    /// This process's share of the platform's reads, lists and watches.
    #[builder(default = PerSecond(200.0))]
    pub reads_per_second: PerSecond,
    /// This process's share of the platform's writes and deletes.
    #[builder(default = PerSecond(30.0))]
    pub writes_per_second: PerSecond,
}

/// The connections between VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, bon::Builder)]
#[serde(rename_all = "kebab-case")]
pub struct Mesh {
    /// The file that the secret was read from.
    #[builder(default)]
    pub secret_file: PathBuf,
    /// The secret that all VMs share.
    pub secret: Secret,
    /// The time between two heartbeats.
    #[serde(with = "humantime_serde")]
    #[builder(default = Duration::from_millis(250))]
    pub heartbeat: Duration,
}

/// The connections to backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Servers {
    /// The time between two polls of a server's health and load endpoint.
    #[serde(with = "humantime_serde")]
    pub poll: Duration,
    /// The timeout of opening a connection.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
}

impl Default for Servers {
    fn default() -> Self {
        Self {
            poll: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(100),
        }
    }
}
