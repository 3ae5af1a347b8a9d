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
    /// Servers that a peer told of before they were listed.
    told: Mutex<Vec<String>>,
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

    /// The servers were listed; gives those that a peer had told of before.
    pub(crate) fn set_listed(&self) -> Vec<String> {
        let mut told = lock(&self.told);
        self.has_servers.store(true, Ordering::Relaxed);
        std::mem::take(&mut *told)
    }

    /// Takes in what a peer tells of by `take`, unless the servers have been listed; `true` if so.
    ///
    /// Guards against a server that left while the directory was away: the first list after it does not
    /// name the server, and it is known to be gone only if it was noted here.
    pub(crate) fn take_told(&self, servers: Vec<String>, take: impl FnOnce()) -> bool {
        let mut told = lock(&self.told);
        if self.has_servers.load(Ordering::Relaxed) {
            return false;
        }
        take();
        *told = servers;
        self.has_servers.store(true, Ordering::Relaxed);
        true
    }

    /// Whether routes and servers are known.
    pub(crate) fn knows_all(&self) -> bool {
        self.has_servers.load(Ordering::Relaxed) && lock(&self.table).is_some()
    }

    /// The process has been told to leave.
    pub(crate) fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Whether new callers are welcome: routes and servers are known and the process stays.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving.load(Ordering::Relaxed) && self.knows_all()
    }
}
