//! What the parts of a process share besides events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use gs_actor::lock;
use gs_member::View;
use gs_types::prelude::*;

/// Facts that one part of the process settles and others read.
#[derive(Default)]
pub(crate) struct Board {
    groups: Mutex<BTreeMap<GroupName, Arc<GroupMap>>>,
    /// Paths of shard maps whose object was read, as many as the platform listed.
    groups_read: Mutex<BTreeSet<String>>,
    servers: Mutex<BTreeMap<ServerName, Arc<ServerDecl>>>,
    view: Mutex<Option<Arc<View>>>,
    groups_loaded: AtomicBool,
    shares_given: AtomicBool,
    leaving: AtomicBool,
}

/// Everything that the shard maps held declare.
pub(crate) struct Declared<'a> {
    pub(crate) groups: &'a BTreeMap<GroupName, Arc<GroupMap>>,
    pub(crate) servers: &'a BTreeMap<ServerName, Arc<ServerDecl>>,
}

impl Board {
    /// Takes a shard map unless this one or a newer one is held, and calls `tell` if it was taken.
    ///
    /// Guards against news overtaken by older news: maps come from the platform and from peers in
    /// tasks of their own, and one that told of fewer servers after the other had told of all would
    /// leave this VM without connections to the rest. `tell` is called before another map can be
    /// taken, so what is told last is the newest; it must not call this board.
    pub(crate) fn take_group(&self, map: &Arc<GroupMap>, tell: impl FnOnce(Declared<'_>)) {
        let mut groups = lock(&self.groups);
        let newer = groups
            .get(&map.group)
            .is_none_or(|old| old.revision < map.revision);
        if !newer {
            return;
        }
        groups.insert(map.group.clone(), Arc::clone(map));
        let mut servers = lock(&self.servers);
        *servers = groups
            .values()
            .flat_map(|g| &g.servers)
            .map(|s| (s.name.clone(), Arc::clone(s)))
            .collect();
        tell(Declared {
            groups: &groups,
            servers: &servers,
        });
    }

    /// The object of a shard map has been read, whether or not it held one.
    pub(crate) fn set_group_read(&self, path: &str) {
        lock(&self.groups_read).insert(path.to_owned());
    }

    /// Whether [`Self::set_group_read`] was called for this path.
    pub(crate) fn is_group_read(&self, path: &str) -> bool {
        lock(&self.groups_read).contains(path)
    }

    /// Whether a shard map is held.
    pub(crate) fn holds_group(&self, name: &str) -> bool {
        lock(&self.groups).keys().any(|g| g.as_str() == name)
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
