//! What is known of one backend server.

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

/// How much of a new sample goes into a server's slowness: one answer of a server that turned eight
/// times slower must be enough to prefer a replica 16 ms away.
const SLOWNESS_WEIGHT: f64 = 0.3;

/// The bounds of slowness; beyond them a sample says nothing more.
const SLOWNESS_RANGE: (f64, f64) = (0.4, 30.0);

/// How many times its expected time an answer takes that was held up: work varies by a third, and one run
/// in a hundred takes five times as long.
const HELD_UP_RATIO: f64 = 3.0;

/// How long a held-up answer is kept in mind: a server that is slow is asked again within it.
const HELD_UP_MEMORY: Duration = Duration::from_secs(4);

/// How much of a new sample goes into the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// The time in which half of what is held against a server is forgotten, so that it is tried again.
const FORGET: Duration = Duration::from_secs(2);

/// The time in which half of the load told is forgotten: about two mean runs of a part.
const LOAD_FORGET: Duration = Duration::from_millis(40);

/// How much longer a run takes on a server that is warming, at most; the platform's is 1.6.
const WARMING_FACTOR: f64 = 1.6;

/// The first rest of a server that cannot be reached; doubled each time in a row.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(150);

/// The most doublings of a rest, to 1.2 s: crashed servers come back after some seconds.
const REST_DOUBLINGS: u32 = 3;

/// What is known of one backend server, as a dump shows it.
#[derive(Clone, Debug, Serialize)]
pub struct ServerDump {
    /// Its name.
    pub name: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Whether it takes new work, as far as is known.
    pub is_open: bool,
    /// Whether this VM sends to it while others of its service are there.
    pub is_used: bool,
    /// Whether it rests, as it could not be reached.
    pub is_resting: bool,
    /// This VM's attempts there.
    pub outstanding: usize,
    /// How many times longer it takes than servers do in the mean.
    pub slowness: f64,
    /// The share of its attempts that failed lately.
    pub failing: f64,
}

/// What is known of one backend server.
#[derive(Debug)]
pub(crate) struct ServerView {
    pub(crate) entry: Arc<ServerEntry>,
    /// Whether it takes no work any more: gone from the register, or its address is another's.
    pub(crate) is_gone: bool,
    /// Whether this VM sends to it while others of its service are there.
    pub(crate) is_used: bool,
    /// Attempts of this VM that have not ended, with the times at which they were handed over.
    pub(crate) outstanding: SmallVec<[(AttemptKey, Instant); 4]>,
    /// Connections of this VM that are open.
    pub(crate) open: u32,
    /// The most connections of this VM.
    pub(crate) connections: u32,
    /// What the shell was told last: where, connections to hold open, and the most.
    pub(crate) told: Option<(SocketAddr, Connections, Connections)>,
    warm_at: Instant,
    slowness: (f64, Instant),
    /// When an answer that was held up last came; `None` once one begun after it was not.
    held_up: Option<Instant>,
    failing: (f64, Instant),
    load: Option<(Load, u32, Instant)>,
    rests: u32,
    rest_until: Option<Instant>,
    heard: Option<Instant>,
}

impl ServerView {
    pub(crate) fn new(now: Instant, entry: Arc<ServerEntry>) -> Self {
        Self {
            warm_at: now + entry.warming,
            entry,
            is_gone: false,
            is_used: true,
            outstanding: SmallVec::new(),
            open: 0,
            connections: 0,
            told: None,
            slowness: (1.0, now),
            held_up: None,
            failing: (0.0, now),
            load: None,
            rests: 0,
            rest_until: None,
            heard: None,
        }
    }

    /// Takes in what the server says of itself now.
    pub(crate) fn renew(&mut self, now: Instant, entry: Arc<ServerEntry>) {
        let is_new_run = self.entry.born != entry.born || self.entry.addr != entry.addr;
        self.warm_at = now + entry.warming;
        self.entry = entry;
        if is_new_run || self.is_gone {
            self.rests = 0;
            self.rest_until = None;
            self.load = None;
            self.failing = (0.0, now);
            self.slowness = (1.0, now);
            self.held_up = None;
        }
        self.is_gone = false;
    }

    pub(crate) fn dump(&self, now: Instant) -> ServerDump {
        ServerDump {
            name: self.entry.name.clone(),
            service: self.entry.service.clone(),
            is_open: self.is_open(),
            is_used: self.is_used,
            is_resting: self.backoff_until(now).is_some(),
            outstanding: self.outstanding.len(),
            slowness: self.slowness(now),
            failing: self.failing(now),
        }
    }

    /// Whether it may be given new work at all.
    pub(crate) fn is_open(&self) -> bool {
        !self.is_gone && self.entry.availability == Availability::Ready
    }

    pub(crate) fn is_connected(&self) -> bool {
        self.open > 0
    }

    pub(crate) fn has_connection(&self) -> bool {
        (self.outstanding.len() as u32) < self.connections
    }

    /// When its rest is over; `None` if it does not rest.
    pub(crate) fn backoff_until(&self, now: Instant) -> Option<Instant> {
        self.rest_until.filter(|until| *until > now)
    }

    /// Whether it could not be reached when last tried, or nothing came from it.
    pub(crate) fn is_backing_off(&self) -> bool {
        self.rest_until.is_some()
    }

    /// Whether nothing came from it since this time.
    pub(crate) fn is_silent_since(&self, since: Instant) -> bool {
        self.heard.is_none_or(|heard| heard < since)
    }

    /// How many times longer it takes than servers do in the mean.
    pub(crate) fn slowness(&self, now: Instant) -> f64 {
        let (value, at) = self.slowness;
        let warming = if now < self.warm_at {
            WARMING_FACTOR
        } else {
            1.0
        };
        (1.0 + (value - 1.0) * fading(now, at, FORGET)) * warming
    }

    /// The share of its attempts that failed lately.
    pub(crate) fn failing(&self, now: Instant) -> f64 {
        let (value, at) = self.failing;
        value * fading(now, at, FORGET)
    }

    /// Attempts that would be there before one sent now, this VM's and, as last told, all others'.
    pub(crate) fn ahead(&self, now: Instant) -> f64 {
        let own = self.outstanding.len() as f64;
        let Some((load, own_then, at)) = self.load else {
            return own;
        };
        let told = load.running + load.waiting;
        let others = f64::from(told.saturating_sub(own_then));
        own + others * fading(now, at, LOAD_FORGET)
    }

    /// Rounds of work before an attempt sent now, with so many more that wait here for a connection.
    pub(crate) fn rounds(&self, now: Instant, waiting: f64) -> f64 {
        let slots = f64::from(self.entry.slots.0.max(1));
        ((self.ahead(now) + waiting + 1.0 - slots) / slots).max(0.0)
    }

    /// When the oldest attempt was handed over from which, as from all later ones, nothing came.
    pub(crate) fn silent_since(&self) -> Option<Instant> {
        let oldest = self.outstanding.iter().map(|(_, at)| *at).min()?;
        match self.heard {
            Some(heard) if heard > oldest => None,
            _ => Some(oldest),
        }
    }

    /// An attempt was handed over.
    pub(crate) fn begun(&mut self, now: Instant, id: AttemptKey) {
        self.outstanding.push((id, now));
    }

    /// An attempt ended, however it did.
    pub(crate) fn ended(&mut self, id: AttemptKey) {
        self.outstanding.retain(|(i, _)| *i != id);
    }

    /// It answered what was handed over at `begun`, `ratio` times slower than servers do in the mean.
    pub(crate) fn answered(
        &mut self,
        now: Instant,
        begun: Instant,
        ratio: f64,
        load: Option<Load>,
        is_good: bool,
    ) {
        self.heard = Some(now);
        self.rests = 0;
        self.rest_until = None;
        if self.tells_slowness(now, begun, ratio) {
            self.note_slowness(now, ratio);
        }
        self.note_failure(now, !is_good);
        self.note_load(now, load);
    }

    /// Whether an answer tells how slow the server is, and not only that it paused.
    ///
    /// A pause holds up every run that is there, and each would pass for slow work: the server would be
    /// passed by for seconds after a pause of a fraction of one, while its replicas do its work. One that
    /// is slow shows it again with the first answer begun after the one that was held up.
    fn tells_slowness(&mut self, now: Instant, begun: Instant, ratio: f64) -> bool {
        let held_up = self
            .held_up
            .filter(|at| now.saturating_duration_since(*at) < HELD_UP_MEMORY);
        if ratio < HELD_UP_RATIO {
            if held_up.is_some_and(|at| begun >= at) {
                self.held_up = None;
            }
            return true;
        }
        self.held_up = Some(now);
        held_up.is_some_and(|at| begun >= at)
    }

    fn note_slowness(&mut self, now: Instant, ratio: f64) {
        let (low, high) = SLOWNESS_RANGE;
        let old = 1.0 + (self.slowness.0 - 1.0) * fading(now, self.slowness.1, FORGET);
        let new = old + (ratio.clamp(low, high) - old) * SLOWNESS_WEIGHT;
        self.slowness = (new, now);
    }

    /// It refused for load.
    pub(crate) fn shed(&mut self, now: Instant, load: Option<Load>) {
        self.heard = Some(now);
        self.note_failure(now, true);
        self.note_load(now, load);
    }

    /// An attempt broke or was spoilt.
    pub(crate) fn broke(&mut self, now: Instant) {
        self.note_failure(now, true);
    }

    /// It could not be reached, or nothing at all came from it in time: it rests.
    ///
    /// A crashed server refuses within a millisecond, and a dark one holds each attempt to its end;
    /// asked anew for every part, either would cost each page that part's whole time.
    pub(crate) fn unreachable(&mut self, now: Instant) {
        self.note_failure(now, true);
        let rest = UNREACHABLE_BACKOFF * (1 << self.rests.min(REST_DOUBLINGS));
        self.rests = self.rests.saturating_add(1);
        self.rest_until = Some(now + rest);
    }

    fn note_failure(&mut self, now: Instant, failed: bool) {
        let old = self.failing(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failing = (old + (sample - old) * FAILURE_WEIGHT, now);
    }

    fn note_load(&mut self, now: Instant, load: Option<Load>) {
        if let Some(load) = load {
            self.load = Some((load, self.outstanding.len() as u32, now));
        }
    }
}

/// What is left of a value after some time: a half after each `half`.
fn fading(now: Instant, at: Instant, half: Duration) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    (-age / half.as_secs_f64()).exp2()
}
