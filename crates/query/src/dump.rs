//! A dump of the engine's state for operators.

use std::time::Duration;
use std::time::Instant;

use gs_limit::Distance;
use gs_types::prelude::*;
use serde::Serialize;

use crate::counters::Counters;
use crate::engine::Engine;
use crate::lookup::ActiveLookup;

/// The engine's state, for operators and `--json`.
#[derive(Clone, Debug, Serialize)]
pub struct EngineDump {
    /// The configuration version in force on this VM; `None` before the first.
    pub config: Option<ConfVersion>,
    /// Whether this process is leaving.
    pub leaving: bool,
    /// The groups known.
    pub groups: Vec<GroupDump>,
    /// The backend servers known, by name.
    pub servers: Vec<gs_route::ServerDump>,
    /// Lookups under suspicion or quarantine.
    pub suspects: Vec<SuspectDump>,
    /// Lookups in flight.
    pub lookups: usize,
    /// The oldest lookups in flight, at most [`DUMPED_LOOKUPS_MAX`].
    pub oldest: Vec<LookupDump>,
    /// Parts queued in the engine for a free connection.
    pub waiting: usize,
    /// Attempts of ended or restarted lookups whose end the I/O driver (shell) has not reported.
    pub orphans: usize,
    /// Extra attempts that the budget allows now.
    pub extra_left: f64,
    /// The admission policy's state.
    pub admission: gs_limit::AdmissionDump,
    /// The name of the replica selection policy.
    pub replica_policy: &'static str,
    /// Running totals.
    pub counters: Counters,
}

/// The maximum number of lookups listed in a dump.
pub const DUMPED_LOOKUPS_MAX: usize = 20;

/// The state of a group.
#[derive(Clone, Debug, Serialize)]
pub struct GroupDump {
    /// The group.
    pub group: GroupName,
    /// The revision of its shard map.
    pub revision: u64,
    /// The snapshot that a new lookup would pin.
    pub pinned: Option<SnapshotId>,
    /// The number of shards of that snapshot.
    pub shards: u32,
    /// The number of those shards with a ready replica.
    pub ready: u32,
    /// The delay after which a part from this data centre is hedged; `None` before enough samples
    /// were recorded.
    #[serde(with = "humantime_serde")]
    pub hedge_near_after: Option<Duration>,
    /// The hedging delay for a part from another data centre.
    #[serde(with = "humantime_serde")]
    pub hedge_far_after: Option<Duration>,
}

/// A fingerprint under suspicion or quarantine.
#[derive(Clone, Debug, Serialize)]
pub struct SuspectDump {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// The number of servers known to have crashed while they executed it.
    pub crashes: u32,
    /// How long it is refused from now; zero if only suspected.
    #[serde(with = "humantime_serde")]
    pub rest: Duration,
}

/// A lookup in flight.
#[derive(Clone, Debug, Serialize)]
pub struct LookupDump {
    /// The lookup's number.
    pub seq: LookupSeq,
    /// Its fingerprint.
    pub fingerprint: Fingerprint,
    /// The time since its arrival.
    #[serde(with = "humantime_serde")]
    pub age: Duration,
    /// The snapshot it is pinned to.
    pub snapshot: SnapshotId,
    /// The number of shards that it queries.
    pub shards: u32,
    /// The number of shards whose part has arrived.
    pub whole: u32,
}

impl Engine {
    /// Returns the engine's state for operators.
    #[must_use]
    pub fn dump(&self, now: Instant) -> EngineDump {
        let groups = self.dump_groups();
        let state = &self.state;
        EngineDump {
            config: state.config_version,
            leaving: state.is_leaving,
            groups,
            servers: state.servers.by_name().map(|(_, v)| v.dump()).collect(),
            suspects: state.crash_suspects.dump(now),
            lookups: self.lookups.len(),
            oldest: self
                .lookups
                .values()
                .take(DUMPED_LOOKUPS_MAX)
                .map(|lk| dump_lookup(now, lk))
                .collect(),
            waiting: state.wait_queues.total_waiting(),
            orphans: state.orphans.len(),
            extra_left: state.extra_budget.available(),
            admission: state.admission_policy.dump(now),
            replica_policy: state.replica_policy.name(),
            counters: state.counters.clone(),
        }
    }

    fn dump_groups(&self) -> Vec<GroupDump> {
        let state = &self.state;
        let servers = &state.servers;
        let mut dumps = Vec::new();
        for group in &state.groups {
            let pin = group.view.best_snapshot(servers);
            dumps.push(GroupDump {
                group: group.name.clone(),
                revision: group.view.revision(),
                pinned: pin.as_ref().map(|p| p.snapshot.id),
                shards: pin.as_ref().map_or(0, |p| p.snapshot.shards.len() as u32),
                ready: pin.as_ref().map_or(0, |p| p.ready),
                hedge_near_after: group.hedge_policy.delay(Distance::SameDataCentre),
                hedge_far_after: group.hedge_policy.delay(Distance::OtherDataCentre),
            });
        }
        dumps
    }
}

fn dump_lookup(now: Instant, lk: &ActiveLookup) -> LookupDump {
    LookupDump {
        seq: lk.seq,
        fingerprint: lk.fingerprint,
        age: now.saturating_duration_since(lk.arrived_at),
        snapshot: lk.snapshot.id,
        shards: lk.shards.len() as u32,
        whole: lk.complete_parts,
    }
}
