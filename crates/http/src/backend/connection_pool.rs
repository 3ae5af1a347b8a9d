//! Connection pool of one backend server, bounded by this VM's share of the server's connection limit.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_types::prelude::*;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::backend::connect::ConnectFailure;
use crate::backend::connect::connect;
use crate::backend::connection_needs::ConnectionNeeds;
use crate::backend::pooled_connection::PooledConnection;
use crate::backend::read_allowance::ReadAllowance;

/// The most bytes read from a connection before its first request; any of them close it.
const IDLE_READ_BYTES_MAX: usize = 64 << 10;

/// Receives the opening and closing of connections to backend servers.
pub trait ConnectionSink: Send + Sync + 'static {
    /// Handles an opened connection; opening it took `took`.
    fn on_opened(&self, server: &ServerName, took: Duration);

    /// Handles a closed connection; `lost` if it closed while this process still held it.
    fn on_closed(&self, server: &ServerName, lost: bool);

    /// Handles a refused connection: no process listens at the address of the server.
    fn on_refused(&self, _server: &ServerName) {}
}

/// Options for opening connections to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct ConnectOptions {
    /// The local address of connections; chosen by the system if `None`.
    pub source: Option<IpAddr>,
    /// The timeout for opening a connection.
    pub connect_timeout: Duration,
}

/// A pool of connections to one backend server.
pub struct ConnectionPool {
    name: ServerName,
    addr: SocketAddr,
    opts: ConnectOptions,
    sink: Arc<dyn ConnectionSink>,
    state: Mutex<State>,
    released: Notify,
}

/// The connections of a pool.
struct State {
    idle: Vec<PooledConnection>,
    /// The number of connections opened so far.
    opened: u64,
    /// The number of connections whose socket may still be open, idle or not.
    open: u32,
    /// The largest number of connections that may be open.
    share: u32,
    /// Whether no connection is opened or taken any more.
    is_closed: bool,
}

impl ConnectionPool {
    /// Creates a pool without connections and with a share of zero.
    #[must_use]
    pub fn new(
        name: ServerName,
        addr: SocketAddr,
        opts: ConnectOptions,
        sink: Arc<dyn ConnectionSink>,
    ) -> Arc<Self> {
        let state = State {
            idle: Vec::new(),
            opened: 0,
            open: 0,
            share: 0,
            is_closed: false,
        };
        Arc::new(Self {
            name,
            addr,
            opts,
            sink,
            state: Mutex::new(state),
            released: Notify::new(),
        })
    }

    /// Returns the server's name.
    #[must_use]
    pub fn name(&self) -> &ServerName {
        &self.name
    }

    /// Returns the address on which the server listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of connections that may still be open.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.state().open
    }

    /// Returns whether no more connections than the share may be open.
    #[must_use]
    pub fn is_within_share(&self) -> bool {
        let s = self.state();
        s.open <= s.share
    }

    /// Returns whether the share is used up.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let s = self.state();
        s.open >= s.share
    }

    /// Sets the share, the largest number of open connections.
    ///
    /// Idle connections above the share are closed at once, busy ones when they are returned.
    pub fn set_share(&self, share: Connections) {
        let mut s = self.state();
        s.share = share.0;
        let over = s.open.saturating_sub(s.share) as usize;
        let keep = s.idle.len().saturating_sub(over);
        s.idle.truncate(keep);
        drop(s);
        self.released.notify_waiters();
    }

    /// Closes idle connections at once and busy ones when they are returned; all that wait for one are refused.
    pub fn close(&self) {
        self.state().is_closed = true;
        self.set_share(Connections(0));
    }

    /// Opens one connection in the background as soon as the share allows it, within the timeout for connections.
    ///
    /// The sink learns whether the server accepts or refuses it.
    pub fn open_one(self: &Arc<Self>) {
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            let reserved = tokio::time::timeout(pool.opts.connect_timeout, pool.wait_for_slot());
            let Ok(slot) = reserved.await else {
                log::debug!("event=check-without-slot server={}", pool.name);
                return;
            };
            pool.open_and_keep(slot).await;
        });
    }

    /// Opens connections in the background until `connections_min` are open or the share is used up.
    pub fn open_at_least(self: &Arc<Self>, connections_min: Connections) {
        let missing = {
            let mut s = self.state();
            let n = connections_min.0.min(s.share).saturating_sub(s.open);
            s.open += n;
            n
        };
        for _ in 0..missing {
            let pool = Arc::clone(self);
            tokio::spawn(async move {
                let slot = Slot {
                    pool: Arc::clone(&pool),
                };
                pool.open_and_keep(slot).await;
            });
        }
    }

    /// Opens a connection in a reserved slot and adds it to the idle ones.
    async fn open_and_keep(self: &Arc<Self>, slot: Slot) {
        match self.open_in_slot(slot).await {
            Ok(conn) => self.put_back(conn),
            Err(e) => log::debug!("event=warming-failed server={} error=\"{e}\"", self.name),
        }
    }

    /// Takes any open connection, opens one if the share allows it, or waits until one is returned.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if none was available within `timeout`, or if the pool is closed; nothing was sent.
    pub async fn take(self: &Arc<Self>, timeout: Duration) -> Result<PooledConnection> {
        self.take_for(&ConnectionNeeds::any(timeout)).await
    }

    /// Like [`ConnectionPool::take`], but takes only a connection that meets the needs of a request, which it is
    /// then taken to have carried.
    ///
    /// # Errors
    ///
    /// As for [`ConnectionPool::take`].
    pub async fn take_for(self: &Arc<Self>, needs: &ConnectionNeeds) -> Result<PooledConnection> {
        let taken = self.take_or_wait_for_release(needs);
        let mut conn = tokio::time::timeout(needs.timeout, taken)
            .await
            .unwrap_or_else(|_| Err(self.unavailable("no free connection in time")))?;
        conn.on_taken(needs.exchange);
        Ok(conn)
    }

    /// Takes an idle connection if there is a usable one; closes those that are not.
    pub(crate) fn take_idle(&self) -> Option<PooledConnection> {
        self.take_idle_for(&ConnectionNeeds::any(Duration::ZERO))
    }

    /// Takes an idle connection if one meets the needs; closes those that have been idle for too long.
    fn take_idle_for(&self, needs: &ConnectionNeeds) -> Option<PooledConnection> {
        let mut s = self.state();
        for at in (0..s.idle.len()).rev() {
            if !s.idle[at].is_usable(needs.idle_max) {
                s.idle.remove(at);
            } else if !s.idle[at].has_carried(needs.exchange) {
                return Some(s.idle.remove(at));
            }
        }
        None
    }

    /// Closes an idle connection that has carried the request, if there is one, so that another can be opened.
    fn close_carrier(&self, needs: &ConnectionNeeds) {
        let mut s = self.state();
        let carrier = s
            .idle
            .iter()
            .position(|conn| conn.has_carried(needs.exchange));
        if let Some(at) = carrier {
            let conn = s.idle.remove(at);
            log::debug!(
                "event=connection-replaced server={} connection={}",
                self.name,
                conn.number()
            );
        }
    }

    /// Puts a connection back into the pool; its last reply must have been read completely.
    pub fn put_back(&self, mut conn: PooledConnection) {
        conn.on_returned();
        let mut s = self.state();
        if s.open <= s.share && !conn.tx.is_closed() {
            s.idle.push(conn);
        }
        drop(s);
        self.released.notify_one();
    }

    /// Takes a connection, waiting without a timeout until one is available.
    ///
    /// Registers for the notification before it checks the pool, so that no wake-up is lost. `notify_one` stores at
    /// most one permit for tasks that are not registered yet: if two connections were returned between the check and
    /// the registration of two waiters, one waiter would time out although a connection is idle, and its attempt would
    /// end as not sent.
    async fn take_or_wait_for_release(
        self: &Arc<Self>,
        needs: &ConnectionNeeds,
    ) -> Result<PooledConnection> {
        loop {
            let mut released = pin!(self.released.notified());
            released.as_mut().enable();
            if self.state().is_closed {
                return Err(self.unavailable("the pool is closed"));
            }
            if let Some(conn) = self.take_idle_for(needs) {
                return Ok(conn);
            }
            if let Some(slot) = self.reserve_slot() {
                return self.open_in_slot(slot).await;
            }
            self.close_carrier(needs);
            released.await;
        }
    }

    /// Waits without a timeout until the share allows one more connection, and reserves its slot.
    async fn wait_for_slot(self: &Arc<Self>) -> Slot {
        loop {
            let mut released = pin!(self.released.notified());
            released.as_mut().enable();
            if let Some(slot) = self.reserve_slot() {
                return slot;
            }
            released.await;
        }
    }

    /// Reserves a slot if the share is not used up.
    fn reserve_slot(self: &Arc<Self>) -> Option<Slot> {
        let mut s = self.state();
        if s.open >= s.share {
            return None;
        }
        s.open += 1;
        Some(Slot {
            pool: Arc::clone(self),
        })
    }

    /// Opens a connection in a reserved slot; the slot is released when the socket is closed.
    async fn open_in_slot(self: &Arc<Self>, slot: Slot) -> Result<PooledConnection> {
        let opts = &self.opts;
        let start = Instant::now();
        let allowance = ReadAllowance::new(IDLE_READ_BYTES_MAX);
        let connected = connect(
            self.addr,
            opts.source,
            opts.connect_timeout,
            allowance.clone(),
        );
        let connected = connected.await;
        let (tx, driver) = connected.map_err(|failure| self.connect_error(failure))?;
        let sink = Arc::clone(&self.sink);
        let name = self.name.clone();
        let held = Arc::new(AtomicBool::new(true));
        let still_held = Arc::clone(&held);
        sink.on_opened(&name, start.elapsed());
        tokio::spawn(async move {
            if let Err(e) = driver.await {
                log::debug!("event=backend-connection-ended server={name} error=\"{e}\"");
            }
            drop(slot);
            sink.on_closed(&name, still_held.load(Ordering::Relaxed));
        });
        let number = self.next_number();
        Ok(PooledConnection::new(tx, number, held, allowance))
    }

    /// Reports a refused connection and returns the error of any failure.
    fn connect_error(&self, failure: ConnectFailure) -> Error {
        if failure.is_refused {
            self.sink.on_refused(&self.name);
        }
        failure.error
    }

    fn unavailable(&self, text: &str) -> Error {
        Error::new(ErrorKind::Unavailable, text)
            .at("take connection")
            .from_peer(self.name.to_string())
    }

    fn next_number(&self) -> u64 {
        let mut s = self.state();
        s.opened += 1;
        s.opened
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One connection of the share, reserved before its socket opens until after the socket closes.
///
/// If the count of open connections decreased when a connection is dropped instead of when its socket closes, a new
/// connection could be open at the same time and exceed the server's connection limit.
struct Slot {
    pool: Arc<ConnectionPool>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut s = self.pool.state();
        s.open = s.open.saturating_sub(1);
        drop(s);
        self.pool.released.notify_one();
    }
}
