//! Outputs of the membership, carried out by its I/O driver (shell).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::heartbeat::Heartbeat;
use crate::membership_view::MembershipView;
use crate::seat_table::Epoch;

/// One output of [`crate::Membership`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Send a heartbeat to one VM.
    Send(VmId, Heartbeat),
    /// Replace the list of peers that the mesh connects to.
    Peers(Vec<(VmId, SocketAddr)>),
    /// Hold no more connections than this to each server, and none to a server not named. The
    /// driver closes connections above the shares at once, and then sends
    /// [`crate::Event::Lowered`] with the epoch, once for each of these actions.
    Shares {
        /// The epoch of the seat table that the shares are computed from.
        epoch: Epoch,
        /// How many connections this VM may hold to each server.
        shares: Vec<(ServerName, Connections)>,
    },
    /// The view changed.
    View(Arc<MembershipView>),
    /// Read the object [`crate::SeatTable::PATH`]; answered by [`crate::Event::TableRead`].
    ReadTable,
    /// Write the object [`crate::SeatTable::PATH`]; answered by [`crate::Event::TableWrote`].
    WriteTable {
        /// The version to replace; 0 if it must not exist.
        if_version: u64,
        /// The new content.
        content: Vec<u8>,
    },
    /// Send [`crate::Event::Tick`] after this time at the latest; replaces the previous request.
    Wake(Duration),
}
