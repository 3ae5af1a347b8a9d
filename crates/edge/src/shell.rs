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

use crate::desk::Pending;
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
}

/// Carries out what the relay asks for.
pub(crate) struct RelayShell {
    pub(crate) lanes: Arc<Lanes>,
    pub(crate) pending: Arc<Pending>,
}

impl Shell<Relay> for RelayShell {
    fn perform(&mut self, action: Action, _: &Feed<Event>) -> Option<Duration> {
        match action {
            Action::Send(d) => self.lanes.send(d),
            Action::Cancel(id) => self.lanes.cancel(id),
            Action::Answer(seq, ending) => self.pending.settle(seq, *ending),
            Action::Wake(after) => return Some(after),
            Action::Connect { server, warm, most } => self.lanes.connect(&server, warm, most),
            Action::Disconnect(server) => self.lanes.disconnect(&server),
        }
        None
    }
}
