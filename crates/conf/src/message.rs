//! The messages between the configuration managers of the VMs.

use std::sync::Arc;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// A message between the configuration managers of two VMs.
///
/// Any message may be lost, duplicated, delayed or reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// The summary of the sender's newest record.
    Gossip(RecordSummary),
    /// Requests the receiver's newest record if its object version is above this.
    Want {
        /// The sender's object version; 0 for none.
        object: u64,
    },
    /// The content of [`crate::CURRENT_PATH`] at an object version.
    Newest {
        /// The object version.
        object: u64,
        /// The content.
        content: Arc<str>,
    },
    /// The sender checked the prepared patch of this object version.
    Ack(Ack),
    /// The prepared patch of this object version is in force nowhere and still undecided; sent by the
    /// VM that proposed it in reply to the [`Ack`] with this number.
    Holding {
        /// The object version.
        object: u64,
        /// The [`Ack::seq`] that this replies to.
        seq: u64,
    },
    /// The sender will never commit the patch that it prepared at this object version.
    Abandoned {
        /// The object version.
        object: u64,
    },
}

/// The summary of the newest record known to a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSummary {
    /// The platform's version of the object; 0 for none.
    pub object: u64,
    /// The configuration version in force.
    pub version: ConfVersion,
    /// A hash of the content.
    pub digest: u64,
}

/// The acknowledgement or rejection of a prepared patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The object version at which the patch became known.
    pub object: u64,
    /// The number of this acknowledgement, counted per VM and patch.
    pub seq: u64,
    /// Why this VM rejects it; `None` if it does not.
    pub against: Option<String>,
}
