//! Every connection of this process to backend servers, and the attempts running on them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_actor::Feed;
use gs_actor::lock;
use gs_http::ConnectionSink;
use gs_http::ExchangeError;
use gs_http::Lane;
use gs_http::LaneOptions;
use gs_http::Lent;
use gs_http::exchange;
use gs_relay::AttemptEnd;
use gs_relay::AttemptKey;
use gs_relay::Dispatch;
use gs_relay::Event;
use gs_relay::ServerEntry;
use gs_relay::pause_grace;
use gs_types::prelude::*;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::peers::PeerCodec;
use crate::servers::ParsedReply;
use crate::servers::ServerCodec;

/// The most bytes of a server's answer.
const ANSWER_MAX: usize = 4 << 20;

/// The longest that a connection may have been idle to carry a request that may run only once: shorter
/// than any idle timeout, so that the server does not close it under the request.
const ONCE_IDLE_MAX: Duration = Duration::from_secs(1);

/// The most of its server's announced idle time that a connection is used again after.
const IDLE_PART: f64 = 0.7;

/// Tells the relay of connections, and counts them for metrics.
pub(crate) struct Opened {
    pub(crate) opened: AtomicU64,
    pub(crate) lost: AtomicU64,
    feed: Feed<Event>,
}

impl ConnectionSink for Opened {
    fn opened(&self, server: &ServerName, took: Duration) {
        self.opened.fetch_add(1, Ordering::Relaxed);
        self.feed.push(Event::Opened(server.clone(), took));
    }

    fn closed(&self, server: &ServerName, lost: bool) {
        self.feed.push(Event::Closed(server.clone()));
        if lost {
            self.lost.fetch_add(1, Ordering::Relaxed);
            log::debug!("event=connection-lost server={server}");
        }
    }
}

/// The connections to every backend server, and the attempts on them.
pub(crate) struct Lanes {
    codec: Arc<dyn ServerCodec>,
    feed: Feed<Event>,
    opts: LaneOptions,
    lanes: Mutex<HashMap<ServerName, Arc<Lane>>>,
    running: Arc<Mutex<HashMap<AttemptKey, oneshot::Sender<()>>>>,
    pub(crate) counts: Arc<Opened>,
}

impl Lanes {
    pub(crate) fn new(codec: Arc<dyn ServerCodec>, feed: Feed<Event>, opts: LaneOptions) -> Self {
        let counts = Opened {
            opened: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            feed: feed.clone(),
        };
        Self {
            codec,
            feed,
            opts,
            lanes: Mutex::default(),
            running: Arc::default(),
            counts: Arc::new(counts),
        }
    }

    /// Hands an attempt to its server in a task of its own.
    pub(crate) fn send(&self, d: Dispatch) {
        let lane = self.lane(&d.server);
        let (tx, cancelled) = oneshot::channel();
        lock(&self.running).insert(d.attempt, tx);
        let codec: Arc<dyn ServerCodec> = match d.delegation {
            Some(_) => Arc::new(PeerCodec),
            None => Arc::clone(&self.codec),
        };
        let attempt = AttemptRun { codec, lane, d };
        let running = Arc::clone(&self.running);
        let feed = self.feed.clone();
        tokio::spawn(async move {
            let id = attempt.d.attempt;
            let end = attempt.run(cancelled).await;
            lock(&running).remove(&id);
            feed.push(Event::Ended(id, end));
        });
    }

    /// Stops an attempt; its end is still told.
    pub(crate) fn cancel(&self, id: AttemptKey) {
        if let Some(tx) = lock(&self.running).remove(&id) {
            // An attempt that ends at this moment no longer listens, which is as good.
            let _ = tx.send(());
        }
    }

    /// Holds `warm` connections to a server open, and at most `most`.
    pub(crate) fn connect(&self, server: &Arc<ServerEntry>, warm: Connections, most: Connections) {
        let lane = self.lane(server);
        lane.set_share(most);
        lane.warm(warm);
    }

    /// Closes the connections to a server as they become idle.
    pub(crate) fn disconnect(&self, server: &ServerName) {
        if let Some(lane) = lock(&self.lanes).remove(server) {
            lane.set_share(Connections(0));
        }
    }

    /// Attempts that have not ended.
    pub(crate) fn running(&self) -> usize {
        lock(&self.running).len()
    }

    fn lane(&self, server: &ServerEntry) -> Arc<Lane> {
        let mut lanes = lock(&self.lanes);
        if let Some(lane) = lanes.get(&server.name)
            && lane.addr() == server.addr
        {
            return Arc::clone(lane);
        }
        let sink: Arc<dyn ConnectionSink> = Arc::<Opened>::clone(&self.counts);
        let lane = Lane::new(server.name.clone(), server.addr, self.opts, sink);
        lane.set_share(Connections(1));
        if let Some(old) = lanes.insert(server.name.clone(), Arc::clone(&lane)) {
            old.set_share(Connections(0));
        }
        lane
    }
}

/// One attempt on its way.
struct AttemptRun {
    codec: Arc<dyn ServerCodec>,
    lane: Arc<Lane>,
    d: Dispatch,
}

impl AttemptRun {
    /// Runs the attempt to its only end.
    async fn run(&self, mut cancelled: oneshot::Receiver<()>) -> AttemptEnd {
        let begun = Instant::now();
        let idle_max = self.d.once.then_some(ONCE_IDLE_MAX);
        let lent = tokio::select! {
            biased;
            _ = &mut cancelled => return AttemptEnd::NotSent,
            lent = self.lane.take_recent(self.d.attempt_timeout, idle_max) => lent,
        };
        let mut lent = match lent {
            Ok(lent) => lent,
            Err(e) => {
                log::debug!(
                    "event=no-connection attempt={} error=\"{e}\"",
                    self.d.attempt
                );
                return AttemptEnd::NotSent;
            }
        };
        let left = self.d.time_left.saturating_sub(begun.elapsed());
        let req = match self.codec.request(&self.d, left) {
            Ok(req) => req,
            Err(e) => {
                log::error!(
                    "event=attempt-unsendable attempt={} error=\"{e}\"",
                    self.d.attempt
                );
                return AttemptEnd::NotSent;
            }
        };
        let done = tokio::select! {
            biased;
            done = exchange(&mut lent, req, ANSWER_MAX) => done,
            () = past(begun + self.d.attempt_timeout) => {
                return AttemptEnd::Late(self.d.attempt_timeout);
            }
            _ = &mut cancelled => return AttemptEnd::Cancelled,
        };
        match done {
            Ok(whole) => {
                let judged = self.codec.reply(&self.d, whole);
                self.give_back(lent, &judged);
                judged.end
            }
            Err(ExchangeError::NotSent) => AttemptEnd::NotSent,
            Err(ExchangeError::Broken(e)) => {
                log::debug!(
                    "event=attempt-broken attempt={} error=\"{e}\"",
                    self.d.attempt
                );
                AttemptEnd::Broken
            }
            Err(ExchangeError::TooLarge) => AttemptEnd::Garbled,
        }
    }

    fn give_back(&self, mut lent: Lent, judged: &ParsedReply) {
        if !judged.is_connection_reusable || !self.d.keep_connection {
            return;
        }
        if let Some(idle) = judged.idle_max {
            lent.set_idle_max(idle.mul_f64(IDLE_PART));
        }
        self.lane.put_back(lent);
    }
}

/// Waits until this time has passed, and after a stand-still of the process a little longer, so that an answer which
/// came meanwhile is read.
async fn past(due: Instant) {
    tokio::time::sleep_until(due).await;
    if let Some(more) = pause_grace(due.into_std(), Instant::now().into_std()) {
        tokio::time::sleep(more).await;
    }
}
