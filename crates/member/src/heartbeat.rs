//! What VMs tell each other about VMs.

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::seats::Epoch;
use crate::vm::VmState;

/// A heartbeat: what the sender says of itself, and some of what it lately learned of others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Whether the receiver should answer at once.
    pub wants_answer: bool,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Whether the sender has heard the receiver.
    pub knows_receiver: bool,
    /// How the sender can be reached; only while the receiver may not know it yet.
    pub entry: Option<Box<VmEntry>>,
    /// The newest seat table that the sender holds to.
    #[serde(rename = "claimed")]
    pub table_epochs: TableEpochs,
    /// What the sender lately learned of others; bounded.
    pub rumours: Vec<Rumour>,
    /// A seat table newer than the receiver's, as its object's version and content.
    pub table: Option<(u64, Vec<u8>)>,
}

/// Which seat tables a VM holds to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableEpochs {
    /// The newest seat table that it has read.
    pub read: Epoch,
    /// The newest that its open connections are within; it never goes back to an older one.
    pub lowered: Epoch,
}

/// What the sender knows of a third VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// The VM it is about.
    pub vm: VmId,
    /// The newest run of its process known.
    pub incarnation: Incarnation,
    /// Counts how often that run has contradicted a suspicion; a larger one wins.
    #[serde(rename = "refutes")]
    pub refutations: u32,
    /// What it is thought to be.
    pub state: VmState,
    /// The newest seat table that it is known to be within.
    pub lowered: Epoch,
}
