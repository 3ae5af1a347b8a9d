//! The states and events of a proposal.

use gs_chart::Chart;
use gs_types::prelude::*;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// The state of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PatchState {
    /// Waits for a record without another pending patch.
    Reading,
    /// The write that prepares it is in flight.
    Preparing,
    /// Waits for acknowledgements; the version in force is copied to its history object.
    Asking,
    /// The write that commits it is in flight; from here on it may take effect.
    Committing,
    /// Committed; the VMs put it in force.
    Spreading,
    /// Refused; the write that withdraws it is in flight.
    Withdrawing,
    /// Nothing is left to do.
    Done,
}

/// An event that can change the state of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PatchEvent {
    /// The record allows it.
    Fits,
    /// The record or the rules exclude it, or a patch with its id is decided.
    Settled,
    /// The record contains it as pending.
    Prepared,
    /// Another write took effect first.
    Beaten,
    /// Every VM acknowledged and the history is written.
    Agreed,
    /// A VM rejects it or did not acknowledge it in time.
    Opposed,
    /// The record contains it as accepted.
    Committed,
    /// Every VM has it in force, or has stopped serving what it changes.
    Everywhere,
    /// All calls that wait for it have expired.
    Late,
}

/// Returns the state machine of a proposal, defined by `charts/patch.toml`.
///
/// # Errors
///
/// [`ErrorKind::BadInput`] if the definition does not match the enums, which a test rules out.
pub fn patch_chart() -> Result<Chart<PatchState, PatchEvent>> {
    Chart::parse(include_str!("../../../charts/patch.toml"))
}
