//! The engine's counters, for the metrics endpoint.

use gs_types::prelude::*;
use serde::Serialize;
use strum::IntoEnumIterator;

/// Running totals since the process started; they only increase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Lookups that arrived.
    pub arrived: u64,
    /// Lookups answered with a part of every shard.
    pub answered_full: u64,
    /// Lookups answered with shards missing, except those that ended early.
    pub answered_thin: u64,
    /// Lookups answered early because they had enough hits.
    pub answered_early: u64,
    /// Lookups whose caller disconnected.
    pub gone: u64,
    /// Shards queried by answered lookups.
    pub shards_asked: u64,
    /// Shards of answered lookups whose part was complete.
    pub shards_whole: u64,
    /// Attempts dispatched, of every cause.
    pub attempts: u64,
    /// Attempts made in parallel with a slow one.
    pub hedges: u64,
    /// Hedges whose part arrived first.
    pub hedges_won: u64,
    /// Attempts made after one that failed and may have been executed.
    pub retries: u64,
    /// Attempts made after one that was not executed.
    pub resends: u64,
    /// Hedges, retries or restarts not made because the budget was empty.
    pub extra_refused: u64,
    /// Restarts of lookups on another snapshot.
    pub restarts: u64,
    /// Canaries sent.
    pub canaries: u64,
    /// Quarantines of fingerprints decided on this VM, because they crashed servers.
    pub quarantines: u64,
    /// Replies that matched no attempt in flight: late, duplicated or misdirected.
    pub stray_replies: u64,
    /// Parts from another snapshot than the pinned one.
    pub wrong_snapshot: u64,
    /// Refusals, one entry per reason in the order of the enum.
    pub refusals: Vec<RefusalCount>,
}

/// The number of refusals for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct RefusalCount {
    /// The reason.
    pub reason: RefusalReason,
    /// Refusals with the outcome `not-run`.
    pub not_run: u64,
    /// Refusals with the outcome `unknown`.
    pub unknown: u64,
}

impl Default for Counters {
    fn default() -> Self {
        let none = |reason| RefusalCount {
            reason,
            not_run: 0,
            unknown: 0,
        };
        Self {
            arrived: 0,
            answered_full: 0,
            answered_thin: 0,
            answered_early: 0,
            gone: 0,
            shards_asked: 0,
            shards_whole: 0,
            attempts: 0,
            hedges: 0,
            hedges_won: 0,
            retries: 0,
            resends: 0,
            extra_refused: 0,
            restarts: 0,
            canaries: 0,
            quarantines: 0,
            stray_replies: 0,
            wrong_snapshot: 0,
            refusals: RefusalReason::iter().map(none).collect(),
        }
    }
}
impl Counters {
    /// Counts the outcome of a lookup.
    pub(crate) fn count_outcome(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Answered(a) => self.count_answer(a),
            Outcome::NotRun(r) => self.refusal_count(r.reason).not_run += 1,
            Outcome::Unknown(r) => self.refusal_count(r.reason).unknown += 1,
        }
    }

    fn count_answer(&mut self, answer: &Answer) {
        self.shards_asked += u64::from(answer.coverage.shards);
        self.shards_whole += u64::from(answer.coverage.whole);
        if answer.ended_early {
            self.answered_early += 1;
        } else if answer.coverage.is_complete() {
            self.answered_full += 1;
        } else {
            self.answered_thin += 1;
        }
    }

    fn refusal_count(&mut self, reason: RefusalReason) -> &mut RefusalCount {
        &mut self.refusals[reason as usize]
    }
}
