//! What an operator sees of a backend server's view.

use std::time::Duration;

use gs_types::prelude::*;
use serde::Serialize;

use crate::server::ServerView;

/// A backend server as this VM sees it.
#[derive(Clone, Debug, Serialize)]
pub struct ServerDump {
    /// Its name.
    pub server: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Its state by the chart `server`.
    pub state: String,
    /// The run last heard of.
    pub incarnation: Option<Incarnation>,
    /// The snapshots it is known to hold; `None` if it never said.
    pub snapshots: Option<Vec<SnapshotId>>,
    /// Attempts of this VM in flight there.
    pub in_flight: u32,
    /// Connections that this VM may hold to it.
    pub share: Connections,
    /// Connections that this VM holds to it, as the shell tells.
    pub open: u32,
    /// The latency of its parts, smoothed; `None` before the first.
    #[serde(with = "humantime_serde")]
    pub latency: Option<Duration>,
    /// The load it sent with its last reply or report.
    pub load: u32,
    /// Failures in a row.
    pub failures: u32,
}

impl ServerView {
    /// What an operator sees of it.
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
            share: self.share,
            open: self.open,
            latency: self.latency.mean(),
            load: self.load,
            failures: self.failures,
        }
    }
}
