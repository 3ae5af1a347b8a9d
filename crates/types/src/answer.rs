//! The outcome of a lookup: an answer with its coverage, or a refusal with its reason.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::attempt::Hit;
use crate::ids::ShardId;
use crate::ids::SnapshotId;

/// The outcome of a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// A page of hits, with its coverage.
    Answered(Answer),
    /// No backend server executed the lookup nor, if it has an idempotency key, any other
    /// submission under that key.
    NotRun(Refusal),
    /// A backend server may have executed the lookup: something was sent, or another submission
    /// under its idempotency key may have been executed.
    Unknown(Refusal),
}

/// A page of hits from one snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The snapshot that every hit and every covered shard is from.
    pub snapshot: SnapshotId,
    /// The best hits, best first.
    pub hits: Vec<Hit>,
    /// The number of documents that matched in the shards that answered.
    pub matched: u64,
    /// Which shards the page covers.
    pub coverage: Coverage,
    /// Whether the lookup ended before every shard had answered because there were enough hits.
    pub ended_early: bool,
    /// The number of attempts beyond one per shard.
    pub extra_attempts: u32,
}

/// Which shards of the snapshot a page covers; only parts that arrived complete count.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// The number of shards that the lookup queries: all of the snapshot, or one for a keyed
    /// lookup.
    pub shards: u32,
    /// The number of shards whose part arrived complete.
    pub whole: u32,
    /// The other shards, and why each is missing.
    pub missing: Vec<MissingShard>,
}

impl Coverage {
    /// Returns whether the part of every queried shard arrived complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.whole == self.shards
    }
}

/// A shard that a page does not cover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why the page does not cover it.
    pub reason: MissReason,
}

/// Why a page does not cover a shard.
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
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MissReason {
    /// No replica that is ready and reachable holds the shard.
    NoReplica,
    /// The shard did not answer in time.
    Late,
    /// Every replica tried shed the request because of load.
    Shed,
    /// Every replica tried failed.
    Failed,
    /// The shard's replicas no longer hold the pinned snapshot.
    SnapshotGone,
    /// The lookup ended early with enough hits.
    EndedEarly,
}

/// A final refusal of a lookup, sent as soon as its reason is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the lookup was refused.
    pub reason: RefusalReason,
    /// The time after which a retry is worthwhile; `None` if no retry of this request is.
    #[serde(with = "humantime_serde")]
    pub retry_after: Option<Duration>,
    /// For a lookup that promises every shard: the shards that were missing.
    pub missing: Vec<MissingShard>,
}

impl Refusal {
    /// Creates a refusal without missing shards.
    #[must_use]
    pub fn new(reason: RefusalReason, retry_after: Option<Duration>) -> Self {
        Self {
            reason,
            retry_after,
            missing: Vec::new(),
        }
    }
}

/// Why a lookup was refused.
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
    strum::IntoStaticStr,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The front or the lookup is not declared.
    NoSuchLookup,
    /// The request does not match the declared lookup, for example because its key is missing.
    BadRequest,
    /// Too much work is in flight for this lookup to end in time.
    Overload,
    /// The deadline passed before anything was sent.
    TooLate,
    /// No snapshot that satisfies the request is ready.
    NoSnapshot,
    /// A lookup that promises every shard could not reach all of them.
    Incomplete,
    /// This lookup crashed backend servers and is quarantined for a limited time.
    Quarantined,
    /// The idempotency key was already used; only its first execution returns an answer.
    AlreadyClaimed,
    /// The idempotency key is older than the claim window, or was minted in the future.
    KeyExpired,
    /// The claim could not be made or read because the platform is unreachable, or was not decided by
    /// the lookup's deadline.
    ClaimsAway,
    /// An at-most-once lookup ended without its part and no other reason applies, for example
    /// because its attempt failed after it was sent; or the outcome of any lookup was lost inside
    /// the VM.
    Failed,
    /// This VM is leaving; the caller can retry on another VM.
    Leaving,
    /// This VM has no configuration yet.
    NotReady,
    /// A change of this lookup was prepared on this VM and its outcome is not known yet.
    ConfigInDoubt,
}
