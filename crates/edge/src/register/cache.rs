//! Caches the register's contents that this VM serves to its followers.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use gs_actor::lock;
use gs_follow::Mirror;
use gs_relay::RouteTable;
use gs_relay::Verdict;
use gs_types::prelude::*;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::directory::Changes;
use crate::directory::DirectoryKind;
use crate::directory::ItemContent;
use crate::directory::Listing;
use crate::directory::VmListing;
use crate::register::wire::Named;
use crate::register::wire::Object;

/// The register's contents as this VM knows them.
#[derive(Default)]
pub(crate) struct RegisterCache {
    routes: KindCache,
    servers: KindCache,
    /// The newest version of the routes; a restored store may list an older one for a while.
    newest_routes: Mutex<Option<Arc<RouteTable>>>,
    vms: Mutex<VmsCache>,
    verdicts: Mutex<Vec<Verdict>>,
}

/// Objects of a kind as of a revision: all of them, or those that changed.
pub(crate) struct Objects {
    pub(crate) at: Revision,
    pub(crate) items: Vec<Named>,
}

/// The list of VMs.
#[derive(Default)]
struct VmsCache {
    /// The latest list; `None` before the first one and in an outage.
    listing: Option<VmListing>,
    /// The revision of the latest list, which an outage does not reset.
    revision: Revision,
}

/// The objects of a kind, and the latest revision up to which they are known.
struct KindCache {
    mirror: Mutex<Mirror<Object>>,
    revision: watch::Sender<Revision>,
    /// When the latest changes arrived; `None` before the first.
    changed_at: Mutex<Option<Instant>>,
}

impl Default for KindCache {
    fn default() -> Self {
        Self {
            mirror: Mutex::default(),
            revision: watch::channel(Revision::default()).0,
            changed_at: Mutex::default(),
        }
    }
}

impl RegisterCache {
    fn kind_cache(&self, kind: DirectoryKind) -> &KindCache {
        match kind {
            DirectoryKind::Routes => &self.routes,
            DirectoryKind::Servers => &self.servers,
        }
    }

    /// Returns the revision up to which a kind is known.
    pub(crate) fn revision(&self, kind: DirectoryKind) -> Revision {
        *self.kind_cache(kind).revision.borrow()
    }

    /// Returns a receiver that is notified of each new revision of a kind.
    pub(crate) fn subscribe(&self, kind: DirectoryKind) -> watch::Receiver<Revision> {
        self.kind_cache(kind).revision.subscribe()
    }

    /// Applies a list of all objects of a kind.
    pub(crate) fn apply_list(&self, kind: DirectoryKind, listing: &Listing) {
        let objects = listing.items.iter();
        let objects = objects.filter_map(|i| Some((i.name.clone(), self.object(&i.content)?)));
        let mut mirror = lock(&self.kind_cache(kind).mirror);
        if !mirror.apply_list(listing.at, objects.collect()) {
            log_older(kind, "list", listing.at, mirror.revision());
        }
        self.kind_cache(kind)
            .revision
            .send_replace(mirror.revision());
    }

    /// Returns how long ago the latest changes of a kind arrived; `None` before the first.
    pub(crate) fn time_since_change(&self, kind: DirectoryKind) -> Option<Duration> {
        lock(&self.kind_cache(kind).changed_at).map(|at| at.elapsed())
    }

    /// Applies the changes of a kind.
    pub(crate) fn apply_changes(&self, kind: DirectoryKind, changes: &Changes) {
        if !changes.items.is_empty() {
            *lock(&self.kind_cache(kind).changed_at) = Some(Instant::now());
        }
        let objects = changes.items.iter();
        let objects = objects.map(|i| (i.name.clone(), self.object(&i.content)));
        let mut mirror = lock(&self.kind_cache(kind).mirror);
        if !mirror.apply_changes(changes.at, objects.collect()) {
            log_older(kind, "changes", changes.at, mirror.revision());
        }
        self.kind_cache(kind)
            .revision
            .send_replace(mirror.revision());
    }

    /// Returns the object with the given content, or a newer version of the routes if one is known; `None` if the
    /// content is unreadable or removed.
    fn object(&self, content: &ItemContent) -> Option<Object> {
        let object = Object::of(content)?;
        let Object::Routes(table) = &object else {
            return Some(object);
        };
        let mut newest = lock(&self.newest_routes);
        if newest
            .as_ref()
            .is_none_or(|n| n.version() < table.version())
        {
            *newest = Some(Arc::clone(table));
        }
        newest.clone().map(Object::Routes)
    }

    /// Returns all objects of a kind; `None` before they were listed.
    pub(crate) fn all(&self, kind: DirectoryKind) -> Option<Objects> {
        let mirror = lock(&self.kind_cache(kind).mirror);
        if !mirror.is_listed() {
            return None;
        }
        let items = mirror.live().map(|(name, object)| Named {
            name: name.clone(),
            object: Some(object.clone()),
        });
        Some(Objects {
            at: mirror.revision(),
            items: items.collect(),
        })
    }

    /// Returns the changes of a kind after a revision; `None` if some may have been forgotten.
    pub(crate) fn changes_since(&self, kind: DirectoryKind, after: Revision) -> Option<Objects> {
        let mirror = lock(&self.kind_cache(kind).mirror);
        let changed = mirror.changes_since(after)?;
        let items = changed.into_iter();
        Some(Objects {
            at: mirror.revision().max(after),
            items: items.map(|(name, object)| Named { name, object }).collect(),
        })
    }

    /// Applies a list of the VMs; returns `false` and applies nothing if a later one is known.
    pub(crate) fn apply_vms(&self, listing: &VmListing) -> bool {
        let mut vms = lock(&self.vms);
        if listing.at < vms.revision {
            return false;
        }
        vms.revision = listing.at;
        vms.listing = Some(listing.clone());
        true
    }

    /// Stops serving the list of VMs, as it is as old as the present outage.
    pub(crate) fn hide_vms(&self) {
        lock(&self.vms).listing = None;
    }

    /// Returns the latest list of VMs; `None` before the first one and in an outage.
    pub(crate) fn vms(&self) -> Option<VmListing> {
        lock(&self.vms).listing.clone()
    }

    pub(crate) fn set_verdicts(&self, verdicts: &[Verdict]) {
        *lock(&self.verdicts) = verdicts.to_vec();
    }

    pub(crate) fn verdicts(&self) -> Vec<Verdict> {
        lock(&self.verdicts).clone()
    }
}

/// Logs that a list or changes are older than what is known, so that followers do not receive them.
fn log_older(kind: DirectoryKind, what: &str, at: Revision, known: Revision) {
    log::warn!("event=register-older kind={kind} what={what} at={at} known={known}");
}
