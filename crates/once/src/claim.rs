//! One ask for a claim, and its states.

use std::fmt;

use gs_chart::Chart;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_128;

use crate::segment::Window;

/// The 128-bit hash of an idempotency key. Two keys that hash alike make the second `Taken`: it is
/// refused, never run twice.
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

/// Names one ask in the whole fleet: the nonce of its claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimRequestId {
    /// The VM whose caller wants it.
    pub vm: VmId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The lookup there.
    pub seq: LookupSeq,
}

impl fmt::Display for ClaimRequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.vm, self.incarnation, self.seq)
    }
}

/// A claim wanted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Whose it is.
    pub id: ClaimRequestId,
    /// The key, hashed.
    pub key: KeyHash,
    /// The window in which the key was minted.
    pub window: Window,
    /// What the lookup asks, kept with the claim for people who look into a dispute.
    pub fingerprint: Fingerprint,
}

/// Where an ask stands.
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
    /// Not part of any write yet.
    Queued,
    /// Handed to the bucket's writer.
    Forwarded,
    /// In a write whose answer is awaited.
    Writing,
    /// In no write, while an earlier write or forward may still take effect.
    Exposed,
    /// In a write, while an earlier write or forward may still take effect.
    Rewriting,
    /// Its entry stands.
    Granted,
    /// Another entry stands for its key.
    Taken,
    /// The key is older than the claim window.
    Expired,
    /// Given up before any write or forward that could still take effect.
    Refused,
    /// Given up while a write or forward may still take effect.
    Unknown,
}

/// What moves an ask.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimEvent {
    /// It was handed to the bucket's writer.
    Forward,
    /// It was put into a write.
    Write,
    /// The write's or forward's answer is lost or late.
    Lose,
    /// The write or forward provably has no effect.
    Miss,
    /// Its entry was seen to stand.
    Stand,
    /// Another entry for its key was seen to stand.
    Clash,
    /// The key's window was closed by the floor.
    Close,
    /// No time is left, or the platform is away.
    GiveUp,
}

/// The chart of an ask's states.
pub type ClaimChart = Chart<ClaimState, ClaimEvent>;

/// Reads the chart that is built into the program.
///
/// # Errors
///
/// [`ErrorKind::BadInput`] if `charts/claim.toml` has a fault.
pub fn chart() -> Result<ClaimChart> {
    Chart::parse(include_str!("../../../charts/claim.toml"))
}
