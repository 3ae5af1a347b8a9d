//! What an operator sees of the engine on request.

use std::time::Duration;
use std::time::Instant;

use gs_limit::Distance;
use gs_types::prelude::*;
use serde::Serialize;

use crate::counters::Counters;
use crate::engine::Engine;
use crate::lookup::LookupRun;

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
    /// The name of the policy that picks replicas.
    pub replica_policy: &'static str,
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
    /// The delay after which a part from this data centre is hedged now; `None` before enough parts
    /// were seen.
    #[serde(with = "humantime_serde")]
    pub hedge_near_after: Option<Duration>,
    /// The same for a part from another data centre.
    #[serde(with = "humantime_serde")]
    pub hedge_far_after: Option<Duration>,
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

impl Engine {
    /// The state of everything, for an operator.
    #[must_use]
    pub fn dump(&self, now: Instant) -> EngineDump {
        let groups = self.dump_groups();
        let core = &self.core;
        EngineDump {
            config: core.config,
            leaving: core.is_leaving,
            groups,
            servers: core.servers.by_name().map(|(_, v)| v.dump()).collect(),
            suspects: core.suspects.dump(now),
            lookups: self.lookups.len(),
            oldest: self
                .lookups
                .values()
                .take(LOOKUPS_SHOWN)
                .map(|lk| dump_lookup(now, lk))
                .collect(),
            waiting: core.waiting.parts(),
            orphans: core.orphans.len(),
            extra_left: core.budget.available(),
            admission: core.admission.dump(now),
            replica_policy: core.replica.name(),
            counters: core.counters.clone(),
        }
    }

    fn dump_groups(&self) -> Vec<GroupDump> {
        let core = &self.core;
        let servers = &core.servers;
        let mut dumps = Vec::new();
        for group in &core.groups {
            let pin = group.view.peek(servers);
            dumps.push(GroupDump {
                group: group.name.clone(),
                revision: group.view.revision(),
                pinned: pin.as_ref().map(|p| p.snapshot.id),
                shards: pin.as_ref().map_or(0, |p| p.snapshot.shards.len() as u32),
                ready: pin.as_ref().map_or(0, |p| p.ready),
                hedge_near_after: group.hedge.delay(Distance::Near),
                hedge_far_after: group.hedge.delay(Distance::Far),
            });
        }
        dumps
    }
}

fn dump_lookup(now: Instant, lk: &LookupRun) -> LookupDump {
    LookupDump {
        seq: lk.seq,
        fingerprint: lk.fingerprint,
        age: now.saturating_duration_since(lk.arrived),
        snapshot: lk.snapshot.id,
        shards: lk.shards.len() as u32,
        whole: lk.whole,
    }
}
