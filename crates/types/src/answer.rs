//! What a caller gets back: an answer with its true coverage, or a refusal that says what it knows.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::attempt::Hit;
use crate::ids::ShardId;
use crate::ids::SnapshotId;

/// The end of a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// A page, with its coverage.
    Answered(Answer),
    /// No backend server ran it; with an idempotency key, neither this nor any other submission.
    NotRun(Refusal),
    /// It may have run: something was sent, or another submission under its key may have run.
    Unknown(Refusal),
}

/// A page from one snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The snapshot that every hit and every counted shard is from.
    pub snapshot: SnapshotId,
    /// The best hits, best first.
    pub hits: Vec<Hit>,
    /// How many documents matched in the shards that answered.
    pub matched: u64,
    /// Which shards the page covers.
    pub coverage: Coverage,
    /// Whether it ended before every shard was in because there were hits enough.
    pub ended_early: bool,
    /// Attempts made beyond one a shard.
    pub extra_attempts: u32,
}

/// Which shards of the snapshot a page covers; counted only from parts that arrived whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards that the lookup asks: all of the snapshot, or one for a keyed lookup.
    pub shards: u32,
    /// Shards that answered whole.
    pub whole: u32,
    /// Shards that did not, and why.
    pub missing: Vec<MissingShard>,
}

impl Coverage {
    /// Whether every shard asked has answered whole.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.whole == self.shards
    }
}

/// A shard that a page does not cover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it is missing.
    pub reason: MissReason,
}

/// Why a shard is missing.
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
    /// No replica that is ready and reachable holds it.
    NoReplica,
    /// It did not answer in time.
    Late,
    /// Every replica tried refused for load.
    Shed,
    /// Every replica tried failed.
    Failed,
    /// Its replicas no longer hold the pinned snapshot.
    SnapshotGone,
    /// The lookup ended early, with hits enough.
    EndedEarly,
}

/// A final refusal, given as soon as it is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When it is worth asking again; `None` if never with this request.
    #[serde(with = "humantime_serde")]
    pub retry_after: Option<Duration>,
    /// For a complete lookup: what was missing.
    pub missing: Vec<MissingShard>,
}

impl Refusal {
    /// Starts a refusal without missing shards.
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
    /// The front or lookup is not declared.
    NoSuchLookup,
    /// The request does not fit the lookup as declared, such as a missing key.
    BadRequest,
    /// Too much is in flight for this lookup to end in time.
    Overload,
    /// The deadline passed before anything was sent.
    TooLate,
    /// No snapshot is ready that satisfies the request.
    NoSnapshot,
    /// A complete lookup could not reach every shard.
    Incomplete,
    /// This lookup crashed backend servers and is set aside for a while.
    Quarantined,
    /// The idempotency key was already used; the first run's answer is its only one.
    AlreadyClaimed,
    /// The idempotency key is older than the claim window, or from the future.
    KeyExpired,
    /// The claim could not be made or read, as the platform is away.
    ClaimsAway,
    /// The attempt at an at-most-once lookup failed after it was sent.
    Failed,
    /// This VM is leaving; ask another.
    Leaving,
    /// This VM does not hold a configuration yet.
    NotReady,
    /// A change of this lookup was prepared here and its outcome cannot be learned yet.
    ConfigInDoubt,
}
