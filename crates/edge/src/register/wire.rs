//! The format in which VMs exchange the register's contents.

use std::sync::Arc;
use std::time::Duration;

use gs_relay::PeerVm;
use gs_relay::RouteTable;
use gs_relay::ServerEntry;
use gs_relay::Verdict;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::directory::Item;
use crate::directory::ItemContent;
use crate::directory::Origin;
use crate::directory::VmAnnouncement;
use crate::directory::VmListing;

/// The path prefix of queries to a peer for the register's contents, followed by the kind.
pub(crate) const REGISTER_PATH: &str = "/register/";
/// Used in place of a kind in the path of a query for the announced VMs.
pub(crate) const VMS: &str = "vms";
/// Used in place of a kind in the path of a query whether the peer reaches the register.
pub(crate) const PLATFORM_STATUS: &str = "touch";

/// An object of the register.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Object {
    /// A version of the routes.
    Routes(Arc<RouteTable>),
    /// A backend server.
    Server(Arc<ServerEntry>),
}

impl PartialEq for Object {
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Routes(a), Self::Routes(b)) => a.version() == b.version(),
            (Self::Server(a), Self::Server(b)) => a == b,
            _ => false,
        }
    }
}

impl Object {
    /// Returns the object with the given content; `None` if that is unreadable or removed.
    pub(crate) fn of(content: &ItemContent) -> Option<Self> {
        match content {
            ItemContent::Routes(table) => Some(Self::Routes(Arc::clone(table))),
            ItemContent::Server(entry) => Some(Self::Server(Arc::clone(entry))),
            ItemContent::Unreadable(_) | ItemContent::Removed => None,
        }
    }
}

/// An object with its name; removed if `object` is `None`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Named {
    pub(crate) name: String,
    #[serde(default)]
    pub(crate) object: Option<Object>,
}

impl From<Named> for Item {
    fn from(n: Named) -> Self {
        let content = match n.object {
            None => ItemContent::Removed,
            Some(Object::Routes(table)) => ItemContent::Routes(table),
            Some(Object::Server(entry)) => ItemContent::Server(entry),
        };
        Self {
            name: n.name,
            content,
        }
    }
}

impl PeerObjects {
    /// Returns the revision up to which the peer knows the kind.
    pub(crate) fn revision(&self) -> Revision {
        Revision::new(self.era, self.at)
    }

    /// Returns the origin of the objects, which this peer told.
    pub(crate) fn origin(&self, vm: &PeerVm) -> Origin {
        Origin {
            peer: Some(vm.name.clone()),
            contact_age: Duration::from_millis(self.heard_ms),
            stable_for: Duration::from_millis(self.stable_ms),
        }
    }
}

/// Objects of a kind as of a revision: all of them, or those that changed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct PeerObjects {
    /// The era of `at`; 0 in answers of releases that know no eras.
    #[serde(default)]
    pub(crate) era: StoreEra,
    pub(crate) at: u64,
    pub(crate) items: Vec<Named>,
    /// The time since the register last answered the peer, in milliseconds.
    pub(crate) heard_ms: u64,
    /// How long the register has been answering without an outage, in milliseconds; 0 in answers of releases that do
    /// not track outages.
    #[serde(default)]
    pub(crate) stable_ms: u64,
}

/// The answer to a query for all objects of a kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum PeerListing {
    /// All objects of the kind.
    All(PeerObjects),
    /// The peer queries the register but has no recent answer from it.
    NotYet,
}

/// Whether a peer reaches the register, and which requests crash servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct PlatformStatus {
    pub(crate) is_in_touch: bool,
    /// The time since the register last answered it, in milliseconds.
    pub(crate) heard_ms: u64,
    /// The requests in quarantine, for releases that know no verdicts.
    pub(crate) quarantined: Vec<Fingerprint>,
    /// The verdicts; empty in answers of releases that know none.
    #[serde(default)]
    pub(crate) verdicts: Vec<Verdict>,
}

impl PlatformStatus {
    /// Returns the verdicts, also those of a release that knows only which requests are quarantined.
    pub(crate) fn into_verdicts(self) -> Vec<Verdict> {
        let mut verdicts = self.verdicts;
        for request in self.quarantined {
            if !verdicts.iter().any(|v| v.request == request) {
                verdicts.push(Verdict::first(request));
            }
        }
        verdicts
    }
}

/// The answer to a query for the VMs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum PeerVmListing {
    /// The VMs, as listed at this revision of the register.
    Listed {
        #[serde(default)]
        era: StoreEra,
        at: u64,
        vms: Vec<PeerVmEntry>,
    },
    /// The peer queries the register but has no recent answer from it.
    NotYet,
}

impl From<PeerVmListing> for Option<VmListing> {
    fn from(listing: PeerVmListing) -> Self {
        match listing {
            PeerVmListing::Listed { era, at, vms } => Some(VmListing {
                at: Revision::new(era, at),
                vms: vms.into_iter().map(VmAnnouncement::from).collect(),
            }),
            PeerVmListing::NotYet => None,
        }
    }
}

impl From<VmListing> for PeerVmListing {
    fn from(l: VmListing) -> Self {
        Self::Listed {
            era: l.at.era,
            at: l.at.number,
            vms: l.vms.into_iter().map(PeerVmEntry::from).collect(),
        }
    }
}

/// An announced VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct PeerVmEntry {
    pub(crate) vm: PeerVm,
    #[serde(default)]
    pub(crate) era: StoreEra,
    pub(crate) at: u64,
}

impl From<PeerVmEntry> for VmAnnouncement {
    fn from(t: PeerVmEntry) -> Self {
        Self {
            vm: t.vm,
            at: Revision::new(t.era, t.at),
        }
    }
}

impl From<VmAnnouncement> for PeerVmEntry {
    fn from(a: VmAnnouncement) -> Self {
        Self {
            vm: a.vm,
            era: a.at.era,
            at: a.at.number,
        }
    }
}
