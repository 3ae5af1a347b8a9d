//! The seat table: who may hold connections, agreed by conditional writes on one platform object.

use std::fmt;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// The number of a seat table; each write adds one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The number of a seat; never used again for another.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SeatId(pub u32);

/// A part of every server's connections, held by at most one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// Its number.
    pub id: SeatId,
    /// The data centre whose servers it is given more of; `None` for a seat kept for a newcomer.
    pub data_centre: Option<DataCentre>,
}

/// Who may hold connections: a list of seats, some of them vacant and kept for newcomers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatTable {
    /// The number of this table.
    pub epoch: Epoch,
    /// The lists of seats that some VM may still hold to, oldest first, each with the first epoch
    /// it was in force; the last is the one in force now.
    pub shapes: SmallVec<[(Epoch, Vec<Seat>); 1]>,
    /// The occupied seats.
    pub held: Vec<(SeatId, VmId)>,
}

impl SeatTable {
    /// The platform object that holds it.
    pub const PATH: &'static str = "members/seats";
}
