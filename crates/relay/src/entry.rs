//! Register entry of a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Whether a server accepts work, as reported by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// It accepts work.
    Ready,
    /// It completes the requests that it has and leaves.
    Draining,
}

/// A backend server as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServerEntry {
    /// Its name.
    pub name: ServerName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Address at which it listens.
    pub addr: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Number of requests that it executes concurrently.
    pub slots: Slots,
    /// Whether it accepts work.
    pub availability: Availability,
    /// Remaining time for which it is slow after its start, as of when it reported it.
    pub warming: Duration,
    /// Its start, which distinguishes incarnations of the same name. `None` if it is not reported.
    pub born: Option<Incarnation>,
}
