//! The states of a backend server, by the chart `charts/server.toml`.

use gs_chart::Chart;
use gs_types::prelude::*;

/// Where a backend server stands.
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
    /// Takes work up to this VM's share of its connections.
    Serving,
    /// Cold after a start or an absence; its share grows slowly.
    Warming,
    /// Failed several times in a row and rests.
    SetAside,
    /// Rested; one attempt at a time shows whether it is back.
    Probing,
    /// Takes no new work.
    Draining,
}

/// What can happen to a backend server.
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
    /// A sign says that this run of it is draining.
    Drain,
    /// A new run of it was heard of.
    NewRun,
    /// It failed too often in a row.
    Failing,
    /// Its rest is over.
    RestOver,
    /// The attempt that probed it came back whole.
    ProbeOk,
    /// The attempt that probed it failed.
    ProbeFailed,
    /// It has been warming for long enough.
    Warmed,
}

/// Reads the chart.
pub(crate) fn chart() -> Result<Chart<ServerState, ServerEvent>> {
    Chart::parse(include_str!("../../../charts/server.toml"))
}
