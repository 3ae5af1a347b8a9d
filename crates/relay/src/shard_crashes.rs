//! Requests that crash the servers of one shard, while others answer them.
//!
//! The load it answers: a fan-out that crashes one shard again each time that a caller repeats it. Servers that crash
//! by themselves break every request that they have, so a request counts only once it has broken a server that it
//! had broken before and that has been started again since.

use std::collections::HashMap;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::crash_suspects::CRASH_RETENTION;
use crate::crash_suspects::CRASHES_MAX;
use crate::crash_suspects::SERVERS_MIN;
use crate::crash_suspects::SUSPECTS_MAX;
use crate::servers::ServerKey;

/// A server, in one run of its own.
type ServerRun = (ServerKey, Option<Incarnation>);

/// What a request broke of one shard, none of which answered it.
#[derive(Debug)]
struct Breaks {
    service: ServiceName,
    runs: SmallVec<[ServerRun; 4]>,
    last: Instant,
}

impl Breaks {
    fn is_proved(&self) -> bool {
        let mut servers: SmallVec<[ServerKey; 4]> = self.runs.iter().map(|(key, _)| *key).collect();
        servers.sort_unstable();
        servers.dedup();
        let was_broken_again = servers.len() < self.runs.len();
        was_broken_again && servers.len() >= SERVERS_MIN && self.runs.len() >= CRASHES_MAX as usize
    }
}

/// What requests broke, by shard.
#[derive(Debug, Default)]
pub(crate) struct ShardCrashes {
    requests: HashMap<Fingerprint, SmallVec<[Breaks; 1]>>,
}

impl ShardCrashes {
    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// A server of a service broke while it had the request.
    pub(crate) fn note_crash(
        &mut self,
        now: Instant,
        request: Fingerprint,
        service: &ServiceName,
        server: ServerRun,
    ) {
        if self.requests.len() >= SUSPECTS_MAX && !self.requests.contains_key(&request) {
            return;
        }
        let shards = self.requests.entry(request).or_default();
        let found = shards.iter().position(|b| b.service == *service);
        let at = found.unwrap_or_else(|| {
            shards.push(Breaks {
                service: service.clone(),
                runs: SmallVec::new(),
                last: now,
            });
            shards.len() - 1
        });
        let breaks = &mut shards[at];
        if is_old(now, breaks) {
            breaks.runs.clear();
        }
        breaks.last = now;
        if !breaks.runs.contains(&server) {
            breaks.runs.push(server);
        }
    }

    /// A server of a service ran the request and lived.
    pub(crate) fn note_survived(&mut self, request: Fingerprint, service: &ServiceName) {
        if let Some(shards) = self.requests.get_mut(&request) {
            shards.retain(|b| b.service != *service);
            if shards.is_empty() {
                self.requests.remove(&request);
            }
        }
    }

    /// Whether the request has broken enough of one shard.
    pub(crate) fn is_proved(&self, now: Instant, request: Fingerprint) -> bool {
        let shards = self.requests.get(&request);
        shards.is_some_and(|s| s.iter().any(|b| !is_old(now, b) && b.is_proved()))
    }

    pub(crate) fn forget(&mut self, request: Fingerprint) {
        self.requests.remove(&request);
    }

    pub(crate) fn forget_old(&mut self, now: Instant) {
        self.requests.retain(|_, shards| {
            shards.retain(|b| !is_old(now, b));
            !shards.is_empty()
        });
    }
}

fn is_old(now: Instant, breaks: &Breaks) -> bool {
    now.saturating_duration_since(breaks.last) >= CRASH_RETENTION
}
