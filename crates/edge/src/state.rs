//! What the parts of a process share besides events.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_actor::lock;
use gs_http::Limits;
use gs_http::LiveLimits;
use gs_relay::CallerLimits;
use gs_relay::RouteTable;

/// What callers are held to before any routes name their bounds.
pub(crate) const FIRST_LIMITS: Limits = Limits {
    headers: 32 * 1024,
    header_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(60),
    connections: 2048,
};

/// What the parts of a process share besides events.
#[derive(Debug, Default)]
pub(crate) struct State {
    table: Mutex<Option<Arc<RouteTable>>>,
    /// Where callers are held to the bounds of the routes in force.
    callers: Mutex<Option<LiveLimits>>,
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
        drop(held);
        self.hold_callers();
        is_newer
    }

    /// Holds callers to the bounds of the routes in force, here and as they change.
    pub(crate) fn set_callers(&self, limits: LiveLimits) {
        *lock(&self.callers) = Some(limits);
        self.hold_callers();
    }

    fn hold_callers(&self) {
        let Some(bounds) = self.limits() else {
            return;
        };
        if let Some(callers) = lock(&self.callers).as_ref() {
            callers.set(Limits {
                headers: bounds.headers,
                header_timeout: bounds.header_timeout,
                idle_timeout: bounds.idle_timeout,
                ..FIRST_LIMITS
            });
        }
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
