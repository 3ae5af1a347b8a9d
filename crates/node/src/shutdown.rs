//! Graceful shutdown of a process: finishes the lookups in flight and releases its shares of connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use gs_admin::AdminServer;
use gs_clock::Clock;
use gs_http::CallerHandler;
use gs_http::ConnectionPools;
use gs_http::ServerState;
use gs_http::wait_until_unused;
use gs_query::Engine;
use gs_settings::Shutdown;
use gs_types::prelude::*;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout_at;

use crate::feeds::Feeds;
use crate::shared_state::SharedState;
use crate::shutdown_times::ShutdownTimes;
use gs_actor::Shared;
use gs_actor::lock;

/// The time between two checks whether lookups are in flight or connections are open.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The time without a connection after which a VM is taken to be out of the balancer's rotation: a balancer without a
/// ready VM continues to use those that are not.
const UNUSED_MIN: Duration = Duration::from_secs(1);

/// The graceful shutdown of a process.
pub(crate) struct GracefulShutdown {
    pub(crate) cfg: Shutdown,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) state: Arc<SharedState>,
    pub(crate) feeds: Feeds,
    pub(crate) engine: Shared<Engine>,
    pub(crate) pool: Arc<ConnectionPools>,
    pub(crate) callers: Arc<ServerState>,
    pub(crate) handler: Arc<CallerHandler>,
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
    /// Shuts down: first reports not ready and serves on, then gives every lookup its outcome, stops accepting
    /// connections, writes the responses out and releases the shares of connections.
    ///
    /// Callers close their connections once a response announces it. A connection without a request stays open until
    /// the end: to close it sooner would lose a lookup that its caller sends at that moment.
    pub(crate) async fn run(self, admin: AdminServer) {
        let now = self.clock.now();
        let times = ShutdownTimes::new(&self.cfg, now);
        log::info!("event=leaving step=unready");
        self.state.set_leaving();
        self.feeds
            .engine
            .push(gs_query::Event::ShutDown(times.answer_by - now));
        self.handler.stop_reading_at(times.answer_by.into());
        self.callers.announce_close();
        self.feeds.membership.push(gs_member::Event::Leave);
        let in_flight = || lock(&self.engine).in_flight();
        let unused = wait_until_unused(
            &self.callers,
            times.serve_until.into(),
            UNUSED_MIN,
            in_flight,
        );
        // The result only tells which came first.
        let _ = timeout_at(times.answer_by.into(), unused).await;
        log::info!(
            "event=leaving step=stop-accepting in_flight={} connections={}",
            in_flight(),
            self.callers.open()
        );
        let _ = self.stop.send(true);
        let (engine, callers) = (Arc::clone(&self.engine), Arc::clone(&self.callers));
        let written = write_responses(self.serving, &engine, &callers);
        let is_written = timeout_at(times.written_by.into(), written).await.is_ok();
        let (in_flight, connections) = (lock(&engine).in_flight(), callers.open());
        if is_written {
            log::info!("event=left step=finished in_flight={in_flight} connections={connections}");
        } else {
            log::warn!(
                "event=left step=deadline in_flight={in_flight} connections={connections} \
                 hint=\"raise shutdown.deadline\""
            );
        }
        self.feeds.engine.push(gs_query::Event::Leave);
        let released_by = times.release_until(self.clock.now()).into();
        // An operator's client that never reads its response must not keep the process from exiting.
        let (_, _) = tokio::join!(
            timeout_at(released_by, release(&self.pool, &self.feeds)),
            timeout_at(released_by, admin.stop()),
        );
    }
}

/// Waits until all lookups have their outcomes and all responses are written.
async fn write_responses(serving: JoinHandle<()>, engine: &Shared<Engine>, callers: &ServerState) {
    if let Err(e) = serving.await {
        log::error!("event=callers-failed error=\"{e}\"");
    }
    while lock(engine).in_flight() > 0 || callers.open() > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Closes all connections to backend servers, then reports it, so that other VMs can use the shares.
///
/// Afterwards it waits until its timeout cancels it, so that the report can be sent.
async fn release(pool: &ConnectionPools, feeds: &Feeds) -> Infallible {
    pool.close();
    while !pool.is_within_shares() {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    feeds.membership.push(gs_member::Event::Released);
    std::future::pending().await
}
