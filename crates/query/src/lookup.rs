//! The state of a lookup in flight.

use std::sync::Arc;
use std::time::Instant;

use gs_route::ServerIdx;
use gs_route::Snapshot;
use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::attempt::Attempt;
use crate::attempt::Cause;

/// The maximum number of attempts at one shard, those never sent included.
const SHARD_ATTEMPTS_MAX: usize = 32;

/// The phase of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupPhase {
    /// Waits for the claim of an at-most-once lookup.
    Claiming,
    /// A server crashed under it before any part arrived: all attempts are cancelled, and the
    /// canary follows when they have ended or at this time.
    Quiescing(Instant),
    /// A canary is in flight at the shard at this position of [`ActiveLookup::shards`].
    Canary(usize),
    /// Every shard is queried.
    Running,
}

/// The state of one shard of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ShardState {
    /// Not started, or held back until a canary or another part succeeds.
    Held,
    /// Queued for a free connection.
    Waiting,
    /// An attempt is in flight.
    Running,
    /// Its part has arrived.
    Whole,
    /// Abandoned.
    Missing,
}

/// One shard of a lookup.
#[derive(Clone, Debug)]
pub(crate) struct LookupShard {
    pub(crate) id: ShardId,
    pub(crate) state: ShardState,
    pub(crate) part: Option<Arc<Part>>,
    pub(crate) attempts: SmallVec<[Attempt; 2]>,
    /// The reason to report if no part arrives.
    pub(crate) miss_reason: MissReason,
    /// The servers in whose queues it waits.
    pub(crate) queue_servers: SmallVec<[ServerIdx; 2]>,
    /// The cause of the queued attempt.
    pub(crate) queued_cause: Cause,
}

impl LookupShard {
    pub(crate) fn new(id: ShardId) -> Self {
        Self {
            id,
            state: ShardState::Held,
            part: None,
            attempts: SmallVec::new(),
            miss_reason: MissReason::Late,
            queue_servers: SmallVec::new(),
            queued_cause: Cause::First,
        }
    }

    /// Whether an attempt is in flight whose part is still wanted.
    pub(crate) fn has_live_attempt(&self) -> bool {
        self.attempts.iter().any(Attempt::is_live)
    }

    /// Whether no further attempt is allowed; those never sent count only against
    /// [`SHARD_ATTEMPTS_MAX`].
    pub(crate) fn has_no_tries_left(&self, tries_max: u16) -> bool {
        let tries = self.attempts.iter().filter(|a| a.sent_at.is_some()).count();
        tries >= usize::from(tries_max) || self.attempts.len() >= SHARD_ATTEMPTS_MAX
    }

    /// Whether neither its part has arrived nor it was abandoned.
    pub(crate) fn is_open(&self) -> bool {
        !matches!(self.state, ShardState::Whole | ShardState::Missing)
    }
}

/// A lookup in flight.
#[derive(Debug)]
pub(crate) struct ActiveLookup {
    pub(crate) seq: LookupSeq,
    pub(crate) decl: Arc<Lookup>,
    /// The index of its group in the engine.
    pub(crate) group: usize,
    pub(crate) query: Arc<str>,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) snapshot_min: Option<SnapshotId>,
    pub(crate) arrived_at: Instant,
    /// The latest time at which its answer is sent.
    pub(crate) answer_by: Instant,
    pub(crate) phase: LookupPhase,
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) shards: Vec<LookupShard>,
    /// The latest time at which failed parts that are held are retried.
    pub(crate) held_until: Option<Instant>,
    /// Whether it must send a canary before its fan-out.
    pub(crate) needs_canary: bool,
    /// The number of the first attempt at each shard; increases with every restart, so that
    /// attempts at equally numbered shards of two snapshots never have the same id.
    pub(crate) first_attempt_number: u16,
    pub(crate) complete_parts: u32,
    pub(crate) missing_parts: u32,
    pub(crate) hits: u64,
    /// Dispatched attempts that were not reported as not executed.
    pub(crate) may_have_run: u32,
    /// Whether an attempt was reported as sent, or got a reply. An at-most-once lookup is then never
    /// retried, even if the server shed it without executing it.
    pub(crate) was_sent: bool,
    /// Whether its claim was granted.
    pub(crate) was_granted: bool,
    /// Whether a server executed this lookup itself, not only an earlier one with its fingerprint,
    /// without crashing.
    pub(crate) is_proven: bool,
    pub(crate) is_congested: bool,
    pub(crate) extra_attempts: u32,
    pub(crate) restarts: u8,
    /// The time of its timer.
    pub(crate) timer_at: Option<Instant>,
    /// Whether a shard's replicas dropped the pinned snapshot, so that another should be pinned.
    pub(crate) wants_restart: bool,
    /// Whether its caller disconnected, so that no response is sent.
    pub(crate) is_caller_disconnected: bool,
    /// Whether it has ended.
    pub(crate) is_done: bool,
}

impl ActiveLookup {
    /// Whether it must be executed at most once.
    pub(crate) fn is_at_most_once(&self) -> bool {
        self.decl.promise == Promise::AtMostOnce
    }

    /// Whether no other server has it while the given attempt at the shard at this position is in flight.
    pub(crate) fn is_alone_at(&self, pos: usize, attempt: usize) -> bool {
        let is_last = attempt + 1 == self.shards[pos].attempts.len();
        self.shards.len() == 1 || (self.phase == LookupPhase::Canary(pos) && is_last)
    }

    /// Whether the missing shards already rule out an answer on this snapshot.
    pub(crate) fn is_unanswerable(&self) -> bool {
        self.missing_parts > 0 && self.decl.promise == Promise::Complete
    }

    /// Returns the position of a shard in [`ActiveLookup::shards`].
    pub(crate) fn shard_position(&self, shard: ShardId) -> Option<usize> {
        match self.decl.scope {
            Scope::Scatter => Some(shard.0 as usize).filter(|pos| *pos < self.shards.len()),
            Scope::Keyed => self.shards.iter().position(|s| s.id == shard),
        }
    }

    /// Returns the replicas of the shard at this position.
    pub(crate) fn replicas(&self, pos: usize) -> &[ServerIdx] {
        let shard = self.shards[pos].id.0 as usize;
        self.snapshot.shards.get(shard).map_or(&[], |r| r)
    }

    /// Pins a snapshot and resets every shard.
    pub(crate) fn pin_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        let used = self
            .shards
            .iter()
            .map(|s| s.attempts.len())
            .max()
            .unwrap_or(0);
        let used = u16::try_from(used).unwrap_or(u16::MAX);
        self.first_attempt_number = self.first_attempt_number.saturating_add(used);
        self.shards = self.new_shards(&snapshot);
        self.snapshot = snapshot;
        self.complete_parts = 0;
        self.missing_parts = 0;
        self.hits = 0;
        self.wants_restart = false;
        self.held_until = None;
    }

    fn new_shards(&self, snapshot: &Snapshot) -> Vec<LookupShard> {
        // A group map is at most a megabyte, so the number of shards fits in a `u32`.
        let count = snapshot.shards.len() as u32;
        match (self.decl.scope, &self.key) {
            (Scope::Scatter, _) => (0..count).map(|n| LookupShard::new(ShardId(n))).collect(),
            (Scope::Keyed, key) => {
                let key = key.as_deref().unwrap_or("");
                let shard = crate::shard_key::shard_of_key(key, count);
                shard.map(LookupShard::new).into_iter().collect()
            }
        }
    }

    /// Returns the shards without a part, with the reasons.
    pub(crate) fn missing_shards(&self, ended_early: bool) -> Vec<MissingShard> {
        self.shards
            .iter()
            .filter(|s| s.state != ShardState::Whole)
            .map(|s| MissingShard {
                shard: s.id,
                reason: match s.state {
                    ShardState::Missing => s.miss_reason,
                    _ if ended_early => MissReason::EndedEarly,
                    _ if s.miss_reason == MissReason::Shed => MissReason::Shed,
                    _ => MissReason::Late,
                },
            })
            .collect()
    }
}
