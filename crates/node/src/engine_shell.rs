//! Carries out what the engine asks for.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_http::Pool;
use gs_http::Sink;
use gs_query::Action;
use gs_query::Engine;
use gs_query::Event;

use crate::board::Board;
use crate::desk::Pending;
use crate::feeds::Feeds;
use crate::recording::Recording;
use crate::spread::Spread;
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

/// Hands what happens on connections to the engine.
pub(crate) struct EngineSink(pub(crate) Feed<Event>);

impl Sink for EngineSink {
    fn event(&self, ev: Event) {
        self.0.push(ev);
    }
}

/// Carries out what the engine asks for.
pub(crate) struct EngineShell {
    pub(crate) pool: Arc<Pool>,
    pub(crate) pending: Arc<Pending>,
    pub(crate) board: Arc<Board>,
    pub(crate) feeds: Feeds,
    pub(crate) spread: Spread,
    pub(crate) recording: Arc<Recording>,
}

impl Shell<Engine> for EngineShell {
    fn before_event(&mut self, now: Instant, ev: &Event) {
        self.recording.event(now, ev);
    }

    fn perform(&mut self, action: Action, _: &Feed<Event>) -> Option<Duration> {
        self.recording.acted(&action);
        match action {
            Action::Dispatch(d) => self.pool.dispatch(d),
            Action::Cancel(id) => self.pool.cancel(&id),
            Action::Claim(ask) => self.feeds.once.push(gs_once::Event::ClaimRequested(ask)),
            Action::Answer(seq, outcome) => self.pending.settle(seq, outcome),
            Action::Wake(after) => return Some(after),
            Action::Warm(name, n) => {
                if let Some(server) = self.board.server(&name) {
                    self.pool.warm(&server, n);
                }
            }
            Action::Spread(sign) => {
                log::info!("event=spread sign=\"{sign:?}\"");
                self.spread.sign(sign);
            }
        }
        None
    }
}
