//! The border to where routes are declared and servers registered.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use gs_relay::PeerVm;
use gs_relay::RouteTable;
use gs_relay::ServerEntry;
use gs_types::prelude::*;

/// What a directory lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum DirectoryKind {
    /// The routes, as one object.
    Routes,
    /// The backend servers, an object each.
    Servers,
}

/// A state of the directory; a larger one is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What an object says.
#[derive(Clone, Debug)]
pub enum ItemContent {
    /// A version of the routes.
    Routes(Arc<RouteTable>),
    /// A backend server.
    Server(Arc<ServerEntry>),
    /// It cannot be read; it names nothing to use.
    Unreadable(Error),
    /// It is gone.
    Removed,
}

/// An object of the directory.
#[derive(Clone, Debug)]
pub struct Item {
    /// Its name within its kind.
    pub name: String,
    /// What it says.
    pub content: ItemContent,
}

/// Everything of a kind.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The state to watch from.
    pub at: Revision,
    /// The objects.
    pub items: Vec<Item>,
}

/// Who told of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Origin {
    /// The platform, for which each answer is a call that is paid for.
    #[default]
    Platform,
    /// Another VM.
    Peer,
}

/// What changed since a revision.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The state to watch on from.
    pub at: Revision,
    /// What changed, in order; empty if nothing did in the time given.
    pub items: Vec<Item>,
    /// Who told.
    pub origin: Origin,
}

/// Tells one renewal of an announcement from the one before, over restarts too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal(pub u64);

/// The announcement of a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct VmAnnouncement {
    /// The VM.
    pub vm: PeerVm,
    /// The state in which it was renewed last.
    pub at: Revision,
}

/// The VMs that are announced.
#[derive(Clone, Debug, Default)]
pub struct VmListing {
    /// The state in which they were listed.
    pub at: Revision,
    /// The announcements.
    pub vms: Vec<VmAnnouncement>,
}

/// Where routes are declared and servers registered.
#[async_trait]
pub trait Directory: Send + Sync + 'static {
    /// Lists everything of a kind, as of now.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if it cannot be reached, [`ErrorKind::TooMuch`] over a rate.
    async fn list(&self, kind: DirectoryKind) -> Result<Listing>;

    /// Waits until something of a kind changed after a revision, or until `wait` is over.
    ///
    /// # Errors
    ///
    /// As for [`Directory::list`], and [`ErrorKind::NotFound`] if the revision is forgotten: list again.
    async fn watch(&self, kind: DirectoryKind, after: Revision, wait: Duration) -> Result<Changes>;

    /// Announces a VM of ours to the others, in place of what an earlier process of it said.
    ///
    /// # Errors
    ///
    /// As for [`Directory::list`]; it may have been done all the same, and may be done again.
    async fn announce(&self, vm: &PeerVm, renewal: Renewal) -> Result<()>;

    /// Says that a VM that is announced still lives.
    ///
    /// # Errors
    ///
    /// As for [`Directory::announce`], also if it is not announced.
    async fn renew(&self, vm: &PeerVm, renewal: Renewal) -> Result<()>;

    /// The requests that any VM found to crash servers; the list may be seconds old. There are few or none,
    /// so that it also serves as a sign that the directory is in reach.
    ///
    /// # Errors
    ///
    /// As for [`Directory::list`].
    async fn quarantined(&self) -> Result<Vec<Fingerprint>>;

    /// Tells every VM that a request crashes servers.
    ///
    /// # Errors
    ///
    /// As for [`Directory::announce`].
    async fn quarantine(&self, request: Fingerprint) -> Result<()>;

    /// Takes that back.
    ///
    /// # Errors
    ///
    /// As for [`Directory::announce`].
    async fn release(&self, request: Fingerprint) -> Result<()>;

    /// Takes the announcement of a VM that leaves back.
    ///
    /// # Errors
    ///
    /// As for [`Directory::announce`].
    async fn withdraw(&self, vm: &VmId) -> Result<()>;

    /// The VMs announced; the list may be seconds old. `None` if whoever is asked knows of none as new as what
    /// is known already.
    ///
    /// # Errors
    ///
    /// As for [`Directory::list`].
    async fn vms(&self) -> Result<Option<VmListing>>;

    /// Removes the announcement of a VM that is gone, unless it has been renewed since this revision.
    ///
    /// # Errors
    ///
    /// As for [`Directory::announce`].
    async fn remove_vm(&self, vm: &VmId, unless_after: Revision) -> Result<()>;
}
