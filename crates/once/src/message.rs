//! What VMs tell each other about claims.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::claim::Ask;
use crate::claim::AskId;

/// A message between the claims of two VMs; any may be lost, late or doubled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Please make these claims in one group with yours.
    Make {
        /// The claims wanted, on behalf of the sender.
        asks: Vec<Ask>,
        /// How long the sender waits for the answer.
        budget: Duration,
    },
    /// How asked claims ended.
    Made(Vec<(AskId, Settled)>),
}

/// How a claim made on another VM's behalf ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settled {
    /// The entry of this ask stands: its key is its own.
    Yours,
    /// Another entry stands for the key.
    Taken,
    /// Nothing was written for this ask and nothing can be any more.
    Dropped,
    /// It may have been written or may yet be.
    Unsure,
}
