//! What operators declare (fronts, lookups, teams) and what publishers map (groups, snapshots).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::ids::ConfVersion;
use crate::ids::DataCentre;
use crate::ids::FrontName;
use crate::ids::GroupName;
use crate::ids::LookupName;
use crate::ids::PatchId;
use crate::ids::ServerName;
use crate::ids::ServiceName;
use crate::ids::ShardId;
use crate::ids::SnapshotId;
use crate::ids::TeamName;
use crate::size::Connections;
use crate::size::Slots;

/// One numbered version of the configuration; the whole of it lives in one platform object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The number of this version.
    pub version: ConfVersion,
    /// The patch that made it; `None` for the first.
    pub patch: Option<PatchId>,
    /// The teams that may change fronts.
    pub teams: Vec<Team>,
    /// The fronts declared.
    pub fronts: Vec<Front>,
}

impl Config {
    /// Finds a lookup by front and name.
    #[must_use]
    pub fn lookup(&self, front: &FrontName, lookup: &LookupName) -> Option<&Lookup> {
        let f = self.fronts.iter().find(|f| f.name == *front)?;
        f.lookups.iter().find(|l| l.name == *lookup)
    }
}

/// A team of operators, confined to its fronts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// The SHA-256 of its key in hexadecimal; the key itself is never kept.
    pub key_sha256: String,
    /// The fronts it may change; empty with `admin` for all.
    #[serde(default)]
    pub fronts: Vec<FrontName>,
    /// Whether it may change every front and the teams.
    #[serde(default)]
    pub admin: bool,
}

/// A search front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Front {
    /// Its name.
    pub name: FrontName,
    /// The lookups that callers may make.
    pub lookups: Vec<Lookup>,
}

/// How a lookup reaches shards.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Scope {
    /// Every shard of the snapshot is asked.
    Scatter,
    /// Only the shard that holds the lookup's key is asked.
    Keyed,
}

/// What a lookup is promised.
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
    strum::EnumString,
    strum::IntoStaticStr,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Promise {
    /// Whole, or the best by the deadline with its coverage told.
    Urgent,
    /// Every shard, or a refusal that says which are missing.
    Complete,
    /// Run at most once for an idempotency key; never hedged, never retried once sent.
    AtMostOnce,
}

/// A lookup declared in a front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lookup {
    /// Its name.
    pub name: LookupName,
    /// The group of services that it asks.
    pub group: GroupName,
    /// How it reaches shards.
    pub scope: Scope,
    /// What it is promised.
    pub promise: Promise,
    /// The longest time an answer may take; a caller may ask for less.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// The most hits on a page.
    pub page: u32,
    /// For an urgent lookup: answer early once so many hits are there, and say so.
    #[serde(default)]
    pub enough_at: Option<u32>,
}

/// The shard maps and backend servers of one group, written by its publisher's pipeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupMap {
    /// The group.
    pub group: GroupName,
    /// Counts changes of this map; a larger revision replaces a smaller one.
    pub revision: u64,
    /// The backend servers.
    pub servers: Vec<Arc<ServerDecl>>,
    /// The snapshots on offer, any order.
    pub snapshots: Vec<Arc<SnapshotMap>>,
}

/// A backend server as its publisher declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerDecl {
    /// Its name; a new incarnation of the server has the same name.
    pub name: ServerName,
    /// The service whose shard it replicates.
    pub service: ServiceName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Lookups it runs at the same time.
    pub slots: Slots,
    /// Connections it accepts from everyone together.
    pub connections: Connections,
}

/// One snapshot of a group's index; a repartition is a new snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotMap {
    /// Its number.
    pub id: SnapshotId,
    /// Its shards, by number from 0 without gaps.
    pub shards: Vec<ShardMap>,
}

/// Which backend servers hold a shard of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMap {
    /// The shard.
    pub shard: ShardId,
    /// The backend servers meant to hold it.
    pub servers: SmallVec<[ServerName; 4]>,
}
