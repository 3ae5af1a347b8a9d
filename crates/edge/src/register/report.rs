//! What a register tells operators.

use std::sync::atomic::Ordering;

use gs_follow::RegisterSource;
use gs_types::prelude::*;
use serde::Serialize;

use crate::directory::DirectoryKind;
use crate::register::Register;

/// From whom the register is known, and how far, for dumps.
#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct RegisterDump {
    /// The VM that is followed, if any.
    follows: Option<VmId>,
    /// Whether this VM asks the platform and is answered.
    is_in_touch: bool,
    routes_at: u64,
    servers_at: u64,
}

/// What a register has asked, for metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RegisterCounts {
    /// Calls to the platform.
    pub(crate) calls: u64,
    /// Questions to peers.
    pub(crate) questions: u64,
    /// Whether this VM asks the platform itself.
    pub(crate) asks: bool,
}

impl Register {
    pub(crate) fn dump(&self) -> RegisterDump {
        let follows = match &*self.source.borrow() {
            RegisterSource::Peer(vm) => Some(vm.name.clone()),
            RegisterSource::Undecided | RegisterSource::Register => None,
        };
        RegisterDump {
            follows,
            is_in_touch: self.is_in_touch.load(Ordering::Relaxed),
            routes_at: self.book.at(DirectoryKind::Routes),
            servers_at: self.book.at(DirectoryKind::Servers),
        }
    }

    pub(crate) fn counts(&self) -> RegisterCounts {
        RegisterCounts {
            calls: self.calls.load(Ordering::Relaxed),
            questions: self.questions.load(Ordering::Relaxed),
            asks: *self.source.borrow() == RegisterSource::Register,
        }
    }
}
