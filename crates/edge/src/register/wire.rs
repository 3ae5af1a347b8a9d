//! What VMs tell each other of the register.

use std::sync::Arc;

use gs_relay::PeerVm;
use gs_relay::RouteTable;
use gs_relay::ServerEntry;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::directory::Item;
use crate::directory::ItemContent;
use crate::directory::Revision;
use crate::directory::VmAnnouncement;
use crate::directory::VmListing;

/// Where a peer is asked what the register says; the kind follows.
pub(crate) const REGISTER_PATH: &str = "/register/";
/// In place of a kind: the VMs that are announced.
pub(crate) const VMS: &str = "vms";
/// In place of a kind: whether the peer is in touch with the register.
pub(crate) const TOUCH: &str = "touch";

/// An object.
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
    /// What an item says; `None` if it names nothing to use.
    pub(crate) fn of(content: &ItemContent) -> Option<Self> {
        match content {
            ItemContent::Routes(table) => Some(Self::Routes(Arc::clone(table))),
            ItemContent::Server(entry) => Some(Self::Server(Arc::clone(entry))),
            ItemContent::Unreadable(_) | ItemContent::Removed => None,
        }
    }
}

/// An object by its name; without it, it is gone.
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

/// Objects up to a revision: all of a kind, or those that changed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Told {
    pub(crate) at: u64,
    pub(crate) items: Vec<Named>,
    /// How long ago, in ms, the register answered the peer.
    pub(crate) heard_ms: u64,
}

/// The answer to a question for everything of a kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ToldList {
    /// What the register says.
    All(Told),
    /// The peer asks the register, and has not been answered of late.
    NotYet,
}

/// Whether a peer is in touch with the register, and which requests crash servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Touch {
    pub(crate) is_in_touch: bool,
    /// How long ago, in ms, the register answered it.
    pub(crate) heard_ms: u64,
    pub(crate) quarantined: Vec<Fingerprint>,
}

/// The answer to a question for the VMs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ToldVms {
    /// As they were listed in this state of the register.
    Listed { at: u64, vms: Vec<ToldVm> },
    /// The peer asks the register, and has not been answered of late.
    NotYet,
}

impl From<ToldVms> for Option<VmListing> {
    fn from(told: ToldVms) -> Self {
        match told {
            ToldVms::Listed { at, vms } => Some(VmListing {
                at: Revision(at),
                vms: vms.into_iter().map(VmAnnouncement::from).collect(),
            }),
            ToldVms::NotYet => None,
        }
    }
}

impl From<VmListing> for ToldVms {
    fn from(l: VmListing) -> Self {
        Self::Listed {
            at: l.at.0,
            vms: l.vms.into_iter().map(ToldVm::from).collect(),
        }
    }
}

/// A VM that is announced.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct ToldVm {
    pub(crate) vm: PeerVm,
    pub(crate) at: u64,
}

impl From<ToldVm> for VmAnnouncement {
    fn from(t: ToldVm) -> Self {
        Self {
            vm: t.vm,
            at: Revision(t.at),
        }
    }
}

impl From<VmAnnouncement> for ToldVm {
    fn from(a: VmAnnouncement) -> Self {
        Self {
            vm: a.vm,
            at: a.at.0,
        }
    }
}
