//! The I/O driver (shell) of the configuration manager: performs its actions.

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

use crate::feeds::Feeds;
use crate::message::Message;
use crate::peer_sender::PeerSender;
use crate::platform_calls::PlatformCalls;
use gs_actor::EventTime;
use gs_actor::Feed;
use gs_actor::Machine;
use gs_actor::Shell;
use gs_actor::lock;

impl Machine<ConfigManagerShell> for ConfigManager {
    type Event = Event;
    type Action = Action;

    fn on(&mut self, at: EventTime<'_>, ev: Event, out: &mut Vec<Action>) {
        ConfigManager::on(self, at.now, ev, out);
    }

    fn tick_event() -> Event {
        Event::Tick
    }
}

/// The operators' calls that wait for the outcome of a patch.
#[derive(Default)]
pub(crate) struct PendingProposals(Mutex<HashMap<CallId, oneshot::Sender<PatchOutcome>>>);

impl PendingProposals {
    pub(crate) fn insert(&self, call: CallId, tx: oneshot::Sender<PatchOutcome>) {
        lock(&self.0).insert(call, tx);
    }

    /// Sends the outcome of a patch to the waiting call.
    fn complete(&self, call: CallId, outcome: PatchOutcome) {
        if let Some(tx) = lock(&self.0).remove(&call) {
            let _ = tx.send(outcome);
        }
    }
}

/// The I/O driver (shell) of the configuration manager: performs its actions.
pub(crate) struct ConfigManagerShell {
    pub(crate) calls: PlatformCalls,
    pub(crate) feeds: Feeds,
    pub(crate) peer_sender: PeerSender,
    pub(crate) proposals: Arc<PendingProposals>,
}

impl Shell<ConfigManager> for ConfigManagerShell {
    fn perform(&mut self, action: Action, feed: &Feed<Event>) -> Option<Duration> {
        match action {
            Action::Read => {
                let feed = feed.clone();
                self.calls.read(CURRENT_PATH.to_owned(), move |r| {
                    feed.push(Event::Read(read_result(r)))
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
                    feed.push(Event::Wrote(id, write_result(r.map(|v| v.0))));
                });
            }
            Action::Prune(path) => self.calls.prune(path),
            Action::Send(vm, msg) => self.peer_sender.send(&vm, &Message::Conf(msg)),
            Action::Broadcast(msg) => self.peer_sender.broadcast(&Message::Conf(msg)),
            Action::Apply(config) => {
                log::info!("event=config-in-force version={}", config.version);
                self.feeds.engine.push(gs_query::Event::Config(config));
            }
            Action::Doubt(affected) => {
                log::info!("event=config-in-doubt lookups=\"{affected:?}\"");
            }
            Action::Verdict(call, outcome) => self.proposals.complete(call, outcome),
            Action::Wake(after) => return Some(after),
        }
        None
    }
}

/// Converts the result of reading the current configuration for the configuration manager.
pub(crate) fn read_result(r: Result<Option<Object>>) -> ReadResult {
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

/// Converts the result of a write for the configuration manager.
fn write_result(r: Result<u64>) -> WriteResult {
    match r {
        Ok(v) => WriteResult::Done(v),
        Err(e) => match e.kind() {
            ErrorKind::Conflict => WriteResult::Conflict,
            ErrorKind::Unknown => WriteResult::Unknown,
            _ => WriteResult::Failed,
        },
    }
}
