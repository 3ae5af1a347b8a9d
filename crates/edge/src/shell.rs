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

use crate::connection_pools::ConnectionPools;
use crate::crash_news::CrashNews;
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
    pub(crate) crash_news: Arc<CrashNews>,
}

impl Shell<Relay> for RelayShell {
    fn perform(&mut self, action: Action, feed: &Feed<Event>) -> Option<Duration> {
        match action {
            Action::Send(d) => self.connection_pools.send(d),
            Action::Cancel(id) => self.connection_pools.cancel(id),
            Action::Answer(seq, report) => self.pending.complete(seq, *report),
            Action::Publish { verdict, peers } => self.crash_news.publish(verdict, peers),
            Action::ReportCrash {
                candidates,
                copies,
                report,
            } => self.crash_news.report(&candidates, copies, report, feed),
            Action::Superseded(request) => self.crash_news.stop_listing(request),
            Action::Unlist(request) => self.crash_news.unlist(request),
            Action::Wake(after) => return Some(after),
            Action::Connect {
                server,
                connections_min,
                connections_max,
            } => self
                .connection_pools
                .connect(&server, connections_min, connections_max),
            Action::CheckServer(server) => self.connection_pools.check(&server),
            Action::Disconnect(server) => self.connection_pools.disconnect(&server),
        }
        None
    }
}
