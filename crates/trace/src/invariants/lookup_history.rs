//! One lookup as its events show it, and what must hold for it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use gs_query::Arrival;
use gs_query::Dispatch;
use gs_types::prelude::*;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Run {
    /// Dispatched, and not told to be sent.
    Waiting,
    /// It may run, or have run.
    Possible,
    /// It did not run and cannot any more.
    Never,
}

/// One attempt as the actions and events show it.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) shard: ShardId,
    pub(super) snapshot: SnapshotId,
    pub(super) run: Run,
}

/// One lookup as its events show it.
#[derive(Debug)]
pub(super) struct Seen {
    pub(super) arrival: Arrival,
    pub(super) due: Duration,
    pub(super) promise: Option<Promise>,
    pub(super) granted: bool,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    /// The documents of each shard's whole parts, by snapshot.
    pub(super) parts: BTreeMap<(SnapshotId, ShardId), BTreeSet<Arc<str>>>,
    pub(super) outcome: Option<Outcome>,
    pub(super) gone: bool,
}

impl Seen {
    /// An at-most-once lookup is dispatched with its claim granted, marked as such, and alone.
    pub(super) fn check_once(&self, d: &Dispatch) -> Result<(), String> {
        let id = &d.attempt;
        if !self.granted {
            return Err(format!(
                "attempt {id} must run at most once and has no claim"
            ));
        }
        if !d.once {
            return Err(format!(
                "attempt {id} must run at most once and is not marked so"
            ));
        }
        match self.attempts.iter().find(|(_, a)| a.run != Run::Never) {
            Some((other, _)) => Err(format!(
                "attempt {id} must run at most once and {other} may have run"
            )),
            None => Ok(()),
        }
    }

    /// `not-run` is said only if no attempt, and no other submission under its key, may have run.
    pub(super) fn check_not_run(&self) -> Result<(), String> {
        if self.arrival.req.idempotency_key.is_some() && !self.granted {
            return Err(
                "told `not-run`, and another submission under its key may have run".to_owned(),
            );
        }
        match self.attempts.iter().find(|(_, a)| a.run == Run::Possible) {
            Some((id, _)) => Err(format!("told `not-run`, and attempt {id} may have run")),
            None => Ok(()),
        }
    }

    /// A page is of its snapshot, its own attempts and its true coverage.
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
        let lost: BTreeSet<_> = missing.iter().map(|m| m.shard).collect();
        let told = whole.saturating_add(u32::try_from(lost.len()).unwrap_or(u32::MAX));
        if told != *shards || lost.len() != missing.len() {
            return Err(format!("its coverage does not add up: {:?}", a.coverage));
        }
        let came = self.parts_of(a.snapshot);
        let present = came.filter(|(shard, _)| !lost.contains(shard)).count();
        if present < *whole as usize {
            return Err(format!(
                "it counts {whole} whole shards of snapshot {}, and {present} came",
                a.snapshot
            ));
        }
        if self.promise == Some(Promise::Complete) && !a.coverage.is_full() {
            return Err("it must be complete and lacks shards".to_owned());
        }
        Ok(())
    }

    fn check_hits(&self, a: &Answer) -> Result<(), String> {
        let came = |h: &Hit| {
            let mut parts = self.parts_of(a.snapshot);
            parts.any(|(_, docs)| docs.contains(&h.doc))
        };
        match a.hits.iter().find(|h| !came(h)) {
            Some(h) => Err(format!(
                "document `{}` is in no part of its snapshot that came for it",
                h.doc
            )),
            None => Ok(()),
        }
    }

    /// The whole parts that came of a snapshot, each as its shard and documents.
    fn parts_of(&self, id: SnapshotId) -> impl Iterator<Item = (ShardId, &BTreeSet<Arc<str>>)> {
        let parts = self.parts.iter();
        parts
            .filter(move |((snapshot, _), _)| *snapshot == id)
            .map(|((_, shard), docs)| (*shard, docs))
    }
}
