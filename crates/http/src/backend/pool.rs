//! Every connection of this process to backend servers, and the attempts running on them.

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
use crate::backend::lane::ConnectOptions;
use crate::backend::lane::ConnectionPool;
use crate::backend::lane::ConnectionSink;
use crate::backend::status;

/// Takes what happens to attempts and connections; the engine stands behind it.
pub trait EventSink: Send + Sync + 'static {
    /// Takes one event, in the order of the calls.
    fn on_event(&self, ev: Event);
}

/// Settings of a [`ConnectionPools`].
#[derive(Clone, Debug, Builder)]
pub struct ConnectionPoolsOptions {
    /// The address that connections start from; the system's choice if `None`.
    pub source: Option<IpAddr>,
    /// The longest that opening a connection may take.
    #[builder(default = Duration::from_millis(100))]
    pub connect_timeout: Duration,
    /// The most bytes of a reply's body.
    #[builder(default = 1 << 20)]
    pub part_bytes_max: usize,
}

/// What lanes and attempts share.
pub(crate) struct Common {
    pub(crate) opts: ConnectionPoolsOptions,
    pub(crate) sink: Arc<dyn EventSink>,
    opened: AtomicU64,
}

impl ConnectionSink for Common {
    fn on_opened(&self, server: &ServerName, _: Duration) {
        self.opened.fetch_add(1, Ordering::Relaxed);
        self.sink.on_event(Event::Connection(server.clone(), true));
    }

    fn on_closed(&self, server: &ServerName, lost: bool) {
        if lost {
            self.sink.on_event(Event::Lost(server.clone()));
        }
        self.sink.on_event(Event::Connection(server.clone(), false));
    }
}

/// The connections to every backend server.
///
/// For each [`Dispatch`] exactly one [`Event::Reply`] is sent to the sink, also after a cancel, and
/// [`Event::Sent`] before it if the attempt passed the point of no return.
pub struct ConnectionPools {
    common: Arc<Common>,
    lanes: Mutex<HashMap<ServerName, Arc<ConnectionPool>>>,
    /// Lanes given up whose connections may not all be closed yet.
    closing: Mutex<Vec<Arc<ConnectionPool>>>,
    /// `None` once the pool is closed.
    shares: Mutex<Option<HashMap<ServerName, Connections>>>,
    running: Arc<Running>,
}

/// The cancel handles of attempts that have not ended.
#[derive(Default)]
pub(crate) struct Running(Mutex<HashMap<AttemptId, oneshot::Sender<()>>>);

impl Running {
    fn map(&self) -> MutexGuard<'_, HashMap<AttemptId, oneshot::Sender<()>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn remove(&self, id: &AttemptId) {
        self.map().remove(id);
    }
}

/// What a pool holds, for dumps.
#[derive(Clone, Debug, Serialize)]
pub struct ConnectionPoolsState {
    /// Connections open to each server that has any.
    pub open: Vec<(ServerName, u32)>,
    /// Connections opened since the start.
    pub opened: u64,
    /// Attempts that have not ended.
    pub running: usize,
}

impl ConnectionPools {
    /// Starts without connections.
    #[must_use]
    pub fn new(opts: ConnectionPoolsOptions, sink: Arc<dyn EventSink>) -> Self {
        Self {
            common: Arc::new(Common {
                opts,
                sink,
                opened: AtomicU64::new(0),
            }),
            lanes: Mutex::default(),
            closing: Mutex::default(),
            shares: Mutex::new(Some(HashMap::new())),
            running: Arc::default(),
        }
    }

    /// Hands an attempt to its server in a task of its own.
    pub fn dispatch(&self, d: Dispatch) {
        let lane = self.lane(&d.server);
        let (tx, rx) = oneshot::channel();
        self.running.map().insert(d.attempt.clone(), tx);
        let common = Arc::clone(&self.common);
        let running = Arc::clone(&self.running);
        tokio::spawn(async move {
            let id = d.attempt.clone();
            let reply = attempt::run(&common, &lane, d, rx).await;
            running.remove(&id);
            common.sink.on_event(Event::Reply(id, reply));
        });
    }

    /// Stops an attempt; its reply is still sent to the sink.
    pub fn cancel(&self, id: &AttemptId) {
        if let Some(tx) = self.running.map().remove(id) {
            let _ = tx.send(());
        }
    }

    /// Sets how many connections may be open to each server; none to a server not named.
    pub fn set_shares(&self, shares: &[(ServerName, Connections)]) {
        let lanes = lock(&self.lanes);
        let mut known = lock(&self.shares);
        let Some(known) = known.as_mut() else {
            return;
        };
        *known = shares.iter().cloned().collect();
        for (name, lane) in lanes.iter() {
            lane.set_share(known.get(name).copied().unwrap_or_default());
        }
    }

    /// Whether no server has more open connections than its share.
    #[must_use]
    pub fn is_within_shares(&self) -> bool {
        lock(&self.closing).retain(|lane| lane.open() > 0);
        let closed = lock(&self.closing).is_empty();
        closed
            && lock(&self.lanes)
                .values()
                .all(|lane| lane.is_within_share())
    }

    /// Closes idle connections at once and busy ones as they end, and opens no more.
    ///
    /// Shares told later change nothing: another VM may hold the connections by then.
    pub fn close(&self) {
        let lanes = lock(&self.lanes);
        *lock(&self.shares) = None;
        for lane in lanes.values() {
            lane.set_share(Connections(0));
        }
    }

    /// Opens connections to a server until so many are open, within the share.
    pub fn open_at_least(&self, server: &Arc<ServerDecl>, target: Connections) {
        self.lane(server).open_at_least(target);
    }

    /// Asks a server for its status, on a connection of its share that is idle or free to open.
    ///
    /// `None` if no connection was free: then attempts in flight tell more than a report would.
    pub async fn request_status(
        &self,
        server: &Arc<ServerDecl>,
        limit: Duration,
    ) -> Option<ServerReport> {
        let lane = self.lane(server);
        status::ask(&lane, limit).await
    }

    /// Forgets servers that are no longer declared; their connections close as they come back.
    pub fn retain(&self, keep: &dyn Fn(&ServerName) -> bool) {
        lock(&self.lanes).retain(|name, lane| {
            let stay = keep(name);
            if !stay {
                self.give_up(Arc::clone(lane));
            }
            stay
        });
    }

    /// What the pool holds.
    #[must_use]
    pub fn state(&self) -> ConnectionPoolsState {
        let mut open: Vec<_> = lock(&self.lanes)
            .iter()
            .map(|(name, lane)| (name.clone(), lane.open()))
            .filter(|(_, n)| *n > 0)
            .collect();
        open.sort();
        ConnectionPoolsState {
            open,
            opened: self.common.opened.load(Ordering::Relaxed),
            running: self.running.map().len(),
        }
    }

    fn lane(&self, decl: &Arc<ServerDecl>) -> Arc<ConnectionPool> {
        let mut lanes = lock(&self.lanes);
        if let Some(lane) = lanes.get(&decl.name)
            && lane.addr() == decl.addr
        {
            return Arc::clone(lane);
        }
        let opts = ConnectOptions {
            source: self.common.opts.source,
            connect_timeout: self.common.opts.connect_timeout,
        };
        let sink: Arc<dyn ConnectionSink> = Arc::<Common>::clone(&self.common);
        let lane = ConnectionPool::new(decl.name.clone(), decl.addr, opts, sink);
        let shares = lock(&self.shares);
        if let Some(n) = shares.as_ref().and_then(|s| s.get(&decl.name)) {
            lane.set_share(*n);
        }
        drop(shares);
        if let Some(old) = lanes.insert(decl.name.clone(), Arc::clone(&lane)) {
            self.give_up(old);
        }
        lane
    }

    fn give_up(&self, lane: Arc<ConnectionPool>) {
        lane.set_share(Connections(0));
        lock(&self.closing).push(lane);
    }
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
