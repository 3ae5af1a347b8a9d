//! What VMs tell each other about claims.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::claim::ClaimRequest;
use crate::claim::ClaimRequestId;

/// A message between the claims of two VMs; any may be lost, late or doubled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Please make this claim in one group with yours.
    Make {
        /// Counts these messages of one run of the sender; one that is not larger than the last is
        /// ignored, so that a message that comes twice cannot bring back an ask that was dropped.
        number: u64,
        /// The claim wanted, on behalf of the sender.
        #[serde(rename = "ask")]
        request: ClaimRequest,
        /// How long the sender waits for the answer.
        budget: Duration,
    },
    /// How a claim asked for ended.
    Made(ClaimRequestId, ClaimResult),
}

/// How a claim made on another VM's behalf ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The entry of this ask stands: its key is its own.
    Yours,
    /// Another entry stands for the key.
    Taken,
    /// Nothing was written for this ask and nothing can be any more.
    Dropped,
    /// It may have been written or may yet be.
    Unsure,
}
