//! What this VM knows of the register, as it tells others.

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

/// What this VM knows of the register.
#[derive(Default)]
pub(crate) struct Book {
    routes: Page,
    servers: Page,
    vms: Mutex<Option<VmListing>>,
    /// The state in which VMs were listed last.
    vms_at: AtomicU64,
    quarantined: Mutex<Vec<Fingerprint>>,
}

/// Objects up to a revision: all of a kind, or those that changed.
pub(crate) struct Objects {
    pub(crate) at: u64,
    pub(crate) items: Vec<Named>,
}

/// The objects of a kind, and the revisions up to which they are known as they become so.
struct Page {
    mirror: Mutex<Mirror<Object>>,
    at: watch::Sender<u64>,
}

impl Default for Page {
    fn default() -> Self {
        Self {
            mirror: Mutex::default(),
            at: watch::channel(0).0,
        }
    }
}

impl Book {
    fn page(&self, kind: DirectoryKind) -> &Page {
        match kind {
            DirectoryKind::Routes => &self.routes,
            DirectoryKind::Servers => &self.servers,
        }
    }

    /// The revision up to which a kind is known.
    pub(crate) fn at(&self, kind: DirectoryKind) -> u64 {
        *self.page(kind).at.borrow()
    }

    /// Tells of each new revision of a kind.
    pub(crate) fn changes(&self, kind: DirectoryKind) -> watch::Receiver<u64> {
        self.page(kind).at.subscribe()
    }

    /// Takes in everything of a kind.
    pub(crate) fn note_list(&self, kind: DirectoryKind, listing: &Listing) {
        let objects = listing.items.iter();
        let objects = objects.filter_map(|i| Some((i.name.clone(), Object::of(&i.content)?)));
        let mut mirror = lock(&self.page(kind).mirror);
        mirror.apply_list(listing.at.0, objects.collect());
        self.page(kind).at.send_replace(mirror.revision());
    }

    /// Takes in what changed of a kind.
    pub(crate) fn note_changes(&self, kind: DirectoryKind, changes: &Changes) {
        let objects = changes.items.iter();
        let objects = objects.map(|i| (i.name.clone(), Object::of(&i.content)));
        let mut mirror = lock(&self.page(kind).mirror);
        mirror.apply_changes(changes.at.0, objects.collect());
        self.page(kind).at.send_replace(mirror.revision());
    }

    /// Everything of a kind; `None` before it was listed.
    pub(crate) fn all(&self, kind: DirectoryKind) -> Option<Objects> {
        let mirror = lock(&self.page(kind).mirror);
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

    /// What changed of a kind after a revision; `None` if that is forgotten.
    pub(crate) fn since(&self, kind: DirectoryKind, after: u64) -> Option<Objects> {
        let mirror = lock(&self.page(kind).mirror);
        let changed = mirror.changes_since(after)?;
        let items = changed.into_iter();
        Some(Objects {
            at: mirror.revision().max(after),
            items: items.map(|(name, object)| Named { name, object }).collect(),
        })
    }

    /// Takes in a list of the VMs; `false` and nothing taken in if a later one is known.
    pub(crate) fn note_vms(&self, listing: &VmListing) -> bool {
        let is_later = self.vms_at.fetch_max(listing.at.0, Ordering::Relaxed) <= listing.at.0;
        if is_later {
            *lock(&self.vms) = Some(listing.clone());
        }
        is_later
    }

    /// Tells of the VMs no more: what is known of them is as old as an outage.
    pub(crate) fn withhold_vms(&self) {
        *lock(&self.vms) = None;
    }

    /// The VMs as they were listed last; `None` before that and in an outage.
    pub(crate) fn vms(&self) -> Option<VmListing> {
        lock(&self.vms).clone()
    }

    pub(crate) fn note_quarantined(&self, requests: &[Fingerprint]) {
        *lock(&self.quarantined) = requests.to_vec();
    }

    pub(crate) fn quarantined(&self) -> Vec<Fingerprint> {
        lock(&self.quarantined).clone()
    }
}
