//! Messages in which VMs forward claim requests and report the results.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::claim::ClaimRequest;
use crate::claim::ClaimRequestId;

/// A message about claims between two VMs. Messages may be lost, delayed or duplicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the receiver to make a claim on behalf of the sender, in one batch with the receiver's
    /// own claims.
    Make {
        /// Number of this message among those of the sender's incarnation. The receiver ignores a
        /// number that is not larger than the last, so that a duplicated message cannot restore a
        /// request that was dropped.
        number: u64,
        /// The claim request.
        #[serde(rename = "ask")]
        request: ClaimRequest,
        /// How long the sender waits for the answer.
        budget: Duration,
    },
    /// Returns whether the claim of a forwarded request was made.
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
