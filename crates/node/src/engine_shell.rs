//! The I/O driver (shell) of the query engine: performs its actions.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_http::ConnectionPools;
use gs_http::EventSink;
use gs_query::Action;
use gs_query::Engine;
use gs_query::Event;

use crate::engine_client::PendingLookups;
use crate::feeds::Feeds;
use crate::peer_sender::PeerSender;
use crate::recording::Recording;
use crate::shared_state::SharedState;
use gs_actor::EventTime;
use gs_actor::Feed;
use gs_actor::Machine;
use gs_actor::Shell;

impl Machine<EngineShell> for Engine {
    type Event = Event;
    type Action = Action;

    fn on(&mut self, at: EventTime<'_>, ev: Event, out: &mut Vec<Action>) {
        Engine::on(self, at.now, ev, out);
    }

    fn tick_event() -> Event {
        Event::Tick
    }
}

/// Passes the events of connections to backend servers to the engine.
pub(crate) struct EngineSink(pub(crate) Feed<Event>);

impl EventSink for EngineSink {
    fn on_event(&self, ev: Event) {
        self.0.push(ev);
    }
}

/// The I/O driver (shell) of the query engine: performs its actions.
pub(crate) struct EngineShell {
    pub(crate) pool: Arc<ConnectionPools>,
    pub(crate) pending: Arc<PendingLookups>,
    pub(crate) state: Arc<SharedState>,
    pub(crate) feeds: Feeds,
    pub(crate) peer_sender: PeerSender,
    pub(crate) recording: Arc<Recording>,
}

impl Shell<Engine> for EngineShell {
    fn before_event(&mut self, now: Instant, ev: &Event) {
        self.recording.record_event(now, ev);
    }

    fn perform(&mut self, action: Action, _: &Feed<Event>) -> Option<Duration> {
        self.recording.record_action(&action);
        match action {
            Action::Dispatch(d) => self.pool.dispatch(d),
            Action::Cancel(id) => self.pool.cancel(&id),
            Action::Claim(claim) => self.feeds.once.push(gs_once::Event::ClaimRequested(claim)),
            Action::Answer(seq, outcome) => self.pending.complete(seq, outcome),
            Action::Wake(after) => return Some(after),
            Action::Warm(name, n) => {
                if let Some(server) = self.state.server(&name) {
                    self.pool.open_at_least(&server, n);
                }
            }
            Action::Check(name) => {
                if let Some(server) = self.state.server(&name) {
                    self.pool.check(&server);
                }
            }
            Action::Spread(notice) => {
                log::info!("event=spread sign=\"{notice:?}\"");
                self.peer_sender.broadcast_notice(notice);
            }
        }
        None
    }
}
