//! The connections of this process to backend servers, and the attempts in flight on them.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bon::Builder;
use gs_query::Dispatch;
use gs_query::Event;
use gs_query::ServerReport;
use gs_types::prelude::*;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::backend::attempt;
use crate::backend::connection_pool::ConnectOptions;
use crate::backend::connection_pool::ConnectionPool;
use crate::backend::connection_pool::ConnectionSink;
use crate::backend::status;

/// Receives the events of attempts and connections, to pass them to the engine.
pub trait EventSink: Send + Sync + 'static {
    /// Handles one event; events are ordered as the calls are.
    fn on_event(&self, ev: Event);
}

/// Options of [`ConnectionPools`].
#[derive(Clone, Debug, Builder)]
pub struct ConnectionPoolsOptions {
    /// The local address of connections; chosen by the system if `None`.
    pub source: Option<IpAddr>,
    /// The timeout for opening a connection.
    #[builder(default = Duration::from_millis(100))]
    pub connect_timeout: Duration,
    /// The largest body of a reply, in bytes.
    #[builder(default = 1 << 20)]
    pub part_bytes_max: usize,
}

/// The state shared by pools and attempts.
pub(crate) struct Shared {
    pub(crate) opts: ConnectionPoolsOptions,
    pub(crate) sink: Arc<dyn EventSink>,
    opened: AtomicU64,
}

impl ConnectionSink for Shared {
    fn on_opened(&self, server: &ServerName, took: Duration) {
        self.opened.fetch_add(1, Ordering::Relaxed);
        self.sink.on_event(Event::Connection(server.clone(), true));
        self.sink.on_event(Event::Accepted(server.clone(), took));
    }

    fn on_closed(&self, server: &ServerName, lost: bool) {
        if lost {
            self.sink.on_event(Event::Lost(server.clone()));
        }
        self.sink.on_event(Event::Connection(server.clone(), false));
    }

    fn on_refused(&self, server: &ServerName) {
        self.sink.on_event(Event::Refused(server.clone()));
    }
}

/// The connection pools, one per backend server, and the attempts in flight on them.
///
/// For each [`Dispatch`] exactly one [`Event::Reply`] is sent to the sink, also after a cancel. It is preceded by an
/// [`Event::Sent`] if the request may have been sent.
pub struct ConnectionPools {
    shared: Arc<Shared>,
    pools: Mutex<HashMap<ServerName, Arc<ConnectionPool>>>,
    /// Pools of servers that are no longer used, whose connections may not all be closed yet.
    retired: Mutex<Vec<Arc<ConnectionPool>>>,
    /// The largest number of connections to each server; `None` after [`ConnectionPools::close`].
    shares: Mutex<Option<HashMap<ServerName, Connections>>>,
    active: Arc<ActiveAttempts>,
}

/// The cancel handles of the attempts in flight.
#[derive(Default)]
pub(crate) struct ActiveAttempts(Mutex<HashMap<AttemptId, oneshot::Sender<()>>>);

impl ActiveAttempts {
    fn map(&self) -> MutexGuard<'_, HashMap<AttemptId, oneshot::Sender<()>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn remove(&self, id: &AttemptId) {
        self.map().remove(id);
    }
}

/// The state of [`ConnectionPools`], for dumps.
#[derive(Clone, Debug, Serialize)]
pub struct ConnectionPoolsState {
    /// The number of open connections to each server that has any.
    pub open: Vec<(ServerName, u32)>,
    /// The number of connections opened since the start.
    pub opened: u64,
    /// The number of attempts in flight.
    pub running: usize,
}

impl ConnectionPools {
    /// Creates the pools without connections and with shares of zero.
    #[must_use]
    pub fn new(opts: ConnectionPoolsOptions, sink: Arc<dyn EventSink>) -> Self {
        Self {
            shared: Arc::new(Shared {
                opts,
                sink,
                opened: AtomicU64::new(0),
            }),
            pools: Mutex::default(),
            retired: Mutex::default(),
            shares: Mutex::new(Some(HashMap::new())),
            active: Arc::default(),
        }
    }

    /// Starts an attempt in a task of its own.
    pub fn dispatch(&self, d: Dispatch) {
        let pool = self.pool(&d.server);
        let (tx, rx) = oneshot::channel();
        self.active.map().insert(d.attempt.clone(), tx);
        let shared = Arc::clone(&self.shared);
        let active = Arc::clone(&self.active);
        tokio::spawn(async move {
            let id = d.attempt.clone();
            let reply = attempt::run(&shared, &pool, d, rx).await;
            active.remove(&id);
            shared.sink.on_event(Event::Reply(id, reply));
        });
    }

    /// Cancels an attempt; its reply is still sent to the sink.
    pub fn cancel(&self, id: &AttemptId) {
        if let Some(tx) = self.active.map().remove(id) {
            let _ = tx.send(());
        }
    }

    /// Sets how many connections may be open to each server; servers not named get none.
    pub fn set_shares(&self, shares: &[(ServerName, Connections)]) {
        let pools = lock(&self.pools);
        let mut shares_by_server = lock(&self.shares);
        let Some(shares_by_server) = shares_by_server.as_mut() else {
            return;
        };
        *shares_by_server = shares.iter().cloned().collect();
        for (name, pool) in pools.iter() {
            pool.set_share(shares_by_server.get(name).copied().unwrap_or_default());
        }
    }

    /// Returns whether no server has more open connections than its share.
    #[must_use]
    pub fn is_within_shares(&self) -> bool {
        lock(&self.retired).retain(|pool| pool.open() > 0);
        let closed = lock(&self.retired).is_empty();
        closed
            && lock(&self.pools)
                .values()
                .all(|pool| pool.is_within_share())
    }

    /// Closes idle connections at once and busy ones when their attempts end, and opens no more.
    ///
    /// Later calls of [`ConnectionPools::set_shares`] have no effect: another VM may use these connections by then.
    pub fn close(&self) {
        let pools = lock(&self.pools);
        *lock(&self.shares) = None;
        for pool in pools.values() {
            pool.set_share(Connections(0));
        }
    }

    /// Opens connections to a server until `connections_min` are open or the share is used up.
    pub fn open_at_least(&self, server: &Arc<ServerDecl>, connections_min: Connections) {
        self.pool(server).open_at_least(connections_min);
    }

    /// Opens one more connection to a server; the sink learns whether the server accepts or refuses it.
    pub fn check(&self, server: &Arc<ServerDecl>) {
        self.pool(server).open_one();
    }

    /// Requests the status of a server, on an idle connection or on a new one if the share allows it.
    ///
    /// Returns `None` if no connection was free: the attempts in flight show the server's state better then.
    pub async fn request_status(
        &self,
        server: &Arc<ServerDecl>,
        timeout: Duration,
    ) -> Option<ServerReport> {
        let pool = self.pool(server);
        status::request_status(&pool, timeout).await
    }

    /// Removes the servers that are no longer declared; their busy connections close when they are returned.
    pub fn retain(&self, is_declared: &dyn Fn(&ServerName) -> bool) {
        lock(&self.pools).retain(|name, pool| {
            let is_kept = is_declared(name);
            if !is_kept {
                self.retire(Arc::clone(pool));
            }
            is_kept
        });
    }

    /// Returns the state, for dumps.
    #[must_use]
    pub fn state(&self) -> ConnectionPoolsState {
        let mut open: Vec<_> = lock(&self.pools)
            .iter()
            .map(|(name, pool)| (name.clone(), pool.open()))
            .filter(|(_, n)| *n > 0)
            .collect();
        open.sort();
        ConnectionPoolsState {
            open,
            opened: self.shared.opened.load(Ordering::Relaxed),
            running: self.active.map().len(),
        }
    }

    /// Returns the pool of a server; creates it if there is none, or if the server's address has changed.
    fn pool(&self, decl: &Arc<ServerDecl>) -> Arc<ConnectionPool> {
        let mut pools = lock(&self.pools);
        if let Some(pool) = pools.get(&decl.name)
            && pool.addr() == decl.addr
        {
            return Arc::clone(pool);
        }
        let opts = ConnectOptions {
            source: self.shared.opts.source,
            connect_timeout: self.shared.opts.connect_timeout,
        };
        let sink: Arc<dyn ConnectionSink> = Arc::<Shared>::clone(&self.shared);
        let pool = ConnectionPool::new(decl.name.clone(), decl.addr, opts, sink);
        let shares = lock(&self.shares);
        if let Some(n) = shares.as_ref().and_then(|s| s.get(&decl.name)) {
            pool.set_share(*n);
        }
        drop(shares);
        if let Some(old) = pools.insert(decl.name.clone(), Arc::clone(&pool)) {
            self.retire(old);
        }
        pool
    }

    /// Closes the connections of a pool that is no longer used, and remembers it until they are closed.
    fn retire(&self, pool: Arc<ConnectionPool>) {
        pool.set_share(Connections(0));
        lock(&self.retired).push(pool);
    }
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
