//! State that the components of a process share besides events.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use gs_actor::lock;
use gs_member::MembershipView;
use gs_types::prelude::*;

/// State that one component of the process writes and others read.
#[derive(Default)]
pub(crate) struct SharedState {
    groups: Mutex<BTreeMap<GroupName, Arc<GroupMap>>>,
    /// The paths of shard maps whose objects were read; the platform's listing bounds their number.
    groups_read: Mutex<BTreeSet<String>>,
    servers: Mutex<BTreeMap<ServerName, Arc<ServerDecl>>>,
    view: Mutex<Option<Arc<MembershipView>>>,
    has_loaded_groups: AtomicBool,
    has_received_shares: AtomicBool,
    is_leaving: AtomicBool,
}

/// Everything that the known shard maps declare.
pub(crate) struct Declarations<'a> {
    pub(crate) groups: &'a BTreeMap<GroupName, Arc<GroupMap>>,
    pub(crate) servers: &'a BTreeMap<ServerName, Arc<ServerDecl>>,
}

impl SharedState {
    /// Applies a shard map unless this revision or a newer one is known; calls `on_applied` if it did.
    ///
    /// Maps arrive from the platform and from peers in separate tasks. If an older list of servers
    /// were passed on after a newer one, this VM would have no connections to the servers that only
    /// the newer one contains. `on_applied` is therefore called before another map can be applied, so
    /// that the last call always has the newest state. It must not call this object.
    pub(crate) fn apply_group(
        &self,
        map: &Arc<GroupMap>,
        on_applied: impl FnOnce(Declarations<'_>),
    ) {
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
        on_applied(Declarations {
            groups: &groups,
            servers: &servers,
        });
    }

    /// Records that the object of a shard map was read, whether or not it contained a valid map.
    pub(crate) fn set_group_read(&self, path: &str) {
        lock(&self.groups_read).insert(path.to_owned());
    }

    /// Returns whether [`Self::set_group_read`] was called for this path.
    pub(crate) fn is_group_read(&self, path: &str) -> bool {
        lock(&self.groups_read).contains(path)
    }

    /// Returns whether the shard map of a group is known.
    pub(crate) fn has_group(&self, name: &str) -> bool {
        lock(&self.groups).keys().any(|g| g.as_str() == name)
    }

    /// Returns all known shard maps.
    pub(crate) fn groups(&self) -> Vec<Arc<GroupMap>> {
        lock(&self.groups).values().cloned().collect()
    }

    /// Returns all declared backend servers.
    pub(crate) fn servers(&self) -> Vec<Arc<ServerDecl>> {
        lock(&self.servers).values().cloned().collect()
    }

    /// Returns the declaration of a backend server.
    pub(crate) fn server(&self, name: &ServerName) -> Option<Arc<ServerDecl>> {
        lock(&self.servers).get(name).cloned()
    }

    /// Sets the current view of the VMs.
    pub(crate) fn set_view(&self, view: Arc<MembershipView>) {
        *lock(&self.view) = Some(view);
    }

    /// Returns the current view of the VMs; `None` before the first.
    pub(crate) fn view(&self) -> Option<Arc<MembershipView>> {
        lock(&self.view).clone()
    }

    /// Records that the shard maps listed by the platform, or known to peers, were loaded.
    pub(crate) fn set_groups_loaded(&self) {
        self.has_loaded_groups.store(true, Ordering::Relaxed);
    }

    /// Returns whether [`Self::set_groups_loaded`] was called.
    pub(crate) fn has_loaded_groups(&self) -> bool {
        self.has_loaded_groups.load(Ordering::Relaxed)
    }

    /// Records that this VM received a share of the connections to backend servers.
    pub(crate) fn set_shares_received(&self) {
        self.has_received_shares.store(true, Ordering::Relaxed);
    }

    /// Returns whether [`Self::set_shares_received`] was called.
    pub(crate) fn has_received_shares(&self) -> bool {
        self.has_received_shares.load(Ordering::Relaxed)
    }

    /// Records that the process is leaving.
    pub(crate) fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }
}
