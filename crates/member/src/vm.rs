//! The state of one VM as this VM sees it.

use gs_chart::Chart;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// What a VM is to this one.
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
    /// Listed, but not heard yet.
    Listed,
    /// Heard lately.
    Alive,
    /// Did not answer; others are asked before it counts as unreachable.
    Suspect,
    /// Not heard for long: dead, paused or cut off, which cannot be told apart.
    Unreachable,
    /// It said, or the platform says, that it is leaving.
    Leaving,
    /// The platform no longer lists it and nobody hears it.
    Gone,
}

/// What changes a VM's state.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum VmEvent {
    /// It was heard, at first hand or through newer news than the suspicion.
    Heard,
    /// It did not answer in time, or another VM suspects it.
    Silent,
    /// The suspicion was not contradicted in time.
    Lapsed,
    /// It is leaving.
    Leaving,
    /// The platform's list has lacked it for long and it was not heard meanwhile.
    Unlisted,
    /// A newer run of its process was heard.
    Restarted,
}

/// The chart of a VM's states.
pub type VmChart = Chart<VmState, VmEvent>;

/// Reads the chart that is built into the program.
///
/// # Errors
///
/// [`ErrorKind::BadInput`] if `charts/vm.toml` has a fault.
pub fn chart() -> Result<VmChart> {
    Chart::parse(include_str!("../../../charts/vm.toml"))
}
