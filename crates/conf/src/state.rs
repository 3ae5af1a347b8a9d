//! The chart of one proposal.

use gs_chart::Chart;
use gs_types::prelude::*;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// Where a proposal stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PatchState {
    /// Waits for a record without another pending patch.
    Reading,
    /// The write that prepares it is out.
    Preparing,
    /// The VMs are asked, and the version in force is copied to its history object.
    Asking,
    /// The write that commits it is out: the point of no return.
    Committing,
    /// Committed; VMs put it in force.
    Spreading,
    /// Refused; the write that withdraws it is out.
    Withdrawing,
    /// Nothing is left to do.
    Done,
}

/// What happens to a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PatchEvent {
    /// The record read allows it.
    Fits,
    /// The record read or the rules rule it out, or its id is settled.
    Settled,
    /// The record now shows it as pending.
    Prepared,
    /// Another write was first.
    Beaten,
    /// Every VM acknowledged and the history is written.
    Agreed,
    /// A VM stands against it or said nothing in time.
    Opposed,
    /// The record shows it as accepted.
    Committed,
    /// Every VM has it in force, or has stopped serving what it changes.
    Everywhere,
    /// The operator has waited long enough.
    Late,
}

/// The chart of a proposal, from `charts/patch.toml`.
///
/// # Errors
///
/// [`ErrorKind::BadInput`] if the file does not fit the enums; a test shows that it does.
pub fn patch_chart() -> Result<Chart<PatchState, PatchEvent>> {
    Chart::parse(include_str!("../../../charts/patch.toml"))
}
