//! Health, load and connections of one backend server, as seen by this VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use serde::Serialize;
use smallvec::SmallVec;

use crate::attempt::AttemptKey;
use crate::entry::Availability;
use crate::entry::ServerEntry;
use crate::reply::Load;

/// Weight of a new sample in a server's slowness: one answer of a server that has become eight
/// times slower must be enough to prefer a replica 16 ms away.
const SLOWNESS_WEIGHT: f64 = 0.3;

/// Bounds of a slowness sample; values beyond them carry no further information.
const SLOWNESS_RANGE: (f64, f64) = (0.4, 30.0);

/// Ratio of response time to expected time from which an answer counts as delayed by a stall:
/// execution times vary by a third, and one execution in a hundred takes five times as long.
const DELAYED_ANSWER_RATIO_MIN: f64 = 3.0;

/// How long a delayed answer is remembered: a slow server is queried again within this time.
const DELAYED_ANSWER_RETENTION: Duration = Duration::from_secs(4);

/// Weight of a new sample in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// Half-life of a server's slowness and failure rate, so that a bad server is tried again.
const HEALTH_HALF_LIFE: Duration = Duration::from_secs(2);

/// Half-life of the reported load: about two mean execution times of a part.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(40);

/// Largest factor by which execution takes longer on a server in slow start; the platform's is 1.6.
const SLOW_START_FACTOR: f64 = 1.6;

/// First backoff of a server that cannot be reached; doubled each time in a row.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(150);

/// The most doublings of the backoff, to 1.2 s: crashed servers return after some seconds.
const BACKOFF_DOUBLINGS_MAX: u32 = 3;

/// State of a backend server, for dumps.
#[derive(Clone, Debug, Serialize)]
pub struct ServerDump {
    /// Its name.
    pub name: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Whether it accepts new work, as far as known.
    pub is_open: bool,
    /// Whether it is in this VM's subset; the others of its service are used only if none of the
    /// subset is available.
    pub is_used: bool,
    /// Whether it is in backoff because it could not be reached.
    pub is_resting: bool,
    /// Number of this VM's attempts in flight there.
    pub outstanding: usize,
    /// Ratio of its response times to the mean of all servers.
    pub slowness: f64,
    /// Fraction of its recent attempts that failed.
    pub failing: f64,
}

/// State of a backend server.
#[derive(Debug)]
pub(crate) struct ServerView {
    pub(crate) entry: Arc<ServerEntry>,
    /// Whether it no longer accepts work: it was removed from the register, or its address belongs
    /// to another server.
    pub(crate) is_removed: bool,
    /// Whether it is in this VM's subset; the others of its service are used only if none of the
    /// subset is available.
    pub(crate) is_in_subset: bool,
    /// This VM's attempts in flight, with their dispatch times.
    pub(crate) outstanding: SmallVec<[(AttemptKey, Instant); 4]>,
    /// Number of this VM's connections that are open.
    pub(crate) open_connections: u32,
    /// The largest number of connections that this VM may hold.
    pub(crate) connections_max: u32,
    /// Address, connections to open and most connections of the last connect action.
    pub(crate) last_connect: Option<(SocketAddr, Connections, Connections)>,
    slow_start_until: Instant,
    /// The slowness, and when it was updated.
    slowness: (f64, Instant),
    /// When the last delayed answer arrived; `None` after an attempt dispatched later was answered
    /// in normal time.
    last_delayed_answer_at: Option<Instant>,
    /// The failure rate, and when it was updated.
    failure_rate: (f64, Instant),
    /// The load last reported, with the number of this VM's attempts in flight then, and when.
    load: Option<(Load, u32, Instant)>,
    /// Number of backoffs in a row.
    consecutive_backoffs: u32,
    backoff_until: Option<Instant>,
    last_contact: Option<Instant>,
}

impl ServerView {
    pub(crate) fn new(now: Instant, entry: Arc<ServerEntry>) -> Self {
        Self {
            slow_start_until: now + entry.warming,
            entry,
            is_removed: false,
            is_in_subset: true,
            outstanding: SmallVec::new(),
            open_connections: 0,
            connections_max: 0,
            last_connect: None,
            slowness: (1.0, now),
            last_delayed_answer_at: None,
            failure_rate: (0.0, now),
            load: None,
            consecutive_backoffs: 0,
            backoff_until: None,
            last_contact: None,
        }
    }

    /// Applies a renewed register entry.
    pub(crate) fn apply_entry(&mut self, now: Instant, entry: Arc<ServerEntry>) {
        let is_new_incarnation = self.entry.born != entry.born || self.entry.addr != entry.addr;
        self.slow_start_until = now + entry.warming;
        self.entry = entry;
        if is_new_incarnation || self.is_removed {
            self.consecutive_backoffs = 0;
            self.backoff_until = None;
            self.load = None;
            self.failure_rate = (0.0, now);
            self.slowness = (1.0, now);
            self.last_delayed_answer_at = None;
        }
        self.is_removed = false;
    }

    pub(crate) fn dump(&self, now: Instant) -> ServerDump {
        ServerDump {
            name: self.entry.name.clone(),
            service: self.entry.service.clone(),
            is_open: self.accepts_work(),
            is_used: self.is_in_subset,
            is_resting: self.backoff_until(now).is_some(),
            outstanding: self.outstanding.len(),
            slowness: self.slowness(now),
            failing: self.failure_rate(now),
        }
    }

    /// Returns whether it accepts new work at all.
    pub(crate) fn accepts_work(&self) -> bool {
        !self.is_removed && self.entry.availability == Availability::Ready
    }

    pub(crate) fn is_connected(&self) -> bool {
        self.open_connections > 0
    }

    pub(crate) fn has_free_connection(&self) -> bool {
        (self.outstanding.len() as u32) < self.connections_max
    }

    /// Returns when its backoff ends; `None` if it is not in backoff.
    pub(crate) fn backoff_until(&self, now: Instant) -> Option<Instant> {
        self.backoff_until.filter(|until| *until > now)
    }

    /// Returns whether nothing was received from it since the given time.
    pub(crate) fn is_silent_since(&self, since: Instant) -> bool {
        self.last_contact
            .is_none_or(|last_contact| last_contact < since)
    }

    /// Returns the ratio of its response times to the mean of all servers.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        let (value, at) = self.slowness;
        let warming = if now < self.slow_start_until {
            SLOW_START_FACTOR
        } else {
            1.0
        };
        (1.0 + (value - 1.0) * decay(now, at, HEALTH_HALF_LIFE)) * warming
    }

    /// Returns the fraction of its recent attempts that failed.
    pub(crate) fn failure_rate(&self, now: Instant) -> f64 {
        let (value, at) = self.failure_rate;
        value * decay(now, at, HEALTH_HALF_LIFE)
    }

    /// Returns the number of attempts ahead of one sent now: this VM's, and those of all others as
    /// last reported.
    pub(crate) fn attempts_ahead(&self, now: Instant) -> f64 {
        let own = self.outstanding.len() as f64;
        let Some((load, own_then, at)) = self.load else {
            return own;
        };
        let reported = load.running + load.waiting;
        let others = f64::from(reported.saturating_sub(own_then));
        own + others * decay(now, at, LOAD_HALF_LIFE)
    }

    /// Returns the rounds of work ahead of an attempt sent now, with the given number of parts that
    /// wait here for a connection.
    pub(crate) fn rounds_ahead(&self, now: Instant, waiting: f64) -> f64 {
        let slots = f64::from(self.entry.slots.0.max(1));
        ((self.attempts_ahead(now) + waiting + 1.0 - slots) / slots).max(0.0)
    }

    /// Returns the dispatch time of the oldest attempt in flight; `None` if something was received
    /// since then, or no attempt is in flight.
    pub(crate) fn unanswered_since(&self) -> Option<Instant> {
        let oldest = self.outstanding.iter().map(|(_, at)| *at).min()?;
        match self.last_contact {
            Some(last_contact) if last_contact > oldest => None,
            _ => Some(oldest),
        }
    }

    /// Records that an attempt was dispatched.
    pub(crate) fn on_dispatched(&mut self, now: Instant, id: AttemptKey) {
        self.outstanding.push((id, now));
    }

    /// Records that an attempt ended, in whatever way.
    pub(crate) fn on_ended(&mut self, id: AttemptKey) {
        self.outstanding.retain(|(i, _)| *i != id);
    }

    /// Records an answer to an attempt, with the ratio of its time to the mean of all servers.
    pub(crate) fn on_answered(
        &mut self,
        now: Instant,
        dispatched_at: Instant,
        ratio: f64,
        load: Option<Load>,
        is_good: bool,
    ) {
        self.last_contact = Some(now);
        self.consecutive_backoffs = 0;
        self.backoff_until = None;
        if self.accept_slowness_sample(now, dispatched_at, ratio) {
            self.update_slowness(now, ratio);
        }
        self.update_failure_rate(now, !is_good);
        self.update_load(now, load);
    }

    /// Returns whether an answer shows that the server is slow, and not only that it stalled.
    ///
    /// A stall delays every attempt in flight, and each would count as slow execution: the server
    /// would be avoided for seconds after a stall of a fraction of a second, while its replicas do
    /// its work. A slow server shows it again with the first answer to an attempt dispatched after
    /// the delayed answer.
    fn accept_slowness_sample(&mut self, now: Instant, dispatched_at: Instant, ratio: f64) -> bool {
        let last_delayed_answer_at = self
            .last_delayed_answer_at
            .filter(|at| now.saturating_duration_since(*at) < DELAYED_ANSWER_RETENTION);
        if ratio < DELAYED_ANSWER_RATIO_MIN {
            if last_delayed_answer_at.is_some_and(|at| dispatched_at >= at) {
                self.last_delayed_answer_at = None;
            }
            return true;
        }
        self.last_delayed_answer_at = Some(now);
        last_delayed_answer_at.is_some_and(|at| dispatched_at >= at)
    }

    fn update_slowness(&mut self, now: Instant, ratio: f64) {
        let (low, high) = SLOWNESS_RANGE;
        let old = 1.0 + (self.slowness.0 - 1.0) * decay(now, self.slowness.1, HEALTH_HALF_LIFE);
        let new = old + (ratio.clamp(low, high) - old) * SLOWNESS_WEIGHT;
        self.slowness = (new, now);
    }

    /// Records a refusal for load.
    pub(crate) fn on_shed(&mut self, now: Instant, load: Option<Load>) {
        self.last_contact = Some(now);
        self.update_failure_rate(now, true);
        self.update_load(now, load);
    }

    /// Records an attempt that ended with a broken connection, a malformed answer, or a timeout
    /// during which the server answered others.
    ///
    /// Unlike [`Self::on_unreachable`], it starts no backoff.
    pub(crate) fn on_broken(&mut self, now: Instant) {
        self.update_failure_rate(now, true);
    }

    /// Records that it could not be reached, or that nothing at all was received in time, and
    /// starts a backoff.
    ///
    /// A crashed server refuses connections within a millisecond, and an unresponsive one holds
    /// each attempt until its timeout. If either were tried again for every part, each page would
    /// lose that part's whole time.
    pub(crate) fn on_unreachable(&mut self, now: Instant) {
        self.update_failure_rate(now, true);
        let backoff =
            UNREACHABLE_BACKOFF * (1 << self.consecutive_backoffs.min(BACKOFF_DOUBLINGS_MAX));
        self.consecutive_backoffs = self.consecutive_backoffs.saturating_add(1);
        self.backoff_until = Some(now + backoff);
    }

    fn update_failure_rate(&mut self, now: Instant, failed: bool) {
        let old = self.failure_rate(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate = (old + (sample - old) * FAILURE_WEIGHT, now);
    }

    fn update_load(&mut self, now: Instant, load: Option<Load>) {
        if let Some(load) = load {
            self.load = Some((load, self.outstanding.len() as u32, now));
        }
    }
}

/// Returns what remains of a value after the time since `at`, with the given half-life.
fn decay(now: Instant, at: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    (-age / half_life.as_secs_f64()).exp2()
}
