//! The snapshots of a group, and which of them can be pinned.

use std::cmp::Reverse;
use std::sync::Arc;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::server::Holds;
use crate::servers::ServerIdx;
use crate::servers::Servers;

/// A snapshot's shards with the places of their replicas.
#[derive(Debug)]
pub struct Snapshot {
    /// Its number.
    pub id: SnapshotId,
    /// The replicas of each shard, by shard number.
    pub shards: Vec<SmallVec<[ServerIdx; 4]>>,
}

/// How well a snapshot is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// Some shards have no replica that may hold it.
    Incomplete,
    /// Every shard has a replica that may hold it, but some never said what they hold.
    Assumed,
    /// Every shard has a replica that says it holds it.
    Confirmed,
}

/// A snapshot that a lookup can be pinned to.
#[derive(Clone, Debug)]
pub struct Pin {
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
    /// How well it is held.
    pub readiness: Readiness,
    /// Shards with a replica that may hold it.
    pub ready: u32,
}

impl Pin {
    /// Shards without a replica that may hold it.
    #[must_use]
    pub fn missing(&self) -> u32 {
        // A group map is at most a megabyte, so the count of shards fits.
        (self.snapshot.shards.len() as u32).saturating_sub(self.ready)
    }

    /// Larger is better.
    fn rank(&self) -> (Readiness, Reverse<u32>) {
        (self.readiness, Reverse(self.missing()))
    }
}

/// A group as this VM sees it.
#[derive(Debug)]
pub struct GroupView {
    revision: u64,
    /// Newest first.
    snapshots: Vec<Arc<Snapshot>>,
    /// What [`GroupView::pin`] works from, and the count of changes at which it was true.
    pins: Vec<Pin>,
    pins_at: Option<u64>,
}

impl GroupView {
    /// Takes a group's map in.
    #[must_use]
    pub fn new(map: &GroupMap, servers: &mut Servers) -> Self {
        for decl in &map.servers {
            servers.declare(decl);
        }
        let mut snapshots: Vec<Arc<Snapshot>> = map
            .snapshots
            .iter()
            .filter_map(|s| compile(&map.group, s, servers))
            .map(Arc::new)
            .collect();
        snapshots.sort_by_key(|s| Reverse(s.id));
        Self {
            revision: map.revision,
            snapshots,
            pins: Vec::new(),
            pins_at: None,
        }
    }

    /// The revision of the map.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The best snapshot to pin, not older than `floor` and not `except`.
    ///
    /// The newest that every shard is known to be ready for; without one, the newest that every
    /// shard may be ready for; without one, that with the fewest shards missing, the newer of equals.
    pub fn pin(
        &mut self,
        servers: &Servers,
        floor: Option<SnapshotId>,
        except: Option<SnapshotId>,
    ) -> Option<Pin> {
        self.refresh(servers);
        choose(&self.pins, floor, except)
    }

    /// What [`GroupView::pin`] would choose for a lookup without a floor.
    #[must_use]
    pub fn peek(&self, servers: &Servers) -> Option<Pin> {
        choose(&self.assess_all(servers), None, None)
    }

    fn refresh(&mut self, servers: &Servers) {
        if self.pins_at == Some(servers.changes()) {
            return;
        }
        self.pins = self.assess_all(servers);
        self.pins_at = Some(servers.changes());
    }

    fn assess_all(&self, servers: &Servers) -> Vec<Pin> {
        self.snapshots.iter().map(|s| assess(s, servers)).collect()
    }
}

fn choose(pins: &[Pin], floor: Option<SnapshotId>, except: Option<SnapshotId>) -> Option<Pin> {
    let fits = |p: &&Pin| {
        let id = p.snapshot.id;
        floor.is_none_or(|f| id >= f) && except != Some(id)
    };
    let mut best: Option<&Pin> = None;
    for p in pins.iter().filter(fits) {
        if best.is_none_or(|b| p.rank() > b.rank()) {
            best = Some(p);
        }
        if p.readiness == Readiness::Confirmed {
            break;
        }
    }
    best.cloned()
}

fn assess(snapshot: &Arc<Snapshot>, servers: &Servers) -> Pin {
    let mut readiness = Readiness::Confirmed;
    let mut ready = 0;
    for replicas in &snapshot.shards {
        let shard = shard_readiness(replicas, snapshot.id, servers);
        ready += u32::from(shard != Readiness::Incomplete);
        readiness = readiness.min(shard);
    }
    Pin {
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
        match view.holds(id) {
            Holds::Yes => return Readiness::Confirmed,
            Holds::Unknown => best = Readiness::Assumed,
            Holds::No => {}
        }
    }
    best
}

/// Resolves the names of a snapshot's replicas; `None` if its shards are not numbered from 0
/// without gaps, as a keyed lookup could then ask the wrong one.
fn compile(group: &GroupName, map: &SnapshotMap, servers: &Servers) -> Option<Snapshot> {
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
