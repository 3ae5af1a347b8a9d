//! The connections of this process to backend servers and peers, and the attempts in flight on them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_actor::Feed;
use gs_actor::lock;
use gs_http::ConnectOptions;
use gs_http::ConnectionNeeds;
use gs_http::ConnectionPool;
use gs_http::ConnectionSink;
use gs_http::ExchangeError;
use gs_http::ExchangeKey;
use gs_http::PooledConnection;
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

/// The largest reply of a server, in bytes.
const ANSWER_BYTES_MAX: usize = 4 << 20;

/// The longest that a connection may have been idle to carry a request that may run only once: shorter than any idle
/// timeout, so that the server does not close the connection while the request is in transit.
const ONCE_IDLE_MAX: Duration = Duration::from_secs(1);

/// The fraction of the idle timeout announced by a server after which an idle connection is no longer reused.
const IDLE_FRACTION: f64 = 0.7;

/// Counts connections for metrics, and reports each opened and closed one to the relay.
pub(crate) struct ConnectionCounts {
    pub(crate) opened: AtomicU64,
    pub(crate) lost: AtomicU64,
    feed: Feed<Event>,
}

impl ConnectionSink for ConnectionCounts {
    fn on_opened(&self, server: &ServerName, took: Duration) {
        self.opened.fetch_add(1, Ordering::Relaxed);
        self.feed.push(Event::Opened(server.clone(), took));
    }

    fn on_closed(&self, server: &ServerName, lost: bool) {
        self.feed.push(Event::Closed(server.clone()));
        if lost {
            self.lost.fetch_add(1, Ordering::Relaxed);
            log::debug!("event=connection-lost server={server}");
        }
    }

    fn on_refused(&self, server: &ServerName) {
        self.feed.push(Event::Refused(server.clone()));
    }
}

/// The connection pools, one per server, and the attempts in flight on them.
pub(crate) struct ConnectionPools {
    codec: Arc<dyn ServerCodec>,
    feed: Feed<Event>,
    opts: ConnectOptions,
    pools: Mutex<HashMap<ServerName, Arc<ConnectionPool>>>,
    in_flight: Arc<Mutex<HashMap<AttemptKey, oneshot::Sender<()>>>>,
    pub(crate) counts: Arc<ConnectionCounts>,
}

impl ConnectionPools {
    pub(crate) fn new(
        codec: Arc<dyn ServerCodec>,
        feed: Feed<Event>,
        opts: ConnectOptions,
    ) -> Self {
        let counts = ConnectionCounts {
            opened: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            feed: feed.clone(),
        };
        Self {
            codec,
            feed,
            opts,
            pools: Mutex::default(),
            in_flight: Arc::default(),
            counts: Arc::new(counts),
        }
    }

    /// Starts an attempt in a task of its own.
    pub(crate) fn send(&self, d: Dispatch) {
        let pool = self.pool(&d.server);
        let (tx, cancelled) = oneshot::channel();
        lock(&self.in_flight).insert(d.attempt, tx);
        let codec: Arc<dyn ServerCodec> = match d.delegation {
            Some(_) => Arc::new(PeerCodec),
            None => Arc::clone(&self.codec),
        };
        let attempt = AttemptTask { codec, pool, d };
        let in_flight = Arc::clone(&self.in_flight);
        let feed = self.feed.clone();
        tokio::spawn(async move {
            let id = attempt.d.attempt;
            let end = attempt.run(cancelled).await;
            lock(&in_flight).remove(&id);
            feed.push(Event::Ended(id, end));
        });
    }

    /// Cancels an attempt; its end is still reported to the relay.
    pub(crate) fn cancel(&self, id: AttemptKey) {
        if let Some(tx) = lock(&self.in_flight).remove(&id) {
            // The receiver is dropped if the attempt ends at this moment, which needs no cancellation.
            let _ = tx.send(());
        }
    }

    /// Opens connections to a server in the background until there are `connections_min`, and limits them to
    /// `connections_max`. Those that close later are not reopened in advance.
    pub(crate) fn connect(
        &self,
        server: &Arc<ServerEntry>,
        connections_min: Connections,
        connections_max: Connections,
    ) {
        let pool = self.pool(server);
        pool.set_share(connections_max);
        pool.open_at_least(connections_min);
    }

    /// Opens one more connection to a server, which shows whether the server still runs.
    pub(crate) fn check(&self, server: &Arc<ServerEntry>) {
        self.pool(server).open_one();
    }

    /// Closes the connections to a server as they become idle.
    pub(crate) fn disconnect(&self, server: &ServerName) {
        if let Some(pool) = lock(&self.pools).remove(server) {
            pool.close();
        }
    }

    /// Returns the number of attempts that have not ended.
    pub(crate) fn in_flight(&self) -> usize {
        lock(&self.in_flight).len()
    }

    fn pool(&self, server: &ServerEntry) -> Arc<ConnectionPool> {
        let mut pools = lock(&self.pools);
        if let Some(pool) = pools.get(&server.name)
            && pool.addr() == server.addr
        {
            return Arc::clone(pool);
        }
        let sink: Arc<dyn ConnectionSink> = Arc::<ConnectionCounts>::clone(&self.counts);
        let pool = ConnectionPool::new(server.name.clone(), server.addr, self.opts, sink);
        pool.set_share(Connections(1));
        if let Some(old) = pools.insert(server.name.clone(), Arc::clone(&pool)) {
            old.close();
        }
        pool
    }
}

/// One attempt in flight.
struct AttemptTask {
    codec: Arc<dyn ServerCodec>,
    pool: Arc<ConnectionPool>,
    d: Dispatch,
}

impl AttemptTask {
    /// Runs the attempt and returns how it ended.
    async fn run(&self, mut cancelled: oneshot::Receiver<()>) -> AttemptEnd {
        let start = Instant::now();
        let needs = ConnectionNeeds {
            timeout: self.d.attempt_timeout,
            idle_max: self.d.once.then_some(ONCE_IDLE_MAX),
            exchange: Some(ExchangeKey::of(&self.d.id)),
        };
        let conn = tokio::select! {
            biased;
            _ = &mut cancelled => return AttemptEnd::NotSent,
            conn = self.pool.take_for(&needs) => conn,
        };
        let mut conn = match conn {
            Ok(conn) => conn,
            Err(e) => {
                log::debug!(
                    "event=no-connection attempt={} error=\"{e}\"",
                    self.d.attempt
                );
                return AttemptEnd::NotSent;
            }
        };
        let left = self.d.time_left.saturating_sub(start.elapsed());
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
        let result = tokio::select! {
            biased;
            result = exchange(&mut conn, req, ANSWER_BYTES_MAX) => result,
            () = sleep_past(start + self.d.attempt_timeout) => {
                return AttemptEnd::Late(self.d.attempt_timeout);
            }
            _ = &mut cancelled => return AttemptEnd::Cancelled,
        };
        match result {
            Ok(complete_reply) => {
                let status = complete_reply.status;
                let reply = self.codec.reply(&self.d, complete_reply);
                log::debug!(
                    "event=reply id={} attempt={} server={} connection={} use={} status={} end={}",
                    self.d.id,
                    self.d.attempt,
                    self.d.server.name,
                    conn.number(),
                    conn.uses(),
                    status.as_u16(),
                    <&'static str>::from(&reply.end)
                );
                self.return_connection(conn, &reply);
                reply.end
            }
            Err(ExchangeError::NotSent) => AttemptEnd::NotSent,
            Err(ExchangeError::Broken(e)) => {
                log::debug!(
                    "event=attempt-broken attempt={} error=\"{e}\"",
                    self.d.attempt
                );
                AttemptEnd::Broken
            }
            Err(ExchangeError::NotFinal(status)) => {
                log::debug!(
                    "event=answer-not-final attempt={} server={} status={}",
                    self.d.attempt,
                    self.d.server.name,
                    status.as_u16()
                );
                AttemptEnd::Garbled
            }
            Err(ExchangeError::TooLarge) => {
                log::debug!(
                    "event=answer-too-large attempt={} server={}",
                    self.d.attempt,
                    self.d.server.name
                );
                AttemptEnd::Garbled
            }
        }
    }

    fn return_connection(&self, mut conn: PooledConnection, reply: &ParsedReply) {
        if !reply.is_connection_reusable || !self.d.keep_connection {
            return;
        }
        if let Some(idle) = reply.idle_max {
            conn.set_idle_max(idle.mul_f64(IDLE_FRACTION));
        }
        self.pool.put_back(conn);
    }
}

/// Sleeps until the given time, and a little longer if the process was paused (not scheduled) meanwhile, so that an
/// answer which arrived during the pause is still read.
async fn sleep_past(due: Instant) {
    tokio::time::sleep_until(due).await;
    if let Some(more) = pause_grace(due.into_std(), Instant::now().into_std()) {
        tokio::time::sleep(more).await;
    }
}
