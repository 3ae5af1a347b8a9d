//! Collects evidence that requests crash servers, as seen by this VM or reported by others.
//!
//! Callers repeat a request at other VMs, so the crashes that one VM sees prove nothing; a few VMs
//! collect what all see. Servers also crash for other reasons, and break every request that they
//! have. What tells the two apart is repetition: crashes of one service count as often as each
//! began after the one before had ended, and an answer clears the earlier ones.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::crash_report::ExecutedServices;

/// Number of consecutive crashes that prove that a request causes them: two may be a coincidence.
const CRASHES_MIN: usize = 3;

/// The fewest servers that it must have crashed: a single server may crash for another reason.
const CRASHED_SERVERS_MIN: usize = 2;

/// The same for a request that only one shard never answers.
const CRASHED_SERVERS_OF_SHARD_MIN: usize = 3;

/// How long crashes are remembered; callers retry within their deadline of some seconds.
pub(crate) const CRASH_RETENTION: Duration = Duration::from_secs(20);

/// The most requests remembered, so that a burst of crashes does not use unbounded memory.
const REQUESTS_MAX: usize = 8192;

/// Fraction of the requests that is removed at once if there are too many.
const REMOVED_FRACTION: f64 = 0.125;

/// Time within which two VMs see the same crash of a server whose incarnations are not told apart.
const SAME_CRASH_MAX: Duration = Duration::from_millis(500);

/// A crash of a server while it had a request.
#[derive(Clone, Debug)]
pub(crate) struct ServerCrash {
    pub(crate) service: ServiceName,
    pub(crate) server: ServerName,
    pub(crate) born: Option<Incarnation>,
    /// When the attempt was sent.
    pub(crate) began_at: Instant,
    /// When its connection broke.
    pub(crate) ended_at: Instant,
    /// Whether servers of other shards may have executed the request without crashing.
    pub(crate) is_answered_elsewhere: bool,
}

impl ServerCrash {
    /// Returns whether it is the same crash: an incarnation of a server ends once, whenever VMs see it.
    fn is_same(&self, other: &Self) -> bool {
        if self.server != other.server || self.born != other.born {
            return false;
        }
        let first = self.ended_at.min(other.ended_at);
        let last = self.ended_at.max(other.ended_at);
        self.born.is_some() || last - first < SAME_CRASH_MAX
    }
}

/// A request that is proved to crash servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Proof {
    /// The only service that it crashes; `None` if it crashes all.
    pub(crate) service: Option<ServiceName>,
    /// Only an execution since then contradicts it.
    pub(crate) evidence_from: Instant,
}

/// Crashes under one request, in the order in which they were learned.
type Crashes = SmallVec<[ServerCrash; 2]>;

/// Crashes by request.
#[derive(Debug, Default)]
pub(crate) struct CrashLedger {
    by_request: HashMap<Fingerprint, Crashes>,
    swept_at: Option<Instant>,
}

impl CrashLedger {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// Records a crash, unless another VM has reported it; returns the number of crashes under the
    /// request.
    pub(crate) fn note(&mut self, now: Instant, request: Fingerprint, crash: ServerCrash) -> usize {
        self.remove_expired(now);
        self.make_room(request);
        let crashes = self.by_request.entry(request).or_default();
        crashes.retain(|c| !is_expired(now, c));
        if !crashes.iter().any(|c| c.is_same(&crash)) {
            crashes.push(crash);
        }
        crashes.len()
    }

    /// Records that servers executed the request without crashing; returns whether that clears
    /// evidence.
    pub(crate) fn note_executed(
        &mut self,
        request: Fingerprint,
        services: &ExecutedServices,
        at: Instant,
    ) -> bool {
        let Some(crashes) = self.by_request.get_mut(&request) else {
            return false;
        };
        let is_cleared = crashes.iter().any(|c| c.ended_at <= at);
        crashes.retain(|c| c.ended_at > at || !services.covers(&c.service));
        for c in crashes.iter_mut().filter(|c| c.ended_at <= at) {
            c.is_answered_elsewhere = true;
        }
        if crashes.is_empty() {
            self.by_request.remove(&request);
        }
        is_cleared
    }

    /// Returns the proof that a request crashes servers, if there is enough evidence.
    pub(crate) fn proof(&self, now: Instant, request: Fingerprint) -> Option<Proof> {
        let crashes = self.by_request.get(&request)?;
        let crashes: Vec<&ServerCrash> = crashes.iter().filter(|c| !is_expired(now, c)).collect();
        proof_against_request(&crashes).or_else(|| proof_against_shard(&crashes))
    }

    /// Forgets a request.
    pub(crate) fn remove(&mut self, request: Fingerprint) {
        self.by_request.remove(&request);
    }

    /// Removes old evidence at intervals.
    fn remove_expired(&mut self, now: Instant) {
        let swept_at = *self.swept_at.get_or_insert(now);
        if now.saturating_duration_since(swept_at) < CRASH_RETENTION {
            return;
        }
        self.swept_at = Some(now);
        self.by_request.retain(|_, crashes| {
            crashes.retain(|c| !is_expired(now, c));
            !crashes.is_empty()
        });
    }

    /// Removes the requests with the fewest and the oldest crashes if there are too many.
    ///
    /// When many servers crash, each request that they had is a suspect for its first crash; a
    /// request that crashes servers again and again must not be forgotten for those.
    fn make_room(&mut self, request: Fingerprint) {
        if self.by_request.len() < REQUESTS_MAX || self.by_request.contains_key(&request) {
            return;
        }
        let rank = |c: &Crashes| (c.len(), c.last().map(|c| c.ended_at));
        let mut ranked: Vec<_> = self.by_request.iter().map(|(r, c)| (rank(c), *r)).collect();
        ranked.sort_unstable();
        let removed = (REQUESTS_MAX as f64 * REMOVED_FRACTION) as usize;
        for (_, request) in ranked.into_iter().take(removed) {
            self.by_request.remove(&request);
        }
    }
}

fn is_expired(now: Instant, crash: &ServerCrash) -> bool {
    now.saturating_duration_since(crash.ended_at) >= CRASH_RETENTION
}

/// Returns the proof that a request crashes all servers, none of which ever answered it.
fn proof_against_request(crashes: &[&ServerCrash]) -> Option<Proof> {
    let unanswered = crashes.iter().filter(|c| !c.is_answered_elsewhere);
    let crashes: Vec<&ServerCrash> = unanswered.copied().collect();
    let first_at = crashes.iter().map(|c| c.ended_at).min()?;
    let counts = services(&crashes).into_iter();
    let counts = counts.map(|service| consecutive(of_service(&crashes, service)));
    let counts: Vec<usize> = counts.collect();
    if counts.iter().sum::<usize>() < CRASHES_MIN || servers(&crashes) < CRASHED_SERVERS_MIN {
        return None;
    }
    // Servers of several shards that crash together break a harmless fan-out too. It is harmless if
    // it was executed recently.
    let is_repeated = counts.iter().any(|n| *n >= CRASHES_MIN);
    let before = match is_repeated {
        true => Duration::ZERO,
        false => CRASH_RETENTION,
    };
    Some(Proof {
        service: None,
        evidence_from: first_at.checked_sub(before).unwrap_or(first_at),
    })
}

/// Returns the proof that a request crashes the servers of one shard, whatever the others do.
fn proof_against_shard(crashes: &[&ServerCrash]) -> Option<Proof> {
    let is_proved = |service: &ServiceName| {
        let of_shard = of_service(crashes, service);
        servers(&of_shard) >= CRASHED_SERVERS_OF_SHARD_MIN && consecutive(of_shard) >= CRASHES_MIN
    };
    let shard = services(crashes).into_iter().find(|s| is_proved(s))?;
    let first_at = of_service(crashes, shard)
        .iter()
        .map(|c| c.ended_at)
        .min()?;
    Some(Proof {
        service: Some(shard.clone()),
        evidence_from: first_at,
    })
}

fn services<'a>(crashes: &[&'a ServerCrash]) -> BTreeSet<&'a ServiceName> {
    crashes.iter().map(|c| &c.service).collect()
}

fn of_service<'a>(crashes: &[&'a ServerCrash], service: &ServiceName) -> Vec<&'a ServerCrash> {
    let of_service = crashes.iter().filter(|c| c.service == *service);
    of_service.copied().collect()
}

/// Returns the largest number of crashes each of which began after the one before had ended.
fn consecutive(mut crashes: Vec<&ServerCrash>) -> usize {
    crashes.sort_by_key(|c| c.ended_at);
    let mut last_end = None;
    let mut count = 0;
    for c in crashes {
        if last_end.is_none_or(|end| c.began_at >= end) {
            last_end = Some(c.ended_at);
            count += 1;
        }
    }
    count
}

/// Returns the number of servers that crashed; a restarted server is another one.
fn servers(crashes: &[&ServerCrash]) -> usize {
    let distinct: HashSet<_> = crashes.iter().map(|c| (&c.server, c.born)).collect();
    distinct.len()
}
