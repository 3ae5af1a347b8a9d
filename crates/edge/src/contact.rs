//! Whether the directory is in reach.

use std::sync::Arc;
use std::sync::Mutex;

use gs_actor::Feed;
use gs_actor::lock;
use gs_relay::Event;
use tokio::sync::watch;
use tokio::time::Instant;

/// Whether the directory is in reach, and since when; shared by all that call it.
pub(crate) struct Contact {
    lost_at: Mutex<Option<Instant>>,
    /// Counts the ends of outages.
    regained: watch::Sender<u64>,
    feed: Feed<Event>,
}

impl Contact {
    pub(crate) fn new(feed: Feed<Event>) -> Arc<Self> {
        Arc::new(Self {
            lost_at: Mutex::default(),
            regained: watch::channel(0).0,
            feed,
        })
    }

    /// A call failed.
    pub(crate) fn lost(&self, what: &str, error: &gs_types::prelude::Error) {
        let mut lost_at = lock(&self.lost_at);
        if lost_at.is_none() {
            *lost_at = Some(Instant::now());
            log::warn!("event=directory-lost by={what} error=\"{error}\"");
            self.feed.push(Event::RegisterReachable(false));
        }
    }

    /// A call was answered.
    pub(crate) fn seen(&self, what: &str) {
        let Some(since) = lock(&self.lost_at).take() else {
            return;
        };
        log::info!(
            "event=directory-regained by={what} after_ms={}",
            since.elapsed().as_millis()
        );
        self.feed.push(Event::RegisterReachable(true));
        self.regained.send_modify(|n| *n += 1);
    }

    /// Tells of the end of each outage.
    pub(crate) fn ends(&self) -> watch::Receiver<u64> {
        self.regained.subscribe()
    }
}
