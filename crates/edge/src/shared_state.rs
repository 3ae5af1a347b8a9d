//! State that the components of a process share besides events.

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
use gs_types::prelude::*;
use tokio::sync::watch;
use tokio::time::Instant;

/// The limits on connections before any routes are known; the routes set those of callers from then on.
pub(crate) const DEFAULT_LIMITS: Limits = Limits {
    head_bytes_max: 32 * 1024,
    header_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_secs(60),
    connections_max: 2048,
};

/// State that the components of a process share besides events.
#[derive(Debug, Default)]
pub(crate) struct SharedState {
    table: Mutex<Option<Arc<RouteTable>>>,
    /// The least version of the routes to apply, which a peer has in force; `None` until it is known.
    version_min: watch::Sender<Option<ConfVersion>>,
    /// The routes that were not applied because they are older than that.
    outdated_table: Mutex<Option<Arc<RouteTable>>>,
    /// The limits of the callers' server, which follow the routes in force.
    caller_limits: Mutex<Option<LiveLimits>>,
    has_servers: AtomicBool,
    /// The servers known from a peer before the directory listed any.
    seeded_servers: Mutex<Vec<String>>,
    /// When every request must have its final response, once the process shuts down.
    shutdown_at: watch::Sender<Option<Instant>>,
}

impl SharedState {
    /// Sets the least version of the routes to apply.
    pub(crate) fn set_version_min(&self, version: ConfVersion) {
        self.version_min.send_replace(Some(version));
    }

    /// Waits until the least version of the routes to apply is known.
    pub(crate) async fn wait_for_version_min(&self) {
        let mut version_min = self.version_min.subscribe();
        if version_min.wait_for(Option::is_some).await.is_err() {
            log::error!("event=version-min-unknown");
        }
    }

    /// Takes the routes that were not applied because they are older than the least version, which applies no longer.
    pub(crate) fn take_outdated_table(&self) -> Option<Arc<RouteTable>> {
        let table = lock(&self.outdated_table).take()?;
        self.set_version_min(ConfVersion(0));
        Some(table)
    }

    /// Applies a version of the routes; returns `false` if it is not newer than the one in force, or older than the
    /// least version.
    pub(crate) fn apply_table(&self, table: &Arc<RouteTable>) -> bool {
        if *self.version_min.borrow() > Some(table.version()) {
            *lock(&self.outdated_table) = Some(Arc::clone(table));
            return false;
        }
        let mut current = lock(&self.table);
        let is_newer = current
            .as_ref()
            .is_none_or(|t| t.version() < table.version());
        if is_newer {
            *current = Some(Arc::clone(table));
        }
        drop(current);
        self.apply_limits();
        is_newer
    }

    /// Sets the callers' server limits to follow the routes in force, now and as they change.
    pub(crate) fn set_caller_limits(&self, limits: LiveLimits) {
        *lock(&self.caller_limits) = Some(limits);
        self.apply_limits();
    }

    /// Sets the limits of the callers' server to those of the routes in force, if both are known.
    fn apply_limits(&self) {
        let Some(bounds) = self.limits() else {
            return;
        };
        if let Some(callers) = lock(&self.caller_limits).as_ref() {
            callers.set(Limits {
                head_bytes_max: bounds.headers,
                header_timeout: bounds.header_timeout,
                idle_timeout: bounds.idle_timeout,
                ..DEFAULT_LIMITS
            });
        }
    }

    /// Returns the limits on callers' requests by the routes in force; `None` before any are known.
    pub(crate) fn limits(&self) -> Option<CallerLimits> {
        lock(&self.table).as_ref().map(|t| t.limits().clone())
    }

    /// Records that the directory listed the servers; returns the names of those known from a peer before.
    pub(crate) fn on_servers_listed(&self) -> Vec<String> {
        let mut seeded_servers = lock(&self.seeded_servers);
        self.has_servers.store(true, Ordering::Relaxed);
        std::mem::take(&mut *seeded_servers)
    }

    /// Calls `apply` to apply the servers known from a peer, unless the directory has listed the servers; returns
    /// whether it did.
    ///
    /// The names are kept for a server that was removed while the directory was unreachable: the first list after the
    /// outage does not contain it, and only these names show that it was removed.
    pub(crate) fn apply_from_peer(&self, servers: Vec<String>, apply: impl FnOnce()) -> bool {
        let mut seeded_servers = lock(&self.seeded_servers);
        if self.has_servers.load(Ordering::Relaxed) {
            return false;
        }
        apply();
        *seeded_servers = servers;
        self.has_servers.store(true, Ordering::Relaxed);
        true
    }

    /// Returns whether routes and servers are known.
    pub(crate) fn has_routes_and_servers(&self) -> bool {
        self.has_servers.load(Ordering::Relaxed) && lock(&self.table).is_some()
    }

    /// Records that the process is shutting down and when every request must have its final response.
    pub(crate) fn set_shutting_down(&self, answer_by: Instant) {
        self.shutdown_at.send_replace(Some(answer_by));
    }

    /// Waits until every request must have its final response; forever unless the process is shutting down.
    pub(crate) async fn wait_for_final_responses(&self) {
        let mut shutdown_at = self.shutdown_at.subscribe();
        let answer_by = match shutdown_at.wait_for(Option::is_some).await {
            Ok(at) => *at,
            // The sender is a field of `self`.
            Err(_) => None,
        };
        match answer_by {
            Some(at) => tokio::time::sleep_until(at).await,
            None => std::future::pending().await,
        }
    }

    /// Returns whether new callers are accepted: routes and servers are known and the process is not shutting down.
    pub(crate) fn is_ready(&self) -> bool {
        self.shutdown_at.borrow().is_none() && self.has_routes_and_servers()
    }
}
