//! Counts what the backend servers observed; tests check the guarantees against these counts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// The time after the start of a drain during which attempts may still arrive.
const DRAIN_NOTICE_MAX: Duration = Duration::from_secs(3);

/// The counts of one server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCounts {
    /// Attempts that started to run.
    pub runs: u64,
    /// Attempts shed because of load.
    pub shed: u64,
    /// Attempts refused because the server drains or does not hold the snapshot or shard.
    pub refused: u64,
    /// Attempts cancelled before or during their run.
    pub cancelled: u64,
    /// Attempts that arrived more than 3 s after the drain started.
    pub late_offers: u64,
    /// Connections opened.
    pub opened: u64,
    /// The maximum number of connections open at once, including those above the limit.
    pub peak_open: u32,
    /// Connections closed because they exceeded the limit.
    pub over_limit: u64,
    /// Crashes on a poisoned lookup.
    pub crashes: u64,
}

/// The sums over all servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The sums; `peak_open` is the maximum over the servers.
    pub total: ServerCounts,
    /// Attempt ids that ran more than once.
    pub attempts_doubled: u64,
    /// Idempotency keys that ran.
    pub keys_run: u64,
    /// Idempotency keys that ran more than once.
    pub keys_doubled: u64,
}

#[derive(Debug, Default)]
struct Inner {
    servers: BTreeMap<ServerName, ServerCounts>,
    keys: HashMap<String, u32>,
    attempts: HashMap<u64, u8>,
    lookups: HashMap<u64, LookupCounts>,
}

/// What the servers observed of one request.
#[derive(Clone, Copy, Debug, Default)]
struct LookupCounts {
    runs: u32,
    /// The longest time from a request to its reply at any server, including delays between data centres.
    slowest: Duration,
}

/// The counts of all servers of a process.
#[derive(Debug, Default)]
pub struct Counts {
    inner: Mutex<Inner>,
}

impl Counts {
    /// Returns the number of runs with an idempotency key.
    #[must_use]
    pub fn runs_of_key(&self, key: &str) -> u32 {
        self.lock().keys.get(key).copied().unwrap_or(0)
    }

    /// Returns the number of attempts of one request that started to run, over all servers.
    #[must_use]
    pub fn runs_of_request(&self, id: &str) -> u32 {
        let key = Fingerprint::of(&[&lookup_of_request(id)]).0;
        self.lock().lookups.get(&key).map_or(0, |l| l.runs)
    }

    /// Returns the time of the slowest part of a request, including delays between data centres.
    #[must_use]
    pub fn slowest_part(&self, id: &str) -> Option<Duration> {
        let key = Fingerprint::of(&[&lookup_of_request(id)]).0;
        self.lock().lookups.get(&key).map(|l| l.slowest)
    }

    /// Returns the counts of one server.
    #[must_use]
    pub fn of(&self, server: &ServerName) -> ServerCounts {
        self.lock().servers.get(server).cloned().unwrap_or_default()
    }

    /// Returns the counts of every server by name.
    #[must_use]
    pub fn by_server(&self) -> BTreeMap<ServerName, ServerCounts> {
        self.lock().servers.clone()
    }

    /// Returns the sums over all servers.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let inner = self.lock();
        let mut total = ServerCounts::default();
        for c in inner.servers.values() {
            total.add(c);
        }
        Summary {
            total,
            attempts_doubled: inner.attempts.values().filter(|n| **n > 1).count() as u64,
            keys_run: inner.keys.len() as u64,
            keys_doubled: inner.keys.values().filter(|n| **n > 1).count() as u64,
        }
    }

    pub(super) fn update(&self, server: &ServerName, f: impl FnOnce(&mut ServerCounts)) {
        let mut inner = self.lock();
        match inner.servers.get_mut(server) {
            Some(c) => f(c),
            None => f(inner.servers.entry(server.clone()).or_default()),
        }
    }

    pub(super) fn note_run(&self, server: &ServerName, attempt: &str, key: Option<&str>) {
        self.update(server, |c| c.runs += 1);
        let mut inner = self.lock();
        let n = inner
            .attempts
            .entry(Fingerprint::of(&[attempt]).0)
            .or_default();
        *n = n.saturating_add(1);
        let lookup = Fingerprint::of(&[lookup_of_attempt(attempt)]).0;
        inner.lookups.entry(lookup).or_default().runs += 1;
        if let Some(key) = key {
            *inner.keys.entry(key.to_owned()).or_default() += 1;
        }
    }

    pub(super) fn note_reply(&self, attempt: &str, took: Duration) {
        let lookup = Fingerprint::of(&[lookup_of_attempt(attempt)]).0;
        if let Some(l) = self.lock().lookups.get_mut(&lookup) {
            l.slowest = l.slowest.max(took);
        }
    }

    pub(super) fn note_offer(&self, server: &ServerName, draining_for: Option<Duration>) {
        if draining_for.is_some_and(|d| d > DRAIN_NOTICE_MAX) {
            self.update(server, |c| c.late_offers += 1);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServerCounts {
    fn add(&mut self, c: &Self) {
        self.runs += c.runs;
        self.shed += c.shed;
        self.refused += c.refused;
        self.cancelled += c.cancelled;
        self.late_offers += c.late_offers;
        self.opened += c.opened;
        self.peak_open = self.peak_open.max(c.peak_open);
        self.over_limit += c.over_limit;
        self.crashes += c.crashes;
    }
}

/// Returns `vm/incarnation/lookup` of an attempt id `vm/incarnation/lookup/shard/try`.
fn lookup_of_attempt(attempt: &str) -> &str {
    attempt.rsplitn(3, '/').nth(2).unwrap_or(attempt)
}

/// Returns `vm/incarnation/lookup` of a request id `vm.incarnation.lookup`.
fn lookup_of_request(id: &str) -> String {
    let mut parts: Vec<&str> = id.rsplitn(3, '.').collect();
    parts.reverse();
    parts.join("/")
}
