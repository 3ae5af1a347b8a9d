//! Inputs of the membership.

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::heartbeat::Heartbeat;
use crate::seat_share::ServerLimit;
use crate::seat_table::Epoch;

/// One input of [`crate::Membership`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The platform's list of VMs was read. It may lag behind the VMs that exist.
    List(Vec<VmEntry>),
    /// An authenticated heartbeat was received.
    #[serde(rename = "heard")]
    Heartbeat {
        /// The VM that sent it.
        from: VmId,
        /// The incarnation of the sender's process.
        incarnation: Incarnation,
        /// Its content.
        #[serde(rename = "beat")]
        heartbeat: Heartbeat,
    },
    /// The current list of all backend servers, with their limits.
    Servers(Vec<ServerLimit>),
    /// The seat table was read, after [`crate::Action::ReadTable`] or by a watch.
    TableRead(Result<Option<Stored>, StoreError>),
    /// The write of [`crate::Action::WriteTable`] ended; with the object's new version.
    TableWrote(Result<u64, StoreError>),
    /// No more connections are open than [`crate::Action::Shares`] with this epoch allowed.
    Lowered(Epoch),
    /// This process is leaving.
    Leave,
    /// This process holds no connections and will open none; the final event before it exits.
    ///
    /// Its seat may be assigned to another VM at once. From the moment the driver begins to close
    /// connections, it must therefore not open any for an [`crate::Action::Shares`] that is
    /// returned in the meantime.
    Released,
    /// The timer set by [`crate::Action::Wake`] has expired.
    Tick,
}
