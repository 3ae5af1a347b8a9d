//! Graceful shutdown of a process, which lets requests in flight complete.

use std::sync::Arc;
use std::time::Duration;

use gs_actor::Feed;
use gs_actor::Shared;
use gs_actor::lock;
use gs_http::ServerState;
use gs_http::wait_until_unused;
use gs_relay::Event;
use gs_relay::Relay;
use gs_types::prelude::*;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::shared_state::SharedState;
use crate::shutdown_settings::Shutdown;

/// The time between two checks whether requests are still in flight.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time without a connection after which a VM is taken to be out of the balancer's rotation: a balancer without a
/// ready VM continues to use those that are not.
const UNUSED_MIN: Duration = Duration::from_secs(1);

/// The least time for writing the final responses.
const WRITE_TIME_MIN: Duration = Duration::from_millis(100);

/// The signals that a process handles.
///
/// The handlers are installed before the process listens: an earlier signal would kill it at once.
pub(crate) struct Signals {
    term: Signal,
    int: Signal,
    pub(crate) hup: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] if signals cannot be received.
    pub(crate) fn install() -> Result<Self> {
        let on = |kind| {
            signal(kind).map_err(|e| Error::new(ErrorKind::Io, e.to_string()).at("await signals"))
        };
        Ok(Self {
            term: on(SignalKind::terminate())?,
            int: on(SignalKind::interrupt())?,
            hup: on(SignalKind::hangup())?,
        })
    }

    /// Splits off the signal that requests a reload of the settings.
    pub(crate) fn split(self) -> (StopSignals, Signal) {
        let stop_signals = StopSignals {
            term: self.term,
            int: self.int,
        };
        (stop_signals, self.hup)
    }
}

/// The signals that request a shutdown: SIGTERM and SIGINT.
pub(crate) struct StopSignals {
    term: Signal,
    int: Signal,
}

impl StopSignals {
    /// Waits for the first of them.
    pub(crate) async fn recv(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}

/// The graceful shutdown of a process.
pub(crate) struct GracefulShutdown {
    pub(crate) cfg: Shutdown,
    pub(crate) vm: VmId,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) state: Arc<SharedState>,
    pub(crate) relay: Shared<Relay>,
    pub(crate) feed: Feed<Event>,
    pub(crate) callers: Arc<ServerState>,
    pub(crate) stop: watch::Sender<bool>,
    pub(crate) serving: JoinHandle<()>,
}

impl GracefulShutdown {
    /// Shuts down: first reports not ready and serves on, then gives every request its final response, stops accepting
    /// connections and exits when the responses are written.
    ///
    /// Callers close their connections once a response announces it. A connection without a request stays open until
    /// the end: to close it sooner would lose a request that its caller sends at that moment.
    pub(crate) async fn run(self) {
        let start = Instant::now();
        let answer_by = start + self.cfg.answer_after();
        let exit_by = start + self.cfg.exit_after();
        log::info!("event=leaving step=unready");
        self.state.set_shutting_down(answer_by);
        self.feed.push(Event::ShutDown(answer_by.into_std()));
        self.callers.announce_close();
        // Runs concurrently: an unreachable platform must not delay the shutdown.
        let (vm, directory) = (self.vm.clone(), Arc::clone(&self.directory));
        tokio::spawn(async move {
            if let Err(e) = directory.withdraw(&vm).await {
                log::info!("event=withdraw-failed error=\"{e}\"");
            }
        });
        let unused = wait_until_unused(&self.callers, start + self.cfg.lag(), UNUSED_MIN, || {
            self.in_flight()
        });
        // The result only tells which came first.
        let _ = tokio::time::timeout_at(answer_by, unused).await;
        log::info!(
            "event=leaving step=stop-accepting connections={} in_flight={}",
            self.callers.open(),
            self.in_flight()
        );
        let _ = self.stop.send(true);
        let (callers, relay) = (Arc::clone(&self.callers), Arc::clone(&self.relay));
        // After a pause of the process both times may have passed with responses still to be written.
        let exit_by = exit_by.max(Instant::now() + WRITE_TIME_MIN);
        match tokio::time::timeout_at(exit_by, self.finish()).await {
            Ok(()) => log::info!("event=left step=finished"),
            Err(_) => log::warn!(
                "event=left step=deadline connections={} in_flight={} hint=\"raise shutdown.grace\"",
                callers.open(),
                lock(&relay).in_flight()
            ),
        }
    }

    /// Waits until all responses are written.
    async fn finish(self) {
        if let Err(e) = self.serving.await {
            log::error!("event=callers-failed error=\"{e}\"");
        }
        while lock(&self.relay).in_flight() > 0 {
            tokio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
        }
        // The last pages for peers are written meanwhile.
        tokio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
    }

    fn in_flight(&self) -> usize {
        lock(&self.relay).in_flight()
    }
}
