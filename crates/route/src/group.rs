//! The snapshots of a group and the choice of the one that a lookup is pinned to.

use std::cmp::Reverse;
use std::sync::Arc;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::server::SnapshotHolding;
use crate::servers::ServerIdx;
use crate::servers::Servers;

/// The shards of a snapshot with their replicas.
#[derive(Debug)]
pub struct Snapshot {
    /// Its number.
    pub id: SnapshotId,
    /// The replicas of each shard, by shard number.
    pub shards: Vec<SmallVec<[ServerIdx; 4]>>,
}

/// Whether every shard of a snapshot has a replica that holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// Some shards have no replica that may hold it.
    Incomplete,
    /// Every shard has a replica that may hold it, but some never reported what they hold.
    Assumed,
    /// Every shard has a replica that reports that it holds it.
    Confirmed,
}

/// A snapshot that a lookup can be pinned to.
#[derive(Clone, Debug)]
pub struct PinnableSnapshot {
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
    /// Whether every shard has a replica that holds it.
    pub readiness: Readiness,
    /// The number of shards with a replica that may hold it.
    pub ready: u32,
}

impl PinnableSnapshot {
    /// Returns the number of shards without a replica that may hold it.
    #[must_use]
    pub fn missing(&self) -> u32 {
        // A group map is at most a megabyte, so the number of shards fits in a `u32`.
        (self.snapshot.shards.len() as u32).saturating_sub(self.ready)
    }

    /// Returns the order of preference; larger is better.
    fn rank(&self) -> (Readiness, Reverse<u32>) {
        (self.readiness, Reverse(self.missing()))
    }
}

/// The state of a group as seen by this VM.
#[derive(Debug)]
pub struct GroupView {
    revision: u64,
    /// Newest first.
    snapshots: Vec<Arc<Snapshot>>,
    /// The assessed snapshots that [`GroupView::pin`] chooses from.
    pinnable: Vec<PinnableSnapshot>,
    /// The value of [`Servers::snapshot_changes`] for which `pinnable` was computed.
    pinnable_computed_for: Option<u64>,
}

impl GroupView {
    /// Creates the view from a group's map and declares its servers.
    #[must_use]
    pub fn new(map: &GroupMap, servers: &mut Servers) -> Self {
        for decl in &map.servers {
            servers.declare(decl);
        }
        let mut snapshots: Vec<Arc<Snapshot>> = map
            .snapshots
            .iter()
            .filter_map(|s| resolve_snapshot(&map.group, s, servers))
            .map(Arc::new)
            .collect();
        snapshots.sort_by_key(|s| Reverse(s.id));
        Self {
            revision: map.revision,
            snapshots,
            pinnable: Vec::new(),
            pinnable_computed_for: None,
        }
    }

    /// Returns the revision of the map.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the best snapshot to pin that is not older than `snapshot_min` and not `except`.
    ///
    /// This is the newest that every shard is known to hold; otherwise the newest that every shard
    /// may hold; otherwise the one with the fewest missing shards, the newer of equals.
    pub fn pin(
        &mut self,
        servers: &Servers,
        snapshot_min: Option<SnapshotId>,
        except: Option<SnapshotId>,
    ) -> Option<PinnableSnapshot> {
        self.update_pinnable(servers);
        choose_snapshot(&self.pinnable, snapshot_min, except)
    }

    /// Returns what [`GroupView::pin`] would choose for a lookup without a minimum snapshot.
    #[must_use]
    pub fn best_snapshot(&self, servers: &Servers) -> Option<PinnableSnapshot> {
        choose_snapshot(&self.assess_snapshots(servers), None, None)
    }

    fn update_pinnable(&mut self, servers: &Servers) {
        if self.pinnable_computed_for == Some(servers.snapshot_changes()) {
            return;
        }
        self.pinnable = self.assess_snapshots(servers);
        self.pinnable_computed_for = Some(servers.snapshot_changes());
    }

    fn assess_snapshots(&self, servers: &Servers) -> Vec<PinnableSnapshot> {
        self.snapshots
            .iter()
            .map(|s| assess_snapshot(s, servers))
            .collect()
    }
}

fn choose_snapshot(
    pinnable: &[PinnableSnapshot],
    snapshot_min: Option<SnapshotId>,
    except: Option<SnapshotId>,
) -> Option<PinnableSnapshot> {
    let fits = |p: &&PinnableSnapshot| {
        let id = p.snapshot.id;
        snapshot_min.is_none_or(|min| id >= min) && except != Some(id)
    };
    let mut best: Option<&PinnableSnapshot> = None;
    for p in pinnable.iter().filter(fits) {
        if best.is_none_or(|b| p.rank() > b.rank()) {
            best = Some(p);
        }
        if p.readiness == Readiness::Confirmed {
            break;
        }
    }
    best.cloned()
}

fn assess_snapshot(snapshot: &Arc<Snapshot>, servers: &Servers) -> PinnableSnapshot {
    let mut readiness = Readiness::Confirmed;
    let mut ready = 0;
    for replicas in &snapshot.shards {
        let shard = shard_readiness(replicas, snapshot.id, servers);
        ready += u32::from(shard != Readiness::Incomplete);
        readiness = readiness.min(shard);
    }
    PinnableSnapshot {
        snapshot: Arc::clone(snapshot),
        readiness,
        ready,
    }
}

fn shard_readiness(replicas: &[ServerIdx], id: SnapshotId, servers: &Servers) -> Readiness {
    let mut best = Readiness::Incomplete;
    for idx in replicas {
        let view = servers.view(*idx);
        if view.is_draining() {
            continue;
        }
        match view.snapshot_holding(id) {
            SnapshotHolding::Yes => return Readiness::Confirmed,
            SnapshotHolding::Unknown => best = Readiness::Assumed,
            SnapshotHolding::No => {}
        }
    }
    best
}

/// Resolves the names of a snapshot's replicas; `None` if its shards are not numbered from 0
/// without gaps, because a keyed lookup could then query the wrong shard.
fn resolve_snapshot(group: &GroupName, map: &SnapshotMap, servers: &Servers) -> Option<Snapshot> {
    let mut shards = vec![None; map.shards.len()];
    for s in &map.shards {
        let replicas: SmallVec<[ServerIdx; 4]> =
            s.servers.iter().filter_map(|n| servers.find(n)).collect();
        if let Some(slot) = shards.get_mut(s.shard.0 as usize) {
            *slot = Some(replicas);
        }
    }
    let shards: Option<Vec<_>> = shards.into_iter().collect();
    let shards = shards.filter(|s| !s.is_empty());
    if shards.is_none() {
        log::warn!("event=bad-snapshot group={group} snapshot={}", map.id);
    }
    Some(Snapshot {
        id: map.id,
        shards: shards?,
    })
}
