//! The state of another VM as this VM sees it, and the events that change it.

use gs_chart::Chart;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// The state of a VM as this VM sees it.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum VmState {
    /// Listed by the platform, but no heartbeat received yet.
    Listed,
    /// Heartbeats of it are received, by this VM or according to a newer rumour.
    Alive,
    /// Did not answer a probe in time. It counts as unreachable unless the suspicion is refuted in
    /// time.
    Suspect,
    /// Not heard from for too long: stopped, paused or partitioned, which cannot be distinguished.
    Unreachable,
    /// Leaving, as reported by itself or by the platform.
    Leaving,
    /// Removed: no longer listed by the platform, and without contact.
    Gone,
}

/// An event that changes the state of a VM.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum VmEvent {
    /// A heartbeat of it was received, or a rumour newer than the suspicion.
    Heard,
    /// It did not answer in time, or a rumour says that another VM suspects it.
    Silent,
    /// The suspicion was not refuted in time.
    Lapsed,
    /// It was reported to be leaving.
    Leaving,
    /// It has been missing from the platform's list for too long, without contact.
    Unlisted,
    /// A newer incarnation of its process was seen.
    Restarted,
}

/// The state machine definition of a VM's state.
pub type VmChart = Chart<VmState, VmEvent>;

/// Parses the state machine definition that is compiled into the program.
///
/// # Errors
///
/// [`ErrorKind::BadInput`] if `charts/vm.toml` is invalid.
pub fn chart() -> Result<VmChart> {
    Chart::parse(include_str!("../../../charts/vm.toml"))
}
