//! Caches the register's contents that this VM serves to its followers.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use gs_actor::lock;
use gs_follow::Mirror;
use gs_types::prelude::*;
use tokio::sync::watch;

use crate::directory::Changes;
use crate::directory::DirectoryKind;
use crate::directory::Listing;
use crate::directory::VmListing;
use crate::register::wire::Named;
use crate::register::wire::Object;

/// The register's contents as this VM knows them.
#[derive(Default)]
pub(crate) struct RegisterCache {
    routes: KindCache,
    servers: KindCache,
    vms: Mutex<Option<VmListing>>,
    /// The revision of the latest list of VMs.
    vms_revision: AtomicU64,
    quarantined: Mutex<Vec<Fingerprint>>,
}

/// Objects of a kind as of a revision: all of them, or those that changed.
pub(crate) struct Objects {
    pub(crate) at: u64,
    pub(crate) items: Vec<Named>,
}

/// The objects of a kind, and the latest revision up to which they are known.
struct KindCache {
    mirror: Mutex<Mirror<Object>>,
    revision: watch::Sender<u64>,
}

impl Default for KindCache {
    fn default() -> Self {
        Self {
            mirror: Mutex::default(),
            revision: watch::channel(0).0,
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
    pub(crate) fn revision(&self, kind: DirectoryKind) -> u64 {
        *self.kind_cache(kind).revision.borrow()
    }

    /// Returns a receiver that is notified of each new revision of a kind.
    pub(crate) fn subscribe(&self, kind: DirectoryKind) -> watch::Receiver<u64> {
        self.kind_cache(kind).revision.subscribe()
    }

    /// Applies a list of all objects of a kind.
    pub(crate) fn apply_list(&self, kind: DirectoryKind, listing: &Listing) {
        let objects = listing.items.iter();
        let objects = objects.filter_map(|i| Some((i.name.clone(), Object::of(&i.content)?)));
        let mut mirror = lock(&self.kind_cache(kind).mirror);
        if !mirror.apply_list(listing.at.0, objects.collect()) {
            log_older(kind, "list", listing.at.0, mirror.revision());
        }
        self.kind_cache(kind)
            .revision
            .send_replace(mirror.revision());
    }

    /// Applies the changes of a kind.
    pub(crate) fn apply_changes(&self, kind: DirectoryKind, changes: &Changes) {
        let objects = changes.items.iter();
        let objects = objects.map(|i| (i.name.clone(), Object::of(&i.content)));
        let mut mirror = lock(&self.kind_cache(kind).mirror);
        if !mirror.apply_changes(changes.at.0, objects.collect()) {
            log_older(kind, "changes", changes.at.0, mirror.revision());
        }
        self.kind_cache(kind)
            .revision
            .send_replace(mirror.revision());
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
    pub(crate) fn changes_since(&self, kind: DirectoryKind, after: u64) -> Option<Objects> {
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
        let is_later = self.vms_revision.fetch_max(listing.at.0, Ordering::Relaxed) <= listing.at.0;
        if is_later {
            *lock(&self.vms) = Some(listing.clone());
        }
        is_later
    }

    /// Stops serving the list of VMs, as it is as old as the present outage.
    pub(crate) fn hide_vms(&self) {
        *lock(&self.vms) = None;
    }

    /// Returns the latest list of VMs; `None` before the first one and in an outage.
    pub(crate) fn vms(&self) -> Option<VmListing> {
        lock(&self.vms).clone()
    }

    pub(crate) fn set_quarantined(&self, requests: &[Fingerprint]) {
        *lock(&self.quarantined) = requests.to_vec();
    }

    pub(crate) fn quarantined(&self) -> Vec<Fingerprint> {
        lock(&self.quarantined).clone()
    }
}

/// Logs that a list or changes are older than what is known, so that followers do not receive them.
fn log_older(kind: DirectoryKind, what: &str, at: u64, known: u64) {
    log::warn!("event=register-older kind={kind} what={what} at={at} known={known}");
}
