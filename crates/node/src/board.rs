//! What the parts of a process share besides events.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use gs_member::View;
use gs_types::prelude::*;

/// Facts that one part of the process settles and others read.
#[derive(Default)]
pub(crate) struct Board {
    groups: Mutex<BTreeMap<GroupName, Arc<GroupMap>>>,
    servers: Mutex<BTreeMap<ServerName, Arc<ServerDecl>>>,
    view: Mutex<Option<Arc<View>>>,
    groups_loaded: AtomicBool,
    shares_given: AtomicBool,
    leaving: AtomicBool,
}

impl Board {
    /// Takes a shard map unless a newer one is held; says whether it was taken.
    pub(crate) fn set_group(&self, map: &Arc<GroupMap>) -> bool {
        let mut groups = lock(&self.groups);
        let newer = groups
            .get(&map.group)
            .is_none_or(|old| old.revision < map.revision);
        if newer {
            groups.insert(map.group.clone(), Arc::clone(map));
            *lock(&self.servers) = groups
                .values()
                .flat_map(|g| &g.servers)
                .map(|s| (s.name.clone(), Arc::clone(s)))
                .collect();
        }
        newer
    }

    /// Every shard map held.
    pub(crate) fn groups(&self) -> Vec<Arc<GroupMap>> {
        lock(&self.groups).values().cloned().collect()
    }

    /// Every backend server declared.
    pub(crate) fn servers(&self) -> Vec<Arc<ServerDecl>> {
        lock(&self.servers).values().cloned().collect()
    }

    /// A backend server by name.
    pub(crate) fn server(&self, name: &ServerName) -> Option<Arc<ServerDecl>> {
        lock(&self.servers).get(name).cloned()
    }

    pub(crate) fn set_view(&self, view: Arc<View>) {
        *lock(&self.view) = Some(view);
    }

    /// The newest view of the VMs.
    pub(crate) fn view(&self) -> Option<Arc<View>> {
        lock(&self.view).clone()
    }

    /// Every shard map that the platform lists, or that a peer holds, has been read once.
    pub(crate) fn set_groups_loaded(&self) {
        self.groups_loaded.store(true, Ordering::Relaxed);
    }

    pub(crate) fn groups_loaded(&self) -> bool {
        self.groups_loaded.load(Ordering::Relaxed)
    }

    /// This VM has been given connections to backend servers.
    pub(crate) fn set_shares_given(&self) {
        self.shares_given.store(true, Ordering::Relaxed);
    }

    pub(crate) fn shares_given(&self) -> bool {
        self.shares_given.load(Ordering::Relaxed)
    }

    /// The process has been told to leave.
    pub(crate) fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    pub(crate) fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}

pub(crate) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
