//! The state of one lookup in flight.

use std::sync::Arc;
use std::time::Instant;

use gs_route::ServerIdx;
use gs_route::Snapshot;
use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::attempt::Attempt;
use crate::attempt::Kind;

/// The most attempts at one shard, those that never left included.
const ATTEMPTS_MAX: usize = 32;

/// What a lookup is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for the claim of an at-most-once lookup.
    Claiming,
    /// A server broke on it before any part was whole: everything is stopped until the attempts
    /// under way have ended, or until then.
    Settling(Instant),
    /// One server alone sees it, at this position of [`LookupRun::shards`].
    Canary(usize),
    /// Every shard is asked.
    Running,
}

/// What one shard of a lookup is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ShardState {
    /// Not begun, or held back under suspicion.
    Held,
    /// Waits for a free connection.
    Waiting,
    /// An attempt is under way.
    Running,
    /// Its part is in.
    Whole,
    /// Given up.
    Missing,
}

/// One shard of a lookup.
#[derive(Clone, Debug)]
pub(crate) struct ShardRun {
    pub(crate) id: ShardId,
    pub(crate) state: ShardState,
    pub(crate) part: Option<Arc<Part>>,
    pub(crate) attempts: SmallVec<[Attempt; 2]>,
    /// Why it would be missing if nothing better came.
    pub(crate) miss: MissReason,
    /// The servers in whose queue it stands while it waits.
    pub(crate) queued_at: SmallVec<[ServerIdx; 2]>,
    /// The kind of the attempt that it waits to make.
    pub(crate) queued_as: Kind,
}

impl ShardRun {
    pub(crate) fn new(id: ShardId) -> Self {
        Self {
            id,
            state: ShardState::Held,
            part: None,
            attempts: SmallVec::new(),
            miss: MissReason::Late,
            queued_at: SmallVec::new(),
            queued_as: Kind::First,
        }
    }

    /// Whether an attempt is under way that is still wanted.
    pub(crate) fn has_live(&self) -> bool {
        self.attempts.iter().any(Attempt::is_live)
    }

    /// Whether it had all its tries; those that never left count only against the upper bound.
    pub(crate) fn is_used_up(&self, tries_max: u16) -> bool {
        let tries = self.attempts.iter().filter(|a| a.sent.is_some()).count();
        tries >= usize::from(tries_max) || self.attempts.len() >= ATTEMPTS_MAX
    }

    /// Whether neither a part nor a miss is final.
    pub(crate) fn is_open(&self) -> bool {
        !matches!(self.state, ShardState::Whole | ShardState::Missing)
    }
}

/// One lookup in flight.
#[derive(Debug)]
pub(crate) struct LookupRun {
    pub(crate) seq: LookupSeq,
    pub(crate) decl: Arc<Lookup>,
    /// The place of its group in the engine.
    pub(crate) group: usize,
    pub(crate) query: Arc<str>,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) floor: Option<SnapshotId>,
    pub(crate) arrived: Instant,
    /// When its answer goes out at the latest.
    pub(crate) answer_by: Instant,
    pub(crate) phase: Phase,
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) shards: Vec<ShardRun>,
    /// When parts lost before any was whole are asked for again at the latest.
    pub(crate) held_until: Option<Instant>,
    /// Whether it must show one server alone before it is fanned out.
    pub(crate) canary_first: bool,
    /// The number of the first attempt at each shard; grows with every restart, so that an attempt
    /// at another snapshot's shard of the same number never has the same id.
    pub(crate) first_number: u16,
    pub(crate) whole: u32,
    pub(crate) missing: u32,
    pub(crate) hits: u64,
    /// Attempts handed over that did not come back as not run.
    pub(crate) may_have_run: u32,
    /// Whether an attempt passed the point of no return.
    pub(crate) was_sent: bool,
    /// Whether its claim was granted.
    pub(crate) was_granted: bool,
    /// Whether a server ran it and lived.
    pub(crate) is_proven: bool,
    pub(crate) is_congested: bool,
    pub(crate) extra: u32,
    pub(crate) restarts: u8,
    /// When the engine looks at it next.
    pub(crate) timer: Option<Instant>,
    /// Whether a shard's replicas dropped the pinned snapshot, so that another should be pinned.
    pub(crate) wants_restart: bool,
    /// Whether its caller hung up, so that nobody hears its last word.
    pub(crate) is_gone: bool,
    /// Whether its last word was given.
    pub(crate) is_done: bool,
}

impl LookupRun {
    /// Whether it must run at most once.
    pub(crate) fn is_once(&self) -> bool {
        self.decl.promise == Promise::AtMostOnce
    }

    /// Whether what is missing already rules an answer out on this snapshot.
    pub(crate) fn is_hopeless(&self) -> bool {
        self.missing > 0 && self.decl.promise == Promise::Complete
    }

    /// The place of a shard in [`LookupRun::shards`].
    pub(crate) fn position(&self, shard: ShardId) -> Option<usize> {
        match self.decl.scope {
            Scope::Scatter => Some(shard.0 as usize).filter(|at| *at < self.shards.len()),
            Scope::Keyed => self.shards.iter().position(|s| s.id == shard),
        }
    }

    /// The replicas of the shard at this position.
    pub(crate) fn replicas(&self, at: usize) -> &[ServerIdx] {
        let shard = self.shards[at].id.0 as usize;
        self.snapshot.shards.get(shard).map_or(&[], |r| r)
    }

    /// Pins a snapshot and begins every shard anew.
    pub(crate) fn pin(&mut self, snapshot: Arc<Snapshot>) {
        let used = self
            .shards
            .iter()
            .map(|s| s.attempts.len())
            .max()
            .unwrap_or(0);
        let used = u16::try_from(used).unwrap_or(u16::MAX);
        self.first_number = self.first_number.saturating_add(used);
        self.shards = self.shards_of(&snapshot);
        self.snapshot = snapshot;
        self.whole = 0;
        self.missing = 0;
        self.hits = 0;
        self.wants_restart = false;
        self.held_until = None;
    }

    fn shards_of(&self, snapshot: &Snapshot) -> Vec<ShardRun> {
        // A group map is at most a megabyte, so the count of shards fits.
        let count = snapshot.shards.len() as u32;
        match (self.decl.scope, &self.key) {
            (Scope::Scatter, _) => (0..count).map(|n| ShardRun::new(ShardId(n))).collect(),
            (Scope::Keyed, key) => {
                let key = key.as_deref().unwrap_or("");
                let shard = crate::keyed::shard_of_key(key, count);
                shard.map(ShardRun::new).into_iter().collect()
            }
        }
    }

    /// The shards without a part, and why.
    pub(crate) fn missing_shards(&self, ended_early: bool) -> Vec<MissingShard> {
        self.shards
            .iter()
            .filter(|s| s.state != ShardState::Whole)
            .map(|s| MissingShard {
                shard: s.id,
                reason: match s.state {
                    ShardState::Missing => s.miss,
                    _ if ended_early => MissReason::EndedEarly,
                    _ if s.miss == MissReason::Shed => MissReason::Shed,
                    _ => MissReason::Late,
                },
            })
            .collect()
    }
}
