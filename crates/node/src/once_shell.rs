//! The I/O driver (shell) of the claims: performs their actions.

use std::time::Duration;

use gs_clock::unix_seconds;
use gs_once::Action;
use gs_once::Event;
use gs_once::IdempotencyClaims;

use crate::feeds::Feeds;
use crate::message::Message;
use crate::peer_sender::PeerSender;
use crate::platform_calls::PlatformCalls;
use crate::platform_calls::store_error;
use crate::platform_calls::to_stored;
use gs_actor::EventTime;
use gs_actor::Feed;
use gs_actor::Machine;
use gs_actor::Shell;

impl Machine<OnceShell> for IdempotencyClaims {
    type Event = Event;
    type Action = Action;

    fn on(&mut self, at: EventTime<'_>, ev: Event, out: &mut Vec<Action>) {
        IdempotencyClaims::on(self, at.now, unix_seconds(at.clock), ev, out);
    }

    fn tick_event() -> Event {
        Event::Tick
    }
}

/// The I/O driver (shell) of the claims: performs their actions.
pub(crate) struct OnceShell {
    pub(crate) calls: PlatformCalls,
    pub(crate) feeds: Feeds,
    pub(crate) peer_sender: PeerSender,
}

impl Shell<IdempotencyClaims> for OnceShell {
    fn perform(&mut self, action: Action, feed: &Feed<Event>) -> Option<Duration> {
        let feed = feed.clone();
        match action {
            Action::Read { path } => self.calls.read(path.clone(), move |r| {
                let result = r.map(|o| o.map(to_stored)).map_err(|e| store_error(&e));
                feed.push(Event::Read { path, result });
            }),
            Action::Write {
                path,
                if_version,
                content,
            } => {
                self.calls
                    .write(path.clone(), if_version, content, move |r| {
                        let result = r.map(|v| v.0).map_err(|e| store_error(&e));
                        feed.push(Event::Wrote { path, result });
                    });
            }
            Action::Remove { path, if_version } => {
                self.calls.delete(path.clone(), if_version, move |r| {
                    let result = r.map(|_| ()).map_err(|e| store_error(&e));
                    feed.push(Event::Removed { path, result });
                });
            }
            Action::Send(vm, msg) => self.peer_sender.send(&vm, &Message::Claim(msg)),
            Action::Decision(seq, decision) => {
                self.feeds
                    .engine
                    .push(gs_query::Event::Claim(seq, decision));
            }
            Action::Wake(after) => return Some(after),
        }
        None
    }
}
