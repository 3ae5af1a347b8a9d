//! Tracks requests that crash the servers of one shard while other shards answer them.
//!
//! Such a fan-out crashes that shard again each time its caller repeats it. A server that crashes
//! for another reason breaks every request that it has, so a request counts only once it has
//! crashed the same server twice, with a restart of the server in between.

use std::collections::HashMap;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::crash_suspects::CRASH_RETENTION;
use crate::crash_suspects::CRASHED_SERVERS_MIN;
use crate::crash_suspects::CRASHES_MAX;
use crate::crash_suspects::SUSPECTS_MAX;
use crate::servers::ServerKey;

/// A server in one of its incarnations.
type ServerIncarnation = (ServerKey, Option<Incarnation>);

/// Servers of one shard that crashed while they had a request, which none of the shard answered.
#[derive(Debug)]
struct CrashRecord {
    service: ServiceName,
    incarnations: SmallVec<[ServerIncarnation; 4]>,
    last_crash_at: Instant,
}

impl CrashRecord {
    fn has_enough_crashes(&self) -> bool {
        let mut servers: SmallVec<[ServerKey; 4]> =
            self.incarnations.iter().map(|(key, _)| *key).collect();
        servers.sort_unstable();
        servers.dedup();
        let crashed_again = servers.len() < self.incarnations.len();
        crashed_again
            && servers.len() >= CRASHED_SERVERS_MIN
            && self.incarnations.len() >= CRASHES_MAX as usize
    }
}

/// Crashes by request and shard.
#[derive(Debug, Default)]
pub(crate) struct ShardCrashes {
    by_request: HashMap<Fingerprint, SmallVec<[CrashRecord; 1]>>,
}

impl ShardCrashes {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// Records that a server of a service crashed while it had the request.
    pub(crate) fn note_crash(
        &mut self,
        now: Instant,
        request: Fingerprint,
        service: &ServiceName,
        server: ServerIncarnation,
    ) {
        if self.by_request.len() >= SUSPECTS_MAX && !self.by_request.contains_key(&request) {
            return;
        }
        let shards = self.by_request.entry(request).or_default();
        let found = shards.iter().position(|r| r.service == *service);
        let at = found.unwrap_or_else(|| {
            shards.push(CrashRecord {
                service: service.clone(),
                incarnations: SmallVec::new(),
                last_crash_at: now,
            });
            shards.len() - 1
        });
        let record = &mut shards[at];
        if is_expired(now, record) {
            record.incarnations.clear();
        }
        record.last_crash_at = now;
        if !record.incarnations.contains(&server) {
            record.incarnations.push(server);
        }
    }

    /// Records that a server of a service executed the request without crashing.
    pub(crate) fn note_executed(&mut self, request: Fingerprint, service: &ServiceName) {
        if let Some(shards) = self.by_request.get_mut(&request) {
            shards.retain(|r| r.service != *service);
            if shards.is_empty() {
                self.by_request.remove(&request);
            }
        }
    }

    /// Returns whether the request has crashed enough servers of one shard.
    pub(crate) fn has_enough_crashes(&self, now: Instant, request: Fingerprint) -> bool {
        let shards = self.by_request.get(&request);
        shards.is_some_and(|s| {
            s.iter()
                .any(|r| !is_expired(now, r) && r.has_enough_crashes())
        })
    }

    pub(crate) fn remove_request(&mut self, request: Fingerprint) {
        self.by_request.remove(&request);
    }

    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.by_request.retain(|_, shards| {
            shards.retain(|r| !is_expired(now, r));
            !shards.is_empty()
        });
    }
}

fn is_expired(now: Instant, record: &CrashRecord) -> bool {
    now.saturating_duration_since(record.last_crash_at) >= CRASH_RETENTION
}
