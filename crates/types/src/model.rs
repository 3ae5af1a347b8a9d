//! The configuration that operators declare (fronts, lookups, teams) and the group maps that
//! publishers write (backend servers, snapshots).

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

/// One numbered version of the complete configuration, stored in one platform object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The number of this version.
    pub version: ConfVersion,
    /// The patch that created it; `None` for the first version.
    pub patch: Option<PatchId>,
    /// The teams that may change fronts.
    pub teams: Vec<Team>,
    /// The declared fronts.
    pub fronts: Vec<Front>,
}

impl Config {
    /// Returns a lookup by its front and name, if it is declared.
    #[must_use]
    pub fn lookup(&self, front: &FrontName, lookup: &LookupName) -> Option<&Lookup> {
        let f = self.fronts.iter().find(|f| f.name == *front)?;
        f.lookups.iter().find(|l| l.name == *lookup)
    }
}

/// A team of operators, which may change only its own fronts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// The SHA-256 of its key in hexadecimal; the key itself is never stored.
    pub key_sha256: String,
    /// The fronts that it may change; may be empty if `admin` is set, which allows all of them.
    #[serde(default)]
    pub fronts: Vec<FrontName>,
    /// Whether it may change every front and the list of teams.
    #[serde(default)]
    pub admin: bool,
}

/// A search front: a named set of lookups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Front {
    /// Its name.
    pub name: FrontName,
    /// The lookups that callers may request.
    pub lookups: Vec<Lookup>,
}

/// Which shards a lookup queries.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Scope {
    /// Every shard of the snapshot; not allowed for an at-most-once lookup.
    Scatter,
    /// Only the shard that holds the lookup's key.
    Keyed,
}

/// The guarantee that a lookup gives its callers.
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
    /// A complete page, or the best page available at the deadline, with its coverage.
    Urgent,
    /// A page that covers every shard, or a refusal that lists the missing ones.
    Complete,
    /// Executed at most once for an idempotency key; never hedged, and never retried once sent. For
    /// keyed lookups only, because one claim can cover one attempt only.
    AtMostOnce,
}

/// A lookup declared in a front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lookup {
    /// Its name.
    pub name: LookupName,
    /// The group of services that it queries.
    pub group: GroupName,
    /// Which shards it queries.
    pub scope: Scope,
    /// The guarantee that it gives.
    pub promise: Promise,
    /// The longest time that an answer may take; a caller may request a shorter one.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// The largest number of hits on a page.
    pub page: u32,
    /// For an urgent lookup: the number of hits at which it is answered early, with the answer
    /// marked as such.
    #[serde(default)]
    pub enough_at: Option<u32>,
}

/// The shard maps and backend servers of one group, written by its publisher's pipeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupMap {
    /// The group.
    pub group: GroupName,
    /// The number of the map's revision; a larger revision replaces a smaller one.
    pub revision: u64,
    /// The backend servers.
    pub servers: Vec<Arc<ServerDecl>>,
    /// The published snapshots, in any order.
    pub snapshots: Vec<Arc<SnapshotMap>>,
}

/// A backend server as declared by its publisher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerDecl {
    /// Its name; a new incarnation of the server has the same name.
    pub name: ServerName,
    /// The service whose shard it replicates.
    pub service: ServiceName,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: DataCentre,
    /// The number of lookups that it executes at the same time.
    pub slots: Slots,
    /// The number of connections that it accepts from all clients together.
    pub connections: Connections,
}

/// One snapshot of a group's index; repartitioning creates a new snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotMap {
    /// The number of the snapshot.
    pub id: SnapshotId,
    /// Its shards, numbered from 0 without gaps.
    pub shards: Vec<ShardMap>,
}

/// Which backend servers hold a shard of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardMap {
    /// The shard.
    pub shard: ShardId,
    /// The backend servers assigned to hold it.
    pub servers: SmallVec<[ServerName; 4]>,
}
