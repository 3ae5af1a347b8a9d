//! Whether the directory is in reach.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use gs_actor::Feed;
use gs_actor::lock;
use gs_relay::Event;
use gs_relay::Removal;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long after an outage a vanished entry may still be one that lapsed meanwhile.
const AFTERMATH: Duration = Duration::from_secs(5);

/// Whether the directory is in reach, and since when; shared by all that call it.
pub(crate) struct Contact {
    state: Mutex<State>,
    /// Counts the ends of outages.
    regained: watch::Sender<u64>,
    feed: Feed<Event>,
}

#[derive(Default)]
struct State {
    lost_at: Option<Instant>,
    regained_at: Option<Instant>,
}

impl Contact {
    pub(crate) fn new(feed: Feed<Event>) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            regained: watch::channel(0).0,
            feed,
        })
    }

    /// A call failed.
    pub(crate) fn lost(&self, what: &str, error: &gs_types::prelude::Error) {
        let mut s = lock(&self.state);
        if s.lost_at.is_none() {
            s.lost_at = Some(Instant::now());
            log::warn!("event=directory-lost by={what} error=\"{error}\"");
            self.feed.push(Event::Reach(false));
        }
    }

    /// A call was answered.
    pub(crate) fn seen(&self, what: &str) {
        let mut s = lock(&self.state);
        let Some(since) = s.lost_at.take() else {
            return;
        };
        s.regained_at = Some(Instant::now());
        log::info!(
            "event=directory-regained by={what} after_ms={}",
            since.elapsed().as_millis()
        );
        self.feed.push(Event::Reach(true));
        self.regained.send_modify(|n| *n += 1);
    }

    /// Tells of the end of each outage.
    pub(crate) fn ends(&self) -> watch::Receiver<u64> {
        self.regained.subscribe()
    }

    /// What a vanished entry means now.
    pub(crate) fn removal(&self) -> Removal {
        let s = lock(&self.state);
        let is_recent = s.regained_at.is_some_and(|at| at.elapsed() < AFTERMATH);
        if is_recent || s.lost_at.is_some() {
            Removal::AfterOutage
        } else {
            Removal::Plain
        }
    }
}
