//! The state of the register for dumps and metrics.

use std::sync::atomic::Ordering;

use gs_follow::RegisterSource;
use gs_types::prelude::*;
use serde::Serialize;

use crate::directory::DirectoryKind;
use crate::register::Register;

/// The source of the register's contents and the revisions known, for dumps.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct RegisterDump {
    /// The peer that is followed, if any.
    follows: Option<VmId>,
    /// Whether the platform answered this VM's last call.
    is_in_touch: bool,
    routes_at: Revision,
    servers_at: Revision,
}

/// Counts of the register's calls and queries, for metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RegisterCounts {
    /// The number of calls to the platform.
    pub(crate) platform_calls: u64,
    /// The number of queries to peers.
    pub(crate) peer_queries: u64,
    /// Whether this VM queries the platform directly.
    pub(crate) queries_platform: bool,
}

impl Register {
    pub(crate) fn dump(&self) -> RegisterDump {
        let follows = match &*self.source.borrow() {
            RegisterSource::Peer(vm) => Some(vm.name.clone()),
            RegisterSource::Undecided | RegisterSource::Register => None,
        };
        RegisterDump {
            follows,
            is_in_touch: self.is_platform_reachable.load(Ordering::Relaxed),
            routes_at: self.cache.revision(DirectoryKind::Routes),
            servers_at: self.cache.revision(DirectoryKind::Servers),
        }
    }

    pub(crate) fn counts(&self) -> RegisterCounts {
        RegisterCounts {
            platform_calls: self.platform_calls.load(Ordering::Relaxed),
            peer_queries: self.peer_queries.load(Ordering::Relaxed),
            queries_platform: *self.source.borrow() == RegisterSource::Register,
        }
    }
}
