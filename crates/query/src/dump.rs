//! What an operator sees of the engine on request.

use std::time::Duration;

use gs_types::prelude::*;
use serde::Serialize;

use crate::counters::Counters;

/// The engine's state, for people and `--json`.
#[derive(Clone, Debug, Serialize)]
pub struct EngineDump {
    /// The configuration version in force here; `None` before the first.
    pub config: Option<ConfVersion>,
    /// Whether this process is leaving.
    pub leaving: bool,
    /// The groups known.
    pub groups: Vec<GroupDump>,
    /// The backend servers known, by name.
    pub servers: Vec<gs_route::ServerDump>,
    /// Lookups that suspicion or quarantine is held against.
    pub suspects: Vec<SuspectDump>,
    /// Lookups in flight.
    pub lookups: usize,
    /// The oldest lookups in flight, at most [`LOOKUPS_SHOWN`].
    pub oldest: Vec<LookupDump>,
    /// Parts that wait in the engine for a free connection.
    pub waiting: usize,
    /// Attempts given up whose end the shell has not told yet.
    pub orphans: usize,
    /// Extra attempts that may be made at this moment.
    pub extra_left: f64,
    /// The admission policy's state.
    pub admission: gs_limit::AdmissionDump,
    /// Running totals.
    pub counters: Counters,
}

/// The most lookups that a dump spells out.
pub const LOOKUPS_SHOWN: usize = 20;

/// A group as the engine sees it.
#[derive(Clone, Debug, Serialize)]
pub struct GroupDump {
    /// The group.
    pub group: GroupName,
    /// The revision of its map.
    pub revision: u64,
    /// The snapshot that a new lookup would pin.
    pub pinned: Option<SnapshotId>,
    /// Shards of that snapshot, and how many have a ready replica.
    pub shards: u32,
    /// Shards with a ready replica.
    pub ready: u32,
    /// The delay after which a part is hedged now; `None` before enough parts were seen.
    #[serde(with = "humantime_serde")]
    pub hedge_after: Option<Duration>,
}

/// A fingerprint under suspicion or quarantine.
#[derive(Clone, Debug, Serialize)]
pub struct SuspectDump {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Servers that broke while they ran it, as far as is known.
    pub crashes: u32,
    /// How long it is refused from now; zero if only suspected.
    #[serde(with = "humantime_serde")]
    pub rest: Duration,
}

/// A lookup in flight.
#[derive(Clone, Debug, Serialize)]
pub struct LookupDump {
    /// Its number.
    pub seq: LookupSeq,
    /// Its fingerprint.
    pub fingerprint: Fingerprint,
    /// Its age.
    #[serde(with = "humantime_serde")]
    pub age: Duration,
    /// The snapshot it is pinned to.
    pub snapshot: SnapshotId,
    /// Shards that it asks.
    pub shards: u32,
    /// Shards whole so far.
    pub whole: u32,
}
