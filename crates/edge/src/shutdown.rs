//! The graceful end of a process: no request cut.

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
use crate::state::State;

/// How often it is looked whether everything has finished.
const LOOK: Duration = Duration::from_millis(20);

/// The signals that a process takes.
///
/// They are installed before the process listens: one that comes earlier would end it at once.
pub(crate) struct Signals {
    term: Signal,
    int: Signal,
    pub(crate) hup: Signal,
}

impl Signals {
    /// Begins to receive them.
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

    /// Splits off the signal that asks to read the settings again.
    pub(crate) fn split(self) -> (Ending, Signal) {
        let ending = Ending {
            term: self.term,
            int: self.int,
        };
        (ending, self.hup)
    }
}

/// The signals that tell a process to leave.
pub(crate) struct Ending {
    term: Signal,
    int: Signal,
}

impl Ending {
    /// Waits for the first.
    pub(crate) async fn first(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}

/// Ends a process.
pub(crate) struct Leaver {
    pub(crate) cfg: Shutdown,
    pub(crate) vm: VmId,
    pub(crate) directory: Arc<dyn Directory>,
    pub(crate) state: Arc<State>,
    pub(crate) relay: Shared<Relay>,
    pub(crate) callers: Arc<ServerState>,
    pub(crate) stop: watch::Sender<bool>,
    pub(crate) serving: JoinHandle<()>,
}

impl Leaver {
    /// Leaves: unready first, then a lag, then no new connections, then the rest finished.
    pub(crate) async fn leave(self) {
        let begun = Instant::now();
        log::info!("event=leaving step=unready");
        self.state.set_leaving();
        self.callers.announce_close();
        // It goes on beside the rest: a platform that is away must not hold a leaving process up.
        let (vm, directory) = (self.vm.clone(), Arc::clone(&self.directory));
        tokio::spawn(async move {
            if let Err(e) = directory.withdraw(&vm).await {
                log::info!("event=withdraw-failed error=\"{e}\"");
            }
        });
        tokio::time::sleep(self.cfg.lag).await;
        log::info!("event=leaving step=stop-accepting");
        let _ = self.stop.send(true);
        let left = self.cfg.deadline.saturating_sub(begun.elapsed());
        let finish = async {
            // The listener's task ends by itself; its result tells nothing more.
            drop(self.serving.await);
            while lock(&self.relay).in_flight() > 0 {
                tokio::time::sleep(LOOK).await;
            }
        };
        match tokio::time::timeout(left, finish).await {
            Ok(()) => log::info!("event=left step=finished"),
            Err(_) => log::warn!("event=left step=deadline hint=\"raise shutdown.deadline\""),
        }
    }
}
