//! Graceful shutdown of a process, which lets requests in flight complete.

use std::sync::Arc;
use std::time::Duration;

use gs_actor::Shared;
use gs_actor::lock;
use gs_http::ServerState;
use gs_relay::Relay;
use gs_types::prelude::*;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::settings::Shutdown;
use crate::shared_state::SharedState;

/// The time between two checks whether requests are still in flight.
const IN_FLIGHT_POLL_INTERVAL: Duration = Duration::from_millis(20);

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
    pub(crate) callers: Arc<ServerState>,
    pub(crate) stop: watch::Sender<bool>,
    pub(crate) serving: JoinHandle<()>,
}

impl GracefulShutdown {
    /// Shuts down: first reports not ready, after a lag stops accepting connections, then waits for the requests in
    /// flight, until the deadline at the latest.
    pub(crate) async fn run(self) {
        let start = Instant::now();
        log::info!("event=leaving step=unready");
        self.state.set_shutting_down();
        self.callers.announce_close();
        // Runs concurrently: an unreachable platform must not delay the shutdown.
        let (vm, directory) = (self.vm.clone(), Arc::clone(&self.directory));
        tokio::spawn(async move {
            if let Err(e) = directory.withdraw(&vm).await {
                log::info!("event=withdraw-failed error=\"{e}\"");
            }
        });
        tokio::time::sleep(self.cfg.lag).await;
        log::info!(
            "event=leaving step=stop-accepting connections={} in_flight={}",
            self.callers.open(),
            lock(&self.relay).in_flight()
        );
        let _ = self.stop.send(true);
        let left = self.cfg.deadline.saturating_sub(start.elapsed());
        let drain = async {
            // The listener's task ends by itself; its result carries no information.
            drop(self.serving.await);
            while lock(&self.relay).in_flight() > 0 {
                tokio::time::sleep(IN_FLIGHT_POLL_INTERVAL).await;
            }
        };
        match tokio::time::timeout(left, drain).await {
            Ok(()) => log::info!("event=left step=finished"),
            Err(_) => log::warn!(
                "event=left step=deadline connections={} in_flight={} hint=\"raise shutdown.deadline\"",
                self.callers.open(),
                lock(&self.relay).in_flight()
            ),
        }
    }
}
