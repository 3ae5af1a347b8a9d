//! A dump of the state of a backend server for operators.

use std::time::Duration;

use gs_types::prelude::*;
use serde::Serialize;

use crate::server::ServerView;

/// The state of a backend server as seen by this VM.
#[derive(Clone, Debug, Serialize)]
pub struct ServerDump {
    /// Its name.
    pub server: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its state, as defined by `charts/server.toml`.
    pub state: String,
    /// The newest known incarnation.
    pub incarnation: Option<Incarnation>,
    /// The snapshots that it reported as held; `None` if it never reported what it holds.
    pub snapshots: Option<Vec<SnapshotId>>,
    /// Attempts of this VM in flight at it.
    pub in_flight: u32,
    /// Connections that this VM may open to it.
    pub share: Connections,
    /// Connections that this VM has open to it, as reported by the I/O driver (shell).
    pub open: u32,
    /// The smoothed latency of its parts; `None` before the first.
    #[serde(with = "humantime_serde")]
    pub latency: Option<Duration>,
    /// The load that it sent with its last reply or health report.
    pub load: u32,
    /// The weight of consecutive failures.
    pub failures: u32,
}

impl ServerView {
    /// Returns the server's state for operators.
    #[must_use]
    pub fn dump(&self) -> ServerDump {
        ServerDump {
            server: self.decl.name.clone(),
            service: self.decl.service.clone(),
            data_centre: self.decl.data_centre.clone(),
            state: self.state.to_string(),
            incarnation: self.incarnation,
            snapshots: self.snapshots.as_ref().map(|s| s.to_vec()),
            in_flight: self.in_flight,
            share: self.connection_share,
            open: self.open_connections,
            latency: self.latency.mean(),
            load: self.load,
            failures: self.failure_weight,
        }
    }
}
