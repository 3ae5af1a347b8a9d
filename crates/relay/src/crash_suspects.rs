//! Tracks requests that crash the servers which execute them, and quarantines these requests.
//!
//! A single request may crash each server that starts it while its caller repeats it, at every VM
//! in turn; each time a whole shard, or with a fan-out all of them, is lost for seconds. A request
//! that breaks connections and is never answered is refused for 30 s, and every VM is notified.
//! The same holds for a request that one shard never answers, if it crashed servers of that shard
//! again after they had restarted.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::servers::ServerKey;
use crate::shard_crashes::ShardCrashes;

/// Number of broken attempts of one request, none answered, at which it is quarantined: two may be
/// a coincidence of connections that a server loses, and a route allows only a few attempts.
pub(crate) const CRASHES_MAX: u32 = 3;

/// The fewest servers that it must have crashed: a single server may crash for another reason.
pub(crate) const CRASHED_SERVERS_MIN: usize = 2;

/// How long a request is quarantined.
const QUARANTINE_DURATION: Duration = Duration::from_secs(30);

/// How long crashes are remembered; callers retry within their deadline of some seconds.
pub(crate) const CRASH_RETENTION: Duration = Duration::from_secs(20);

/// The most suspected requests remembered, so that a burst of crashes does not use unbounded
/// memory.
pub(crate) const SUSPECTS_MAX: usize = 4096;

/// Evidence of crashes for one request.
#[derive(Debug)]
struct Suspect {
    crashes: u32,
    servers: SmallVec<[ServerKey; 4]>,
    last_crash_at: Instant,
}

/// Requests that broke connections, and those in quarantine.
#[derive(Debug, Default)]
pub(crate) struct CrashSuspects {
    suspects: HashMap<Fingerprint, Suspect>,
    shard_crashes: ShardCrashes,
    quarantined: HashMap<Fingerprint, Instant>,
    last_sweep_at: Option<Instant>,
}

impl CrashSuspects {
    /// Returns whether there is no evidence against any request, so that fingerprints need not be
    /// computed.
    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.shard_crashes.is_empty() && self.quarantined.is_empty()
    }

    /// Returns how long a request is still in quarantine; `None` if it is not.
    pub(crate) fn quarantined_for(
        &mut self,
        now: Instant,
        request: Fingerprint,
    ) -> Option<Duration> {
        self.remove_old_evidence(now);
        self.quarantined.retain(|_, until| *until > now);
        let until = self.quarantined.get(&request)?;
        Some(until.saturating_duration_since(now))
    }

    /// Records that a server of a service crashed, in the given incarnation, while it had the
    /// request; returns how often the request is known to have crashed a server.
    pub(crate) fn note_crash(
        &mut self,
        now: Instant,
        request: Fingerprint,
        service: &ServiceName,
        server: (ServerKey, Option<Incarnation>),
    ) -> u32 {
        self.remove_old_evidence(now);
        let crashes = self.count_crash(now, request, server.0);
        self.shard_crashes.note_crash(now, request, service, server);
        crashes
    }

    /// Counts a crash against a request; returns the number of its crashes.
    fn count_crash(&mut self, now: Instant, request: Fingerprint, server: ServerKey) -> u32 {
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&request) {
            return 0;
        }
        let fresh = Suspect {
            crashes: 0,
            servers: SmallVec::new(),
            last_crash_at: now,
        };
        let s = self.suspects.entry(request).or_insert(fresh);
        if now.saturating_duration_since(s.last_crash_at) >= CRASH_RETENTION {
            s.crashes = 0;
            s.servers.clear();
        }
        s.crashes += 1;
        s.last_crash_at = now;
        if !s.servers.contains(&server) {
            s.servers.push(server);
        }
        s.crashes
    }

    /// Removes old evidence at intervals: while there is any, a fingerprint is computed for each
    /// request.
    fn remove_old_evidence(&mut self, now: Instant) {
        let last = *self.last_sweep_at.get_or_insert(now);
        if now.saturating_duration_since(last) < CRASH_RETENTION {
            return;
        }
        self.last_sweep_at = Some(now);
        self.suspects
            .retain(|_, s| now.saturating_duration_since(s.last_crash_at) < CRASH_RETENTION);
        self.shard_crashes.remove_expired(now);
    }

    /// Quarantines a request if there is enough evidence; returns `true` if it was not in
    /// quarantine before.
    ///
    /// If a server answered it, only crashes within a single shard count.
    pub(crate) fn quarantine_if_enough_crashes(
        &mut self,
        now: Instant,
        request: Fingerprint,
        executed_without_crash: bool,
    ) -> bool {
        let has_enough_crashes =
            |s: &Suspect| s.crashes >= CRASHES_MAX && s.servers.len() >= CRASHED_SERVERS_MIN;
        let is_suspect_proved =
            !executed_without_crash && self.suspects.get(&request).is_some_and(has_enough_crashes);
        if !is_suspect_proved && !self.shard_crashes.has_enough_crashes(now, request) {
            return false;
        }
        self.suspects.remove(&request);
        self.shard_crashes.remove_request(request);
        self.quarantine(now, request)
    }

    /// Records that a server of a service executed the request without crashing.
    pub(crate) fn note_executed(&mut self, request: Fingerprint, service: &ServiceName) {
        self.suspects.remove(&request);
        self.shard_crashes.note_executed(request, service);
    }

    /// Records that an unknown server executed the request without crashing.
    pub(crate) fn note_executed_by_unknown(&mut self, request: Fingerprint) {
        self.suspects.remove(&request);
    }

    /// Quarantines a request; returns `true` if it was not in quarantine before.
    pub(crate) fn quarantine(&mut self, now: Instant, request: Fingerprint) -> bool {
        self.quarantined
            .insert(request, now + QUARANTINE_DURATION)
            .is_none()
    }
}
