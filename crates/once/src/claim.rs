//! A claim request and its states.

use std::fmt;

use gs_chart::Chart;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_128;

use crate::segment::Window;

/// The 128-bit hash of an idempotency key.
///
/// If two keys have the same hash, the second one is `Taken`: its lookup is refused, and no key runs
/// twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub u128);

impl KeyHash {
    /// Hashes a key.
    #[must_use]
    pub fn of(key: &IdempotencyKey) -> Self {
        Self(xxh3_128(key.as_str().as_bytes()))
    }
}

/// The fleet-wide unique id of a claim request, stored in the claim as its nonce.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimRequestId {
    /// The VM that received the lookup.
    pub vm: VmId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The number of the lookup in that process.
    pub seq: LookupSeq,
}

impl fmt::Display for ClaimRequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.vm, self.incarnation, self.seq)
    }
}

/// A request for a claim on an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The id of the request.
    pub id: ClaimRequestId,
    /// The hash of the key.
    pub key: KeyHash,
    /// The window in which the key was minted.
    pub window: Window,
    /// The fingerprint of the lookup's query, stored with the claim for operators who investigate a
    /// dispute.
    pub fingerprint: Fingerprint,
}

/// The state of a claim request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimState {
    /// Not in any write yet.
    Queued,
    /// Forwarded to the bucket's writer.
    Forwarded,
    /// In a write that is in flight.
    Writing,
    /// In no write in flight, while an earlier write or forwarded request may still take effect.
    Exposed,
    /// In a write in flight, while an earlier write or forwarded request may still take effect.
    Rewriting,
    /// Its entry is stored.
    Granted,
    /// The entry of another request is stored for its key.
    Taken,
    /// The key is older than the claim window.
    Expired,
    /// Abandoned when no write or forwarded request could still take effect.
    Refused,
    /// Abandoned while a write or forwarded request may still take effect.
    Unknown,
}

/// An event that changes the state of a claim request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimEvent {
    /// It was forwarded to the bucket's writer.
    Forward,
    /// It was put into a write.
    Write,
    /// The answer to the write or to the forwarded request is lost or late.
    Lose,
    /// The write or the forwarded request is known to have no effect.
    Miss,
    /// Its entry was found.
    Stand,
    /// The entry of another request was found for its key.
    Clash,
    /// The watermark has closed the key's window.
    Close,
    /// No time is left, or the platform is unreachable.
    GiveUp,
}

/// The state machine definition of a claim request.
pub type ClaimChart = Chart<ClaimState, ClaimEvent>;

/// Parses the state machine definition that is compiled into the program.
///
/// # Errors
///
/// [`ErrorKind::BadInput`] if `charts/claim.toml` is invalid.
pub fn chart() -> Result<ClaimChart> {
    Chart::parse(include_str!("../../../charts/claim.toml"))
}
