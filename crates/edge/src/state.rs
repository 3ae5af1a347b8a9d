//! What the parts of a process share besides events.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use gs_actor::lock;
use gs_relay::CallerLimits;
use gs_relay::RouteTable;

/// What the parts of a process share besides events.
#[derive(Debug, Default)]
pub(crate) struct State {
    table: Mutex<Option<Arc<RouteTable>>>,
    has_servers: AtomicBool,
    is_leaving: AtomicBool,
}

impl State {
    /// Takes a version of the routes; `false` if it is not newer than the one in force.
    pub(crate) fn take_table(&self, table: &Arc<RouteTable>) -> bool {
        let mut held = lock(&self.table);
        let is_newer = held.as_ref().is_none_or(|t| t.version() < table.version());
        if is_newer {
            *held = Some(Arc::clone(table));
        }
        is_newer
    }

    /// What a caller may send, by the routes in force.
    pub(crate) fn limits(&self) -> Option<CallerLimits> {
        lock(&self.table).as_ref().map(|t| t.limits().clone())
    }

    /// The servers were listed once.
    pub(crate) fn set_has_servers(&self) {
        self.has_servers.store(true, Ordering::Relaxed);
    }

    /// The process has been told to leave.
    pub(crate) fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Whether new callers are welcome: routes and servers are known and the process stays.
    pub(crate) fn is_ready(&self) -> bool {
        let is_leaving = self.is_leaving.load(Ordering::Relaxed);
        let has_servers = self.has_servers.load(Ordering::Relaxed);
        !is_leaving && has_servers && lock(&self.table).is_some()
    }
}
