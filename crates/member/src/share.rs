//! How a server's connections are divided among seats.

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::seats::Seat;
use crate::seats::SeatId;

/// A backend server and the connections that it accepts from all VMs together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLimit {
    /// The server.
    pub server: ServerName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Its limit.
    pub connections: Connections,
}

/// The connections to a server that a seat stands for; over all seats they add up to its limit.
#[must_use]
pub fn seat_share(limit: &ServerLimit, seats: &[Seat], seat: SeatId) -> Connections {
    let _ = (limit, seats, seat);
    Connections(0)
}
