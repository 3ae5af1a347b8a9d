//! The connections to one backend server, never more than this VM's share of its limit.

use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_query::Event;
use gs_types::prelude::*;
use tokio::sync::Notify;

use crate::backend::connect::Sender;
use crate::backend::connect::connect;
use crate::backend::pool::Common;

/// The connections to one backend server.
pub(crate) struct Lane {
    pub(crate) decl: Arc<ServerDecl>,
    common: Arc<Common>,
    state: Mutex<State>,
    freed: Notify,
}

struct State {
    idle: Vec<Lent>,
    /// Connections whose socket may still be open, idle or not.
    open: u32,
    /// The most that may be open.
    share: u32,
}

/// A connection lent out; given back by [`Lane::put_back`], closed when dropped.
pub(crate) struct Lent {
    pub(crate) tx: Sender,
    /// Whether this process would keep it; tells a server's close from our own.
    kept: Arc<AtomicBool>,
}

impl Drop for Lent {
    fn drop(&mut self) {
        self.kept.store(false, Ordering::Relaxed);
    }
}

impl Lane {
    pub(crate) fn new(decl: Arc<ServerDecl>, common: Arc<Common>) -> Arc<Self> {
        let state = State {
            idle: Vec::new(),
            open: 0,
            share: 0,
        };
        Arc::new(Self {
            decl,
            common,
            state: Mutex::new(state),
            freed: Notify::new(),
        })
    }

    /// Connections that may still be open.
    pub(crate) fn open(&self) -> u32 {
        self.state().open
    }

    /// Whether no more than the share may be open.
    pub(crate) fn is_within_share(&self) -> bool {
        let s = self.state();
        s.open <= s.share
    }

    /// Whether the whole share is open.
    pub(crate) fn is_full(&self) -> bool {
        let s = self.state();
        s.open >= s.share
    }

    /// Sets the share; closes idle connections above it at once, busy ones when they come back.
    pub(crate) fn set_share(&self, share: Connections) {
        let mut s = self.state();
        s.share = share.0;
        let over = s.open.saturating_sub(s.share) as usize;
        let keep = s.idle.len().saturating_sub(over);
        s.idle.truncate(keep);
        drop(s);
        self.freed.notify_waiters();
    }

    /// Opens connections until `target` are open or the share is used up.
    pub(crate) fn warm(self: &Arc<Self>, target: Connections) {
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
                if let Ok(lent) = lane.open_in(slot, lane.common.opts.connect_timeout).await {
                    lane.put_back(lent);
                }
            });
        }
    }

    /// Takes an idle connection, or opens one if the share allows, or waits for one.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] if none could be had within `limit`; nothing was sent.
    pub(crate) async fn take(self: &Arc<Self>, limit: Duration) -> Result<Lent> {
        tokio::time::timeout(limit, self.take_or_wait())
            .await
            .unwrap_or_else(|_| {
                Err(
                    Error::new(ErrorKind::Unavailable, "no free connection in time")
                        .at("take connection")
                        .from_peer(self.decl.name.to_string()),
                )
            })
    }

    /// Takes an idle connection if there is one.
    pub(crate) fn take_idle(&self) -> Option<Lent> {
        let mut s = self.state();
        while let Some(lent) = s.idle.pop() {
            if lent.tx.is_ready() {
                return Some(lent);
            }
        }
        None
    }

    /// Gives a connection back whose last exchange ended cleanly.
    pub(crate) fn put_back(&self, lent: Lent) {
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
    async fn take_or_wait(self: &Arc<Self>) -> Result<Lent> {
        loop {
            let mut freed = pin!(self.freed.notified());
            freed.as_mut().enable();
            if let Some(lent) = self.take_idle() {
                return Ok(lent);
            }
            if let Some(slot) = self.reserve() {
                return self.open_in(slot, self.common.opts.connect_timeout).await;
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
    async fn open_in(self: &Arc<Self>, slot: Slot, limit: Duration) -> Result<Lent> {
        let (tx, driver) = connect(self.decl.addr, self.common.opts.source, limit).await?;
        let sink = Arc::clone(&self.common.sink);
        let name = self.decl.name.clone();
        let kept = Arc::new(AtomicBool::new(true));
        let seen = Arc::clone(&kept);
        self.common.opened();
        sink.event(Event::Connection(name.clone(), true));
        tokio::spawn(async move {
            if let Err(e) = driver.await {
                log::debug!("event=backend-connection-ended server={name} error=\"{e}\"");
            }
            drop(slot);
            if seen.load(Ordering::Relaxed) {
                sink.event(Event::Lost(name.clone()));
            }
            sink.event(Event::Connection(name, false));
        });
        Ok(Lent { tx, kept })
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
    lane: Arc<Lane>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut s = self.lane.state();
        s.open = s.open.saturating_sub(1);
        drop(s);
        self.lane.freed.notify_one();
    }
}
