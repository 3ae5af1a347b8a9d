//! Requests that crash the servers which run them.
//!
//! The load it answers: one request that breaks each server that begins it, and a caller that sends it
//! again, to every VM in turn; each time a whole shard, or with a fan-out all of them, is lost for
//! seconds. What breaks connections and is never answered is refused for a while, and every VM is told. So is
//! what one shard never answers, if it broke servers of that shard again once they were back.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::servers::ServerKey;
use crate::shard_crashes::ShardCrashes;

/// Broken attempts of one request, none answered, after which it is refused: two may be the bad luck of
/// connections that a server loses; a route allows no more than a few.
pub(crate) const CRASHES_MAX: u32 = 3;

/// The fewest servers that it must have broken: one server may be broken by itself.
pub(crate) const SERVERS_MIN: usize = 2;

/// How long it is refused.
const QUARANTINE: Duration = Duration::from_secs(30);

/// How long breaks are remembered; callers send again within their deadline of some seconds.
pub(crate) const CRASH_RETENTION: Duration = Duration::from_secs(20);

/// The most requests remembered, so that a storm of breaks does not grow without bound.
pub(crate) const SUSPECTS_MAX: usize = 4096;

/// What is held against one request.
#[derive(Debug)]
struct Suspect {
    breaks: u32,
    servers: SmallVec<[ServerKey; 4]>,
    last: Instant,
}

/// Requests that broke connections, and those that are refused for it.
#[derive(Debug, Default)]
pub(crate) struct CrashSuspects {
    suspects: HashMap<Fingerprint, Suspect>,
    shards: ShardCrashes,
    refused: HashMap<Fingerprint, Instant>,
    swept_at: Option<Instant>,
}

impl CrashSuspects {
    /// Whether anything is held against any request, so that fingerprints are worth their time.
    pub(crate) fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.shards.is_empty() && self.refused.is_empty()
    }

    /// How long a request is still refused; `None` if it is not.
    pub(crate) fn quarantined_for(
        &mut self,
        now: Instant,
        request: Fingerprint,
    ) -> Option<Duration> {
        self.sweep(now);
        self.refused.retain(|_, until| *until > now);
        let until = self.refused.get(&request)?;
        Some(until.saturating_duration_since(now))
    }

    /// A server of a service broke while it had the request, in this run of its own.
    pub(crate) fn note_crash(
        &mut self,
        now: Instant,
        request: Fingerprint,
        service: &ServiceName,
        server: (ServerKey, Option<Incarnation>),
    ) {
        self.sweep(now);
        self.count(now, request, server.0);
        self.shards.note_crash(now, request, service, server);
    }

    fn count(&mut self, now: Instant, request: Fingerprint, server: ServerKey) {
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&request) {
            return;
        }
        let fresh = Suspect {
            breaks: 0,
            servers: SmallVec::new(),
            last: now,
        };
        let s = self.suspects.entry(request).or_insert(fresh);
        if now.saturating_duration_since(s.last) >= CRASH_RETENTION {
            s.breaks = 0;
            s.servers.clear();
        }
        s.breaks += 1;
        s.last = now;
        if !s.servers.contains(&server) {
            s.servers.push(server);
        }
    }

    /// Forgets old breaks now and then: while anything is held, each request costs the time of a fingerprint.
    fn sweep(&mut self, now: Instant) {
        let last = *self.swept_at.get_or_insert(now);
        if now.saturating_duration_since(last) < CRASH_RETENTION {
            return;
        }
        self.swept_at = Some(now);
        self.suspects
            .retain(|_, s| now.saturating_duration_since(s.last) < CRASH_RETENTION);
        self.shards.forget_old(now);
    }

    /// Refuses a request if it has broken enough; `true` if it was not refused before.
    ///
    /// If a server answered it, only what it broke of a single shard counts.
    pub(crate) fn quarantine_if_proved(
        &mut self,
        now: Instant,
        request: Fingerprint,
        survived: bool,
    ) -> bool {
        let is_proved = |s: &Suspect| s.breaks >= CRASHES_MAX && s.servers.len() >= SERVERS_MIN;
        let of_all = !survived && self.suspects.get(&request).is_some_and(is_proved);
        if !of_all && !self.shards.is_proved(now, request) {
            return false;
        }
        self.suspects.remove(&request);
        self.shards.forget(request);
        self.quarantine(now, request)
    }

    /// A server of a service ran the request and lived.
    pub(crate) fn note_survived(&mut self, request: Fingerprint, service: &ServiceName) {
        self.suspects.remove(&request);
        self.shards.note_survived(request, service);
    }

    /// A server ran the request and lived, it is not known which.
    pub(crate) fn note_survived_somewhere(&mut self, request: Fingerprint) {
        self.suspects.remove(&request);
    }

    /// Refuses a request for a while; `true` if it was not refused before.
    pub(crate) fn quarantine(&mut self, now: Instant, request: Fingerprint) -> bool {
        self.refused.insert(request, now + QUARANTINE).is_none()
    }
}
