//! The I/O driver (shell) of the relay: performs the actions that it returns.

use std::sync::Arc;
use std::time::Duration;

use gs_actor::EventTime;
use gs_actor::Feed;
use gs_actor::Machine;
use gs_actor::Shell;
use gs_relay::Action;
use gs_relay::Event;
use gs_relay::Relay;
use gs_types::prelude::*;
use tokio::time::Instant;

use crate::connection_pools::ConnectionPools;
use crate::directory::Directory;
use crate::relay_client::PendingRequests;

impl Machine<RelayShell> for Relay {
    type Event = Event;
    type Action = Action;

    fn on(&mut self, at: EventTime<'_>, ev: Event, out: &mut Vec<Action>) {
        Relay::on(self, at.now, ev, out);
    }

    fn tick_event() -> Event {
        Event::Tick
    }

    fn caught_up_event() -> Option<Event> {
        Some(Event::CaughtUp)
    }
}

/// The I/O driver (shell) of the relay: performs the actions that it returns.
pub(crate) struct RelayShell {
    pub(crate) connection_pools: Arc<ConnectionPools>,
    pub(crate) pending: Arc<PendingRequests>,
    pub(crate) directory: Arc<dyn Directory>,
}

/// How long a request that crashes servers stays listed in the directory; VMs that learn of it quarantine it for the
/// same time.
const QUARANTINE_DURATION: Duration = Duration::from_secs(30);

impl RelayShell {
    /// Lists a request in the directory for the other VMs, also after the directory is restored from an older copy, and
    /// removes it after [`QUARANTINE_DURATION`].
    fn quarantine(&self, request: Fingerprint) {
        let directory = Arc::clone(&self.directory);
        tokio::spawn(async move {
            let until = Instant::now() + QUARANTINE_DURATION;
            let mut eras = directory.eras();
            loop {
                let era = *eras.borrow_and_update();
                if let Err(e) = directory.quarantine(request).await {
                    log::warn!("event=quarantine-untold request={request} error=\"{e}\"");
                    return;
                }
                let restored = eras.wait_for(|later| *later > era);
                if tokio::time::timeout_at(until, restored).await.is_err() {
                    break;
                }
            }
            if let Err(e) = directory.release(request).await {
                log::info!("event=release-failed request={request} error=\"{e}\"");
            }
        });
    }
}

impl Shell<Relay> for RelayShell {
    fn perform(&mut self, action: Action, _: &Feed<Event>) -> Option<Duration> {
        match action {
            Action::Send(d) => self.connection_pools.send(d),
            Action::Cancel(id) => self.connection_pools.cancel(id),
            Action::Answer(seq, report) => self.pending.complete(seq, *report),
            Action::Quarantine(request) => self.quarantine(request),
            Action::Wake(after) => return Some(after),
            Action::Connect {
                server,
                connections_min,
                connections_max,
            } => self
                .connection_pools
                .connect(&server, connections_min, connections_max),
            Action::Disconnect(server) => self.connection_pools.disconnect(&server),
        }
        None
    }
}
