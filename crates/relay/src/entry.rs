//! A backend server as it registers itself.

use std::net::SocketAddr;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Whether a server takes work, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// It takes work.
    Ready,
    /// It finishes what it has and leaves.
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
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it runs at the same time.
    pub slots: Slots,
    /// Whether it takes work.
    pub availability: Availability,
    /// How much longer it is slow after its start, as of when it said so.
    pub warming: Duration,
    /// Its start; tells two runs under the same name apart. `None` if it does not say.
    pub born: Option<Incarnation>,
}
