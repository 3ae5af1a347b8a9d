//! Carries out what the relay asks for.

use std::sync::Arc;
use std::time::Duration;

use gs_actor::Feed;
use gs_actor::Machine;
use gs_actor::Shell;
use gs_actor::Times;
use gs_relay::Action;
use gs_relay::Event;
use gs_relay::Relay;
use gs_types::prelude::*;

use crate::desk::Pending;
use crate::directory::Directory;
use crate::lanes::Lanes;

impl Machine<RelayShell> for Relay {
    type Event = Event;
    type Action = Action;

    fn on(&mut self, at: Times<'_>, ev: Event, out: &mut Vec<Action>) {
        Relay::on(self, at.now, ev, out);
    }

    fn tick() -> Event {
        Event::Tick
    }

    fn caught_up() -> Option<Event> {
        Some(Event::CaughtUp)
    }
}

/// Carries out what the relay asks for.
pub(crate) struct RelayShell {
    pub(crate) lanes: Arc<Lanes>,
    pub(crate) pending: Arc<Pending>,
    pub(crate) directory: Arc<dyn Directory>,
}

/// How long a request that crashes servers stays noted; VMs that hear of it refuse it for as long.
const NOTED_FOR: Duration = Duration::from_secs(30);

impl RelayShell {
    /// Notes a request for the other VMs, and takes the note back later.
    fn quarantine(&self, request: Fingerprint) {
        let directory = Arc::clone(&self.directory);
        tokio::spawn(async move {
            if let Err(e) = directory.quarantine(request).await {
                log::warn!("event=quarantine-untold request={request} error=\"{e}\"");
                return;
            }
            tokio::time::sleep(NOTED_FOR).await;
            if let Err(e) = directory.release(request).await {
                log::info!("event=release-failed request={request} error=\"{e}\"");
            }
        });
    }
}

impl Shell<Relay> for RelayShell {
    fn perform(&mut self, action: Action, _: &Feed<Event>) -> Option<Duration> {
        match action {
            Action::Send(d) => self.lanes.send(d),
            Action::Cancel(id) => self.lanes.cancel(id),
            Action::Answer(seq, ending) => self.pending.settle(seq, *ending),
            Action::Quarantine(request) => self.quarantine(request),
            Action::Wake(after) => return Some(after),
            Action::Connect {
                server,
                connections_min,
                connections_max,
            } => self
                .lanes
                .connect(&server, connections_min, connections_max),
            Action::Disconnect(server) => self.lanes.disconnect(&server),
        }
        None
    }
}
