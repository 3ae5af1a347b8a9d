//! Tracks whether the directory is reachable.

use std::sync::Arc;
use std::sync::Mutex;

use gs_actor::Feed;
use gs_actor::lock;
use gs_relay::Event;
use gs_types::prelude::*;
use tokio::sync::watch;
use tokio::time::Instant;

/// Whether the directory is reachable, as the latest calls to it showed; shared by all components that call it.
pub(crate) struct DirectoryReachability {
    outage_start: Mutex<Option<Instant>>,
    /// The number of outages that have ended.
    outages_ended: watch::Sender<u64>,
    /// The latest era; `None` before the first list.
    era: Mutex<Option<StoreEra>>,
    feed: Feed<Event>,
}

impl DirectoryReachability {
    pub(crate) fn new(feed: Feed<Event>) -> Arc<Self> {
        Arc::new(Self {
            outage_start: Mutex::default(),
            outages_ended: watch::channel(0).0,
            era: Mutex::default(),
            feed,
        })
    }

    /// Records a failed call, which begins an outage if there is none; `what` names the call in the log.
    pub(crate) fn on_failure(&self, what: &str, error: &Error) {
        let mut outage_start = lock(&self.outage_start);
        if outage_start.is_none() {
            *outage_start = Some(Instant::now());
            log::warn!("event=directory-lost by={what} error=\"{error}\"");
            self.feed.push(Event::RegisterReachable(false));
        }
    }

    /// Records a successful call, which ends an outage; `what` names the call in the log.
    pub(crate) fn on_success(&self, what: &str) {
        let Some(since) = lock(&self.outage_start).take() else {
            return;
        };
        log::info!(
            "event=directory-regained by={what} after_ms={}",
            since.elapsed().as_millis()
        );
        self.feed.push(Event::RegisterReachable(true));
        self.outages_ended.send_modify(|n| *n += 1);
    }

    /// Records the era of a list, before it is applied.
    ///
    /// The first list of a later era may lack entries that are written again soon, like the first one after an outage.
    pub(crate) fn on_era(&self, era: StoreEra) {
        let Some(before) = lock(&self.era).replace(era).filter(|known| *known != era) else {
            return;
        };
        log::warn!("event=directory-restored era={era} before={before}");
        if lock(&self.outage_start).is_none() {
            self.feed.push(Event::RegisterReachable(false));
            self.feed.push(Event::RegisterReachable(true));
        }
    }

    /// Returns a receiver that is notified at the end of each outage.
    pub(crate) fn outage_ends(&self) -> watch::Receiver<u64> {
        self.outages_ended.subscribe()
    }
}
