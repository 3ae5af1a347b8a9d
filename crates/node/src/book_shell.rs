//! Carries out what the book of patches asks for.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use gs_conf::Action;
use gs_conf::CURRENT_PATH;
use gs_conf::CallId;
use gs_conf::ConfigManager;
use gs_conf::Event;
use gs_conf::PatchOutcome;
use gs_conf::ReadResult;
use gs_conf::WriteResult;
use gs_store::Object;
use gs_types::prelude::*;
use tokio::sync::oneshot;

use crate::calls::Calls;
use crate::feeds::Feeds;
use crate::message::Message;
use crate::spread::Spread;
use gs_actor::EventTime;
use gs_actor::Feed;
use gs_actor::Machine;
use gs_actor::Shell;
use gs_actor::lock;

impl Machine<BookShell> for ConfigManager {
    type Event = Event;
    type Action = Action;

    fn on(&mut self, at: EventTime<'_>, ev: Event, out: &mut Vec<Action>) {
        ConfigManager::on(self, at.now, ev, out);
    }

    fn tick_event() -> Event {
        Event::Tick
    }
}

/// The operators that wait for a verdict.
#[derive(Default)]
pub(crate) struct Asks(Mutex<HashMap<CallId, oneshot::Sender<PatchOutcome>>>);

impl Asks {
    pub(crate) fn insert(&self, ask: CallId, tx: oneshot::Sender<PatchOutcome>) {
        lock(&self.0).insert(ask, tx);
    }

    fn settle(&self, ask: CallId, verdict: PatchOutcome) {
        if let Some(tx) = lock(&self.0).remove(&ask) {
            let _ = tx.send(verdict);
        }
    }
}

/// Carries out what the book of patches asks for.
pub(crate) struct BookShell {
    pub(crate) calls: Calls,
    pub(crate) feeds: Feeds,
    pub(crate) spread: Spread,
    pub(crate) asks: Arc<Asks>,
}

impl Shell<ConfigManager> for BookShell {
    fn perform(&mut self, action: Action, feed: &Feed<Event>) -> Option<Duration> {
        match action {
            Action::Read => {
                let feed = feed.clone();
                self.calls.read(CURRENT_PATH.to_owned(), move |r| {
                    feed.push(Event::Read(found(r)))
                });
            }
            Action::Write {
                id,
                path,
                if_version,
                content,
            } => {
                let feed = feed.clone();
                let content = content.as_bytes().to_vec();
                self.calls.write(path, if_version, content, move |r| {
                    feed.push(Event::Wrote(id, written(r.map(|v| v.0))));
                });
            }
            Action::Prune(path) => self.calls.prune(path),
            Action::Send(vm, msg) => self.spread.send(&vm, &Message::Conf(msg)),
            Action::Broadcast(msg) => self.spread.broadcast(&Message::Conf(msg)),
            Action::Apply(config) => {
                log::info!("event=config-in-force version={}", config.version);
                self.feeds.engine.push(gs_query::Event::Config(config));
            }
            Action::Doubt(touched) => {
                log::info!("event=config-in-doubt lookups=\"{touched:?}\"");
            }
            Action::Verdict(ask, verdict) => self.asks.settle(ask, verdict),
            Action::Wake(after) => return Some(after),
        }
        None
    }
}

/// What reading the object gave, as the book takes it.
pub(crate) fn found(r: Result<Option<Object>>) -> ReadResult {
    match r {
        Ok(Some(o)) => match std::str::from_utf8(&o.content) {
            Ok(text) => ReadResult::Found {
                object: o.version.0,
                content: text.into(),
            },
            Err(e) => {
                log::error!("event=config-not-text path={CURRENT_PATH} error=\"{e}\"");
                ReadResult::Failed
            }
        },
        Ok(None) => ReadResult::Missing,
        Err(_) => ReadResult::Failed,
    }
}

fn written(r: Result<u64>) -> WriteResult {
    match r {
        Ok(v) => WriteResult::Done(v),
        Err(e) => match e.kind() {
            ErrorKind::Conflict => WriteResult::Conflict,
            ErrorKind::Unknown => WriteResult::Unknown,
            _ => WriteResult::Failed,
        },
    }
}
