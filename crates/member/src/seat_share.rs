//! Division of a server's connections among the seats.

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::seat_table::Seat;
use crate::seat_table::SeatId;

/// A backend server and the number of connections that it accepts from all VMs together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLimit {
    /// The server.
    pub server: ServerName,
    /// The data centre that it is in.
    pub data_centre: DataCentre,
    /// The most connections that it accepts.
    pub connections: Connections,
}

/// Returns how many connections to a server a seat stands for. Over all seats they add up to the
/// server's limit.
///
/// The connections are assigned one by one in rounds. Each round assigns one to every full seat,
/// those of the server's data centre first; every second round also assigns one to every spare
/// seat. The order within a data centre is by rendezvous hash with the server, so that the
/// remainder goes to different VMs for different servers. A larger limit never gives a seat less,
/// so VMs that know different limits stay within the larger one.
#[must_use]
pub fn connections_for_seat(limit: &ServerLimit, seats: &[Seat], seat: SeatId) -> Connections {
    let Some(me) = seats.iter().find(|s| s.id == seat) else {
        return Connections(0);
    };
    let server = xxh3_64(limit.server.as_str().as_bytes());
    let mine = seat_rank(limit, server, me);
    let before = seats
        .iter()
        .filter(|s| seat_rank(limit, server, s) < mine)
        .count();
    let full = seats.iter().filter(|s| s.data_centre.is_some()).count();
    let all = seats.len();
    let dealt = limit.connections.0 as usize;
    let cycle = all + full;
    let (whole, rest) = (dealt / cycle, dealt % cycle);
    let first = usize::from(rest > before);
    let second = usize::from(rest > all + before);
    let n = match me.data_centre {
        Some(_) => 2 * whole + first + second,
        None => whole + first,
    };
    Connections(u32::try_from(n).unwrap_or(u32::MAX))
}

/// Returns the rank of a seat for a server: seats of the server's data centre come first, spare
/// seats last.
fn seat_rank(limit: &ServerLimit, server: u64, s: &Seat) -> (u8, u64, SeatId) {
    let group = match &s.data_centre {
        Some(dc) if *dc == limit.data_centre => 0,
        Some(_) => 1,
        None => 2,
    };
    (group, mix_bits(server ^ u64::from(s.id.0)), s.id)
}

/// Mixes the bits of a number with the finaliser of SplitMix64. Hashing bytes for every seat and
/// server took most of the time needed to adopt a large table.
fn mix_bits(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
