//! The graceful end of a process: no request cut, no share kept.

use std::sync::Arc;
use std::time::Duration;

use gs_clock::Clock;
use gs_http::ConnectionPools;
use gs_http::ServerState;
use gs_query::Engine;
use gs_settings::Shutdown;
use gs_types::prelude::*;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::board::Board;
use crate::feeds::Feeds;
use gs_actor::Shared;
use gs_actor::lock;

/// How often it is looked whether everything has finished.
const LOOK: Duration = Duration::from_millis(10);

/// The longest that giving shares back may take, once nothing is in flight.
const RELEASE_MAX: Duration = Duration::from_millis(700);

/// Ends a process.
pub(crate) struct Leaver {
    pub(crate) cfg: Shutdown,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) board: Arc<Board>,
    pub(crate) feeds: Feeds,
    pub(crate) engine: Shared<Engine>,
    pub(crate) pool: Arc<ConnectionPools>,
    pub(crate) callers: Arc<ServerState>,
    pub(crate) stop: watch::Sender<bool>,
    pub(crate) serving: JoinHandle<()>,
}

/// The signals that tell a process to leave: SIGTERM and SIGINT.
///
/// They are installed before the process listens. A signal that comes earlier would otherwise end it
/// at once, and one that comes again while it leaves must change nothing: only the deadline cuts.
pub(crate) struct Signals {
    term: Signal,
    int: Signal,
}

impl Signals {
    /// Begins to receive them.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if signals cannot be received.
    pub(crate) fn install() -> Result<Self> {
        let failed =
            |e: std::io::Error| Error::new(ErrorKind::Io, e.to_string()).at("await signals");
        Ok(Self {
            term: signal(SignalKind::terminate()).map_err(failed)?,
            int: signal(SignalKind::interrupt()).map_err(failed)?,
        })
    }

    /// Waits for the first.
    pub(crate) async fn first(mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}

impl Leaver {
    /// Leaves: unready first, then a lag, then no new lookups, then the rest finished.
    pub(crate) async fn leave(self) {
        let start = self.clock.now();
        log::info!("event=leaving step=unready");
        self.board.set_leaving();
        self.callers.announce_close();
        self.feeds.member.push(gs_member::Event::Leave);
        tokio::time::sleep(self.cfg.lag).await;
        log::info!("event=leaving step=stop-accepting");
        let _ = self.stop.send(true);
        let left = self.cfg.deadline.saturating_sub(self.clock.now() - start);
        match tokio::time::timeout(left, self.finish()).await {
            Ok(()) => log::info!("event=left step=finished"),
            Err(_) => log::warn!("event=left step=deadline hint=\"raise shutdown.deadline\""),
        }
    }

    async fn finish(self) {
        let _ = self.serving.await;
        self.feeds.engine.push(gs_query::Event::Leave);
        while lock(&self.engine).in_flight() > 0 {
            tokio::time::sleep(LOOK).await;
        }
        let _ = tokio::time::timeout(RELEASE_MAX, release(&self.pool, &self.feeds)).await;
    }
}

/// Closes every connection to backend servers, then says so, for others to take the shares.
async fn release(pool: &ConnectionPools, feeds: &Feeds) {
    pool.close();
    while !pool.is_within_shares() {
        tokio::time::sleep(LOOK).await;
    }
    feeds.member.push(gs_member::Event::Released);
    tokio::time::sleep(RELEASE_MAX).await;
}
