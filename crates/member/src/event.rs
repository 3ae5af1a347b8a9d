//! What the membership is told.

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::heartbeat::Heartbeat;
use crate::seats::Epoch;
use crate::share::ServerLimit;

/// One input of [`crate::Membership`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The platform's list of VMs was read; it may lag.
    List(Vec<VmEntry>),
    /// An authenticated heartbeat arrived.
    #[serde(rename = "heard")]
    Heartbeat {
        /// The VM that sent it.
        from: VmId,
        /// The run of its process.
        incarnation: Incarnation,
        /// What it says.
        #[serde(rename = "beat")]
        heartbeat: Heartbeat,
    },
    /// All backend servers there are now, with their limits.
    Servers(Vec<ServerLimit>),
    /// The seat table was read, after [`crate::Action::ReadTable`] or by a watch.
    TableRead(Result<Option<Stored>, StoreError>),
    /// The write asked for by [`crate::Action::WriteTable`] ended; with the object's new version.
    TableWrote(Result<u64, StoreError>),
    /// The shell holds no more connections than [`crate::Action::Shares`] with this epoch allowed.
    Lowered(Epoch),
    /// This process is leaving.
    Leave,
    /// This process holds no connection any more and will open none: the last word before exit.
    ///
    /// Its seat may be another's at once. So from the moment the shell begins to close, it must
    /// not open connections again for an [`crate::Action::Shares`] that is told meanwhile.
    Released,
    /// A timer asked for by [`crate::Action::Wake`] is due.
    Tick,
}
