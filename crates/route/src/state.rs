//! The states of a backend server, defined by `charts/server.toml`.

use gs_chart::Chart;
use gs_types::prelude::*;

/// The state of a backend server.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ServerState {
    /// Accepts work up to this VM's share of its connections.
    Serving,
    /// In slow start after a start or an absence; its share grows gradually.
    Warming,
    /// Ejected after several consecutive failures; written as `set-aside`.
    SetAside,
    /// Its ejection time is over; one attempt at a time shows whether it is back.
    Probing,
    /// Accepts no new work.
    Draining,
}

/// An event that can change the state of a backend server.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ServerEvent {
    /// A notice or report says that its current incarnation is draining.
    Drain,
    /// A new incarnation of it became known.
    NewRun,
    /// It had too many consecutive failures.
    Failing,
    /// Its ejection time is over.
    RestOver,
    /// The attempt that probed it returned a complete part.
    ProbeOk,
    /// The attempt that probed it failed.
    ProbeFailed,
    /// Its slow start is over.
    Warmed,
}

/// Parses the state machine definition.
pub(crate) fn server_chart() -> Result<Chart<ServerState, ServerEvent>> {
    Chart::parse(include_str!("../../../charts/server.toml"))
}
