//! The connections to one backend server, never more than this VM's share of its limit.

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

use crate::backend::connect::Sender;
use crate::backend::connect::connect;

/// Sees the connections to backend servers open and close.
pub trait ConnectionSink: Send + Sync + 'static {
    /// A connection opened, after this time.
    fn on_opened(&self, server: &ServerName, took: Duration);

    /// A connection closed; `lost` if this process would have kept it.
    fn on_closed(&self, server: &ServerName, lost: bool);
}

/// How connections to a backend server are opened.
#[derive(Clone, Copy, Debug)]
pub struct ConnectOptions {
    /// The address that connections start from; the system's choice if `None`.
    pub source: Option<IpAddr>,
    /// The longest that opening a connection may take.
    pub connect_timeout: Duration,
}

/// The connections to one backend server.
pub struct ConnectionPool {
    name: ServerName,
    addr: SocketAddr,
    opts: ConnectOptions,
    sink: Arc<dyn ConnectionSink>,
    state: Mutex<State>,
    freed: Notify,
}

struct State {
    idle: Vec<PooledConnection>,
    /// Connections whose socket may still be open, idle or not.
    open: u32,
    /// The most that may be open.
    share: u32,
}

/// A connection lent out; given back by [`ConnectionPool::put_back`], closed when dropped.
pub struct PooledConnection {
    pub(crate) tx: Sender,
    /// Whether this process would keep it; tells a server's close from our own.
    kept: Arc<AtomicBool>,
    /// When it was given back last.
    idle_since: Instant,
    /// The longest that it may be idle and used again; `None` for no bound.
    idle_max: Option<Duration>,
}

impl PooledConnection {
    /// Bounds the time for which it may be idle and used again.
    pub fn set_idle_max(&mut self, idle_max: Duration) {
        self.idle_max = Some(idle_max);
    }

    fn is_usable(&self, idle_max: Option<Duration>) -> bool {
        let idle = self.idle_since.elapsed();
        let fits = |max: Option<Duration>| max.is_none_or(|max| idle < max);
        !self.tx.is_closed() && fits(self.idle_max) && fits(idle_max)
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.kept.store(false, Ordering::Relaxed);
    }
}

impl ConnectionPool {
    /// Starts without connections and without a share.
    #[must_use]
    pub fn new(
        name: ServerName,
        addr: SocketAddr,
        opts: ConnectOptions,
        sink: Arc<dyn ConnectionSink>,
    ) -> Arc<Self> {
        let state = State {
            idle: Vec::new(),
            open: 0,
            share: 0,
        };
        Arc::new(Self {
            name,
            addr,
            opts,
            sink,
            state: Mutex::new(state),
            freed: Notify::new(),
        })
    }

    /// The server's name.
    #[must_use]
    pub fn name(&self) -> &ServerName {
        &self.name
    }

    /// Where the server listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Connections that may still be open.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.state().open
    }

    /// Whether no more than the share may be open.
    #[must_use]
    pub fn is_within_share(&self) -> bool {
        let s = self.state();
        s.open <= s.share
    }

    /// Whether the whole share is open.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let s = self.state();
        s.open >= s.share
    }

    /// Sets the share; closes idle connections above it at once, busy ones when they come back.
    pub fn set_share(&self, share: Connections) {
        let mut s = self.state();
        s.share = share.0;
        let over = s.open.saturating_sub(s.share) as usize;
        let keep = s.idle.len().saturating_sub(over);
        s.idle.truncate(keep);
        drop(s);
        self.freed.notify_waiters();
    }

    /// Opens connections until `target` are open or the share is used up.
    pub fn open_at_least(self: &Arc<Self>, target: Connections) {
        let missing = {
            let mut s = self.state();
            let n = target.0.min(s.share).saturating_sub(s.open);
            s.open += n;
            n
        };
        for _ in 0..missing {
            let lane = Arc::clone(self);
            tokio::spawn(async move {
                let slot = Slot {
                    lane: Arc::clone(&lane),
                };
                match lane.open_in(slot).await {
                    Ok(lent) => lane.put_back(lent),
                    Err(e) => {
                        log::debug!("event=warming-failed server={} error=\"{e}\"", lane.name)
                    }
                }
            });
        }
    }

    /// Takes an idle connection, or opens one if the share allows, or waits for one.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if none could be had within `limit`; nothing was sent.
    pub async fn take(self: &Arc<Self>, limit: Duration) -> Result<PooledConnection> {
        self.take_recently_used(limit, None).await
    }

    /// As [`ConnectionPool::take`], but no connection that was idle for longer than `idle_max`.
    ///
    /// Guards against a request that is written on a connection which its server closes at the same
    /// moment as idle: what became of it is not known then, and it may not be sent again.
    ///
    /// # Errors
    ///
    /// As for [`ConnectionPool::take`].
    pub async fn take_recently_used(
        self: &Arc<Self>,
        limit: Duration,
        idle_max: Option<Duration>,
    ) -> Result<PooledConnection> {
        tokio::time::timeout(limit, self.take_or_wait(idle_max))
            .await
            .unwrap_or_else(|_| {
                Err(
                    Error::new(ErrorKind::Unavailable, "no free connection in time")
                        .at("take connection")
                        .from_peer(self.name.to_string()),
                )
            })
    }

    /// Takes an idle connection if there is one.
    pub(crate) fn take_idle(&self, idle_max: Option<Duration>) -> Option<PooledConnection> {
        let mut s = self.state();
        while let Some(lent) = s.idle.pop() {
            if lent.is_usable(idle_max) {
                return Some(lent);
            }
        }
        None
    }

    /// Gives a connection back whose last exchange ended cleanly.
    pub fn put_back(&self, mut lent: PooledConnection) {
        lent.idle_since = Instant::now();
        let mut s = self.state();
        if s.open <= s.share && !lent.tx.is_closed() {
            s.idle.push(lent);
        }
        drop(s);
        self.freed.notify_one();
    }

    /// Waits in line before it looks.
    ///
    /// Guards against a wake-up that is lost: `notify_one` keeps at most one permit for those not in
    /// line yet. Were two connections put back between two waiters' look and their wait, one waiter
    /// would let its time pass beside an idle connection, and its attempt end as not sent.
    async fn take_or_wait(
        self: &Arc<Self>,
        idle_max: Option<Duration>,
    ) -> Result<PooledConnection> {
        loop {
            let mut freed = pin!(self.freed.notified());
            freed.as_mut().enable();
            if let Some(lent) = self.take_idle(idle_max) {
                return Ok(lent);
            }
            if let Some(slot) = self.reserve() {
                return self.open_in(slot).await;
            }
            freed.await;
        }
    }

    fn reserve(self: &Arc<Self>) -> Option<Slot> {
        let mut s = self.state();
        if s.open >= s.share {
            return None;
        }
        s.open += 1;
        Some(Slot {
            lane: Arc::clone(self),
        })
    }

    /// Opens a connection in a reserved slot; the slot is freed when the socket is closed.
    async fn open_in(self: &Arc<Self>, slot: Slot) -> Result<PooledConnection> {
        let opts = &self.opts;
        let begun = Instant::now();
        let (tx, driver) = connect(self.addr, opts.source, opts.connect_timeout).await?;
        let sink = Arc::clone(&self.sink);
        let name = self.name.clone();
        let kept = Arc::new(AtomicBool::new(true));
        let seen = Arc::clone(&kept);
        sink.on_opened(&name, begun.elapsed());
        tokio::spawn(async move {
            if let Err(e) = driver.await {
                log::debug!("event=backend-connection-ended server={name} error=\"{e}\"");
            }
            drop(slot);
            sink.on_closed(&name, seen.load(Ordering::Relaxed));
        });
        Ok(PooledConnection {
            tx,
            kept,
            idle_since: Instant::now(),
            idle_max: None,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One of the share's connections, from before its socket opens until after it closes.
///
/// Guards the server's connection limit: if the count fell when a connection was given up and not
/// when its socket closed, a new one could be open beside it.
struct Slot {
    lane: Arc<ConnectionPool>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut s = self.lane.state();
        s.open = s.open.saturating_sub(1);
        drop(s);
        self.lane.freed.notify_one();
    }
}
