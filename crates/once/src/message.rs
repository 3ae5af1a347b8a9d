//! Messages in which VMs forward claim requests and report the results.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::claim::ClaimRequest;
use crate::claim::ClaimRequestId;

/// A message about claims between two VMs. Messages may be lost, delayed or duplicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Forwards a claim request, to be written in one batch with the receiver's requests.
    Make {
        /// Number of this message among those of the sender's incarnation. The receiver ignores a
        /// number that is not larger than the last, so that a duplicated message cannot restore a
        /// request that was dropped.
        number: u64,
        /// The request, made on behalf of the sender.
        #[serde(rename = "ask")]
        request: ClaimRequest,
        /// How long the sender waits for the answer.
        budget: Duration,
    },
    /// Returns the result of a forwarded request.
    Made(ClaimRequestId, ClaimResult),
}

/// The result of a claim request that was forwarded by another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The entry of this request is stored: the key is claimed by it.
    Yours,
    /// The key is claimed by another request.
    Taken,
    /// Nothing was written for this request, and nothing can be written any more.
    Dropped,
    /// An entry may have been written, or may still be.
    Unsure,
}
