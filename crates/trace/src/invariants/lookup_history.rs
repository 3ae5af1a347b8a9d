//! One lookup as its events and actions show it, and the checks of its invariants.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use gs_query::Arrival;
use gs_query::Dispatch;
use gs_types::prelude::*;

/// Whether a server may have executed an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// It was dispatched; no event has reported that it was sent.
    Dispatched,
    /// A server may be executing it or have executed it.
    MayHaveRun,
    /// It was not executed and can no longer be.
    NotRun,
}

/// One attempt as its events and actions show it.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) shard: ShardId,
    pub(super) snapshot: SnapshotId,
    pub(super) state: AttemptState,
}

/// One lookup as its events and actions show it.
#[derive(Debug)]
pub(super) struct LookupHistory {
    pub(super) arrival: Arrival,
    pub(super) deadline: Duration,
    pub(super) promise: Option<Promise>,
    pub(super) claim_granted: bool,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    /// The documents of each shard's complete parts, by snapshot.
    pub(super) parts: BTreeMap<(SnapshotId, ShardId), BTreeSet<Arc<str>>>,
    pub(super) outcome: Option<Outcome>,
    pub(super) caller_disconnected: bool,
}

impl LookupHistory {
    /// Checks that an at-most-once lookup is dispatched with its claim granted, marked as such, and
    /// while none of its other attempts may have run.
    pub(super) fn check_at_most_once(&self, d: &Dispatch) -> Result<(), String> {
        let id = &d.attempt;
        if !self.claim_granted {
            return Err(format!(
                "attempt {id} must run at most once but has no claim"
            ));
        }
        if !d.once {
            return Err(format!(
                "attempt {id} must run at most once but is not marked as such"
            ));
        }
        match self
            .attempts
            .iter()
            .find(|(_, a)| a.state != AttemptState::NotRun)
        {
            Some((other, _)) => Err(format!(
                "attempt {id} must run at most once but {other} may have run"
            )),
            None => Ok(()),
        }
    }

    /// Checks that no attempt, and no other submission with the same key, may have run when the
    /// outcome is `not-run`.
    pub(super) fn check_not_run(&self) -> Result<(), String> {
        if self.arrival.req.idempotency_key.is_some() && !self.claim_granted {
            return Err(
                "the outcome is `not-run` but another submission with its key may have run"
                    .to_owned(),
            );
        }
        match self
            .attempts
            .iter()
            .find(|(_, a)| a.state == AttemptState::MayHaveRun)
        {
            Some((id, _)) => Err(format!(
                "the outcome is `not-run` but attempt {id} may have run"
            )),
            None => Ok(()),
        }
    }

    /// Checks that a page consists of its own attempts' parts from its one snapshot, and that its
    /// coverage is correct.
    pub(super) fn check_page(&self, a: &Answer) -> Result<(), String> {
        self.check_coverage(a)?;
        self.check_hits(a)
    }

    fn check_coverage(&self, a: &Answer) -> Result<(), String> {
        let Coverage {
            shards,
            whole,
            missing,
        } = &a.coverage;
        let missing_shards: BTreeSet<_> = missing.iter().map(|m| m.shard).collect();
        let counted = whole.saturating_add(u32::try_from(missing_shards.len()).unwrap_or(u32::MAX));
        if counted != *shards || missing_shards.len() != missing.len() {
            return Err(format!("its coverage does not add up: {:?}", a.coverage));
        }
        let received = self.parts_of(a.snapshot);
        let present = received
            .filter(|(shard, _)| !missing_shards.contains(shard))
            .count();
        if present < *whole as usize {
            return Err(format!(
                "it counts {whole} complete shards of snapshot {} but received {present}",
                a.snapshot
            ));
        }
        if self.promise == Some(Promise::Complete) && !a.coverage.is_complete() {
            return Err("it must be complete but lacks shards".to_owned());
        }
        Ok(())
    }

    fn check_hits(&self, a: &Answer) -> Result<(), String> {
        let is_received = |h: &Hit| {
            let mut parts = self.parts_of(a.snapshot);
            parts.any(|(_, docs)| docs.contains(&h.doc))
        };
        match a.hits.iter().find(|h| !is_received(h)) {
            Some(h) => Err(format!(
                "document `{}` is in no part that it received from its snapshot",
                h.doc
            )),
            None => Ok(()),
        }
    }

    /// Returns the complete parts received from a snapshot, each as its shard and documents.
    fn parts_of(&self, id: SnapshotId) -> impl Iterator<Item = (ShardId, &BTreeSet<Arc<str>>)> {
        let parts = self.parts.iter();
        parts
            .filter(move |((snapshot, _), _)| *snapshot == id)
            .map(|((_, shard), docs)| (*shard, docs))
    }
}
