//! What books tell each other.

use std::sync::Arc;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// A message between the books of two VMs. Any may be lost, doubled, late or crossed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// The newest that the sender holds, in short.
    Gossip(RecordSummary),
    /// Asks for the newest that the receiver holds if its object version is above this.
    Want {
        /// The object version that the sender holds; 0 for none.
        object: u64,
    },
    /// The content of [`crate::CURRENT_PATH`] at an object version.
    Newest {
        /// The object version.
        object: u64,
        /// The content.
        content: Arc<str>,
    },
    /// The sender checked the prepared patch that it learned at this object version.
    Ack(Ack),
    /// The prepared patch of this object version is in force nowhere and still undecided; from the
    /// VM that proposed it, in answer to the [`Ack`] with this number.
    Holding {
        /// The object version.
        object: u64,
        /// The [`Ack::seq`] that this answers.
        seq: u64,
    },
    /// The sender will never commit the patch that it prepared at this object version.
    Abandoned {
        /// The object version.
        object: u64,
    },
}

/// The newest configuration that a VM holds, in short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordSummary {
    /// The platform's version of the object; 0 for none.
    pub object: u64,
    /// The configuration version in force.
    pub version: ConfVersion,
    /// A hash of the content.
    pub digest: u64,
}

/// The answer to a prepared patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The object version at which it was learned.
    pub object: u64,
    /// Counts the acknowledgements that this VM sent for it.
    pub seq: u64,
    /// Why this VM stands against it; `None` if it does not.
    pub against: Option<String>,
}
