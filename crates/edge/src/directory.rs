//! The interface to the directory where routes are declared and servers registered.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use gs_relay::PeerVm;
use gs_relay::RouteTable;
use gs_relay::ServerEntry;
use gs_relay::Verdict;
use gs_types::prelude::*;
use tokio::sync::watch;

/// A kind of objects in a directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum DirectoryKind {
    /// The routes, as one object.
    Routes,
    /// The backend servers, an object each.
    Servers,
}

/// The content of an object.
#[derive(Clone, Debug)]
pub enum ItemContent {
    /// A version of the routes.
    Routes(Arc<RouteTable>),
    /// A backend server.
    Server(Arc<ServerEntry>),
    /// Content that cannot be read, which the directory has logged.
    Unreadable(Error),
    /// No content: the object was removed.
    Removed,
}

/// An object of the directory.
#[derive(Clone, Debug)]
pub struct Item {
    /// Its name within its kind.
    pub name: String,
    /// Its content.
    pub content: ItemContent,
}

/// Where a list or changes were learned from, and how current that source was.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Origin {
    /// The VM that told them; `None` for the platform, each of whose answers is a call that is paid for.
    pub peer: Option<VmId>,
    /// How long before it told them the platform had last answered the source.
    pub contact_age: Duration,
    /// How long the platform had been answering without an outage, as the source knows; zero if it knows nothing.
    pub stable_for: Duration,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let source = self.peer.as_ref().map_or("register", VmId::as_str);
        let heard_ms = self.contact_age.as_millis();
        let stable_ms = self.stable_for.as_millis();
        write!(
            f,
            "source={source} heard_ms={heard_ms} stable_ms={stable_ms}"
        )
    }
}

/// All objects of a kind.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The revision to watch from.
    pub at: Revision,
    /// The objects.
    pub items: Vec<Item>,
    /// Where they were learned from.
    pub origin: Origin,
}

/// What changed since a revision.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The revision to continue the watch from.
    pub at: Revision,
    /// The changed objects, in order; empty if nothing changed in the given time.
    pub items: Vec<Item>,
    /// Where they were learned from.
    pub origin: Origin,
}

/// Distinguishes a renewal of an announcement from earlier ones, across restarts too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal(pub u64);

/// The announcement of a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct VmAnnouncement {
    /// The VM.
    pub vm: PeerVm,
    /// The revision of its last renewal.
    pub at: Revision,
}

/// The VMs that are announced.
#[derive(Clone, Debug, Default)]
pub struct VmListing {
    /// The revision at which they were listed.
    pub at: Revision,
    /// The announcements.
    pub vms: Vec<VmAnnouncement>,
}

/// The directory where routes are declared and servers registered.
#[async_trait]
pub trait Directory: Send + Sync + 'static {
    /// Returns a receiver of the latest era that an answer named; `None` before the first answer.
    ///
    /// All answers name it, refusals too, so a restore is noticed by the next call of any kind.
    fn eras(&self) -> watch::Receiver<Option<StoreEra>>;

    /// Makes the calls that follow over new connections; calls in flight keep theirs.
    ///
    /// For connections that went silent, which only an unanswered call shows.
    fn reconnect(&self);

    /// Lists all present objects of a kind.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if it cannot be reached, [`ErrorKind::TooMuch`] if a rate limit is exceeded.
    async fn list(&self, kind: DirectoryKind) -> Result<Listing>;

    /// Waits until objects of a kind change after a revision, or until `wait` is over.
    ///
    /// # Errors
    ///
    /// As for [`Directory::list`], and [`ErrorKind::NotFound`] if changes after the revision are no longer
    /// available and a new list is needed.
    async fn watch(&self, kind: DirectoryKind, after: Revision, wait: Duration) -> Result<Changes>;

    /// Announces a VM to the others, replacing the announcement of an earlier incarnation.
    ///
    /// # Errors
    ///
    /// As for [`Directory::list`]; the announcement may have been written all the same, and the call may be repeated.
    async fn announce(&self, vm: &PeerVm, renewal: Renewal) -> Result<()>;

    /// Renews the announcement of a VM, which shows that it is live.
    ///
    /// # Errors
    ///
    /// As for [`Directory::announce`], also if it is not announced.
    async fn renew(&self, vm: &PeerVm, renewal: Renewal) -> Result<()>;

    /// Returns the verdicts on requests that crash servers; the list may be seconds old.
    ///
    /// There are few or none, so the call also serves as a check whether the directory is reachable.
    ///
    /// # Errors
    ///
    /// As for [`Directory::list`].
    async fn quarantined(&self) -> Result<Vec<Verdict>>;

    /// Lists a verdict for every VM, in place of an earlier one on the same request.
    ///
    /// # Errors
    ///
    /// As for [`Directory::announce`].
    async fn quarantine(&self, verdict: &Verdict) -> Result<()>;

    /// Removes the verdict on a request.
    ///
    /// # Errors
    ///
    /// As for [`Directory::announce`].
    async fn release(&self, request: Fingerprint) -> Result<()>;

    /// Withdraws the announcement of a VM that is shutting down.
    ///
    /// # Errors
    ///
    /// As for [`Directory::announce`].
    async fn withdraw(&self, vm: &VmId) -> Result<()>;

    /// Returns the VMs announced; the list may be seconds old.
    ///
    /// Returns `None` if the queried source has no list as recent as the one already known.
    ///
    /// # Errors
    ///
    /// As for [`Directory::list`].
    async fn vms(&self) -> Result<Option<VmListing>>;

    /// Removes the expired announcement of a VM, unless it has been renewed since the given revision.
    ///
    /// # Errors
    ///
    /// As for [`Directory::announce`].
    async fn remove_vm(&self, vm: &VmId, unless_after: Revision) -> Result<()>;
}
