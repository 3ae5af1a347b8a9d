//! Graceful shutdown of a process: finishes the lookups in flight and releases its shares of connections.

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

use crate::feeds::Feeds;
use crate::shared_state::SharedState;
use gs_actor::Shared;
use gs_actor::lock;

/// The time between two checks whether lookups are in flight or connections are open.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The time for releasing the shares of connections, once no lookup is in flight. It is always used in full, so that
/// the report of the release can be sent.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(700);

/// The graceful shutdown of a process.
pub(crate) struct GracefulShutdown {
    pub(crate) cfg: Shutdown,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) state: Arc<SharedState>,
    pub(crate) feeds: Feeds,
    pub(crate) engine: Shared<Engine>,
    pub(crate) pool: Arc<ConnectionPools>,
    pub(crate) callers: Arc<ServerState>,
    pub(crate) stop: watch::Sender<bool>,
    pub(crate) serving: JoinHandle<()>,
}

/// The signals that request a shutdown: SIGTERM and SIGINT.
///
/// The handlers are installed before the process listens, because an earlier signal would kill it at
/// once. Further signals during the shutdown have no effect: only the deadline ends it early.
pub(crate) struct StopSignals {
    term: Signal,
    int: Signal,
}

impl StopSignals {
    /// Installs the signal handlers.
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

    /// Waits for the first signal.
    pub(crate) async fn recv(mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}

impl GracefulShutdown {
    /// Shuts down: first reports not ready, after a lag stops accepting connections, then waits for the lookups in
    /// flight and releases the shares, until the deadline at the latest.
    pub(crate) async fn run(self) {
        let start = self.clock.now();
        log::info!("event=leaving step=unready");
        self.state.set_leaving();
        self.callers.announce_close();
        self.feeds.membership.push(gs_member::Event::Leave);
        tokio::time::sleep(self.cfg.lag).await;
        log::info!("event=leaving step=stop-accepting");
        let _ = self.stop.send(true);
        let left = self.cfg.deadline.saturating_sub(self.clock.now() - start);
        match tokio::time::timeout(left, self.finish()).await {
            Ok(()) => log::info!("event=left step=finished"),
            Err(_) => log::warn!("event=left step=deadline hint=\"raise shutdown.deadline\""),
        }
    }

    /// Waits for the lookups in flight, then releases the shares.
    async fn finish(self) {
        let _ = self.serving.await;
        self.feeds.engine.push(gs_query::Event::Leave);
        while lock(&self.engine).in_flight() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, release(&self.pool, &self.feeds)).await;
    }
}

/// Closes all connections to backend servers, then reports it, so that other VMs can use the shares.
///
/// Afterwards it waits until the timeout of [`RELEASE_TIMEOUT`] cancels it, so that the report can be sent.
async fn release(pool: &ConnectionPools, feeds: &Feeds) {
    pool.close();
    while !pool.is_within_shares() {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    feeds.membership.push(gs_member::Event::Released);
    tokio::time::sleep(RELEASE_TIMEOUT).await;
}
