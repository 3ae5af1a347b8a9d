//! Heartbeats: the messages in which VMs exchange what they know of each other.

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::seat_table::Epoch;
use crate::vm_state::VmState;

/// A heartbeat: the sender's own state, and a bounded number of rumours about VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Whether the receiver should answer at once; set in a probe.
    pub wants_answer: bool,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Whether the sender has received a heartbeat from the receiver.
    pub knows_receiver: bool,
    /// The sender's entry, with its addresses; only sent while the receiver may not know it yet.
    pub entry: Option<Box<VmEntry>>,
    /// The epochs of the seat table that the sender has read and lowered to.
    #[serde(rename = "claimed")]
    pub table_epochs: TableEpochs,
    /// The states of some VMs, those that changed recently first; at most
    /// `MemberSettings::rumours_max`.
    pub rumours: Vec<Rumour>,
    /// A seat table newer than the receiver's: its object's version and content.
    pub table: Option<(u64, Vec<u8>)>,
}

/// The epochs of the seat table that a VM has read and lowered to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableEpochs {
    /// The epoch of the newest seat table that the VM has read.
    pub read: Epoch,
    /// The newest epoch whose shares the VM's open connections are within; it never decreases.
    pub lowered: Epoch,
}

/// The state of a VM as the sender of a heartbeat knows it. The VM may also be the sender itself,
/// which refutes a suspicion in this way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// The VM that the rumour is about.
    pub vm: VmId,
    /// The newest known incarnation of its process.
    pub incarnation: Incarnation,
    /// How often that incarnation has refuted a suspicion; a rumour with a larger count supersedes
    /// one with a smaller count.
    #[serde(rename = "refutes")]
    pub refutations: u32,
    /// Its state as the sender sees it.
    pub state: VmState,
    /// The newest epoch of the seat table that it is known to have lowered to.
    pub lowered: Epoch,
}
