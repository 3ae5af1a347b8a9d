//! The snapshots of a deployment's groups and their shard maps.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use gs_types::prelude::*;

use super::shape::GroupShape;
use super::shape::Shape;
use crate::corpus::Corpus;
use crate::index::SnapshotIndex;
use crate::server::ServerSpec;
use crate::server::Servers;

/// The snapshots of one group and the revision of its map.
#[derive(Debug, Default)]
struct GroupSnapshots {
    revision: u64,
    shards: BTreeMap<SnapshotId, u32>,
}

/// The snapshots of every group with their numbers of shards.
#[derive(Debug)]
pub struct Snapshots {
    shape: Shape,
    specs: Vec<ServerSpec>,
    corpus: Arc<Corpus>,
    groups: Mutex<BTreeMap<String, GroupSnapshots>>,
}

impl Snapshots {
    /// Creates it without snapshots.
    #[must_use]
    pub fn new(shape: Shape, specs: Vec<ServerSpec>, corpus: Arc<Corpus>) -> Self {
        Self {
            shape,
            specs,
            corpus,
            groups: Mutex::default(),
        }
    }

    /// Publishes a snapshot with the given number of shards: the group's servers hold it from now on.
    ///
    /// The caller must then write the group's map to the platform.
    ///
    /// # Errors
    ///
    /// If the name does not fit the rules for names.
    pub fn publish(
        &self,
        servers: &Servers,
        group: &str,
        snapshot: SnapshotId,
        shards: u32,
    ) -> Result<()> {
        let index = SnapshotIndex::build(&self.corpus, snapshot, shards);
        servers.publish(&group.parse()?, index);
        let mut groups = self.lock();
        let g = groups.entry(group.to_owned()).or_default();
        g.shards.insert(snapshot, shards);
        g.revision += 1;
        Ok(())
    }

    /// Removes a snapshot from the group's map; servers hold it until they receive `Command::Forget`.
    pub fn retire(&self, group: &str, snapshot: SnapshotId) {
        if let Some(g) = self.lock().get_mut(group) {
            g.shards.remove(&snapshot);
            g.revision += 1;
        }
    }

    /// Returns the number of shards of a snapshot, or 0 if it was never published or is retired.
    #[must_use]
    pub fn shards(&self, group: &str, snapshot: SnapshotId) -> u32 {
        let groups = self.lock();
        let shards = groups.get(group).and_then(|g| g.shards.get(&snapshot));
        shards.copied().unwrap_or(0)
    }

    /// Returns the current content of the object `groups/{group}`.
    ///
    /// # Errors
    ///
    /// If a name does not fit the rules for names.
    pub fn map(&self, servers: &Servers, group: &str) -> Result<GroupMap> {
        let shape = self.shape.group(group);
        let shape = shape.ok_or_else(|| Error::new(ErrorKind::NotFound, "no such group"))?;
        let (revision, shards) = {
            let groups = self.lock();
            let g = groups.get(group);
            g.map_or((0, BTreeMap::new()), |g| (g.revision, g.shards.clone()))
        };
        let specs = self.specs.iter().filter(|s| s.group.as_str() == group);
        let decls: Result<Vec<_>> = specs
            .clone()
            .map(|s| self.server_decl(servers, s))
            .collect();
        let maps = shards.iter().map(|(id, n)| {
            let specs: Vec<&ServerSpec> = specs.clone().collect();
            Arc::new(snapshot_map(shape, &specs, *id, *n))
        });
        Ok(GroupMap {
            group: group.parse()?,
            revision,
            servers: decls?,
            snapshots: maps.collect(),
        })
    }

    fn server_decl(&self, servers: &Servers, s: &ServerSpec) -> Result<Arc<ServerDecl>> {
        let addr = servers.addr(&s.name);
        let addr = addr.ok_or_else(|| Error::new(ErrorKind::NotFound, "no such server"))?;
        Ok(Arc::new(ServerDecl {
            name: s.name.clone(),
            service: s.service.clone(),
            addr,
            data_centre: self.shape.data_centre(s.site).parse()?,
            slots: Slots(s.slots),
            connections: Connections(s.connections),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, GroupSnapshots>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Maps shard `n` to the servers of service `n` modulo the number of services.
fn snapshot_map(
    shape: &GroupShape,
    specs: &[&ServerSpec],
    id: SnapshotId,
    shards: u32,
) -> SnapshotMap {
    let shard = |n: u32| ShardMap {
        shard: ShardId(n),
        servers: specs
            .iter()
            .filter(|s| s.service_index == n % shape.services)
            .map(|s| s.name.clone())
            .collect(),
    };
    SnapshotMap {
        id,
        shards: (0..shards).map(shard).collect(),
    }
}
