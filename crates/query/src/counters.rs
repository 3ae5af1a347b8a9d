//! What the engine counts, for the metrics endpoint.

use gs_types::prelude::*;
use serde::Serialize;
use strum::IntoEnumIterator;

/// Running totals since the process started; they only grow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Lookups that arrived.
    pub arrived: u64,
    /// Lookups answered with every shard whole.
    pub answered_full: u64,
    /// Lookups answered with shards missing, those that ended early apart.
    pub answered_thin: u64,
    /// Lookups answered early because there were hits enough.
    pub answered_early: u64,
    /// Lookups whose caller hung up.
    pub gone: u64,
    /// Shards that answered lookups asked for.
    pub shards_asked: u64,
    /// Shards of answered lookups that were whole.
    pub shards_whole: u64,
    /// Attempts handed to the shell, all kinds together.
    pub attempts: u64,
    /// Attempts made to overtake a slow one.
    pub hedges: u64,
    /// Hedges whose part arrived first.
    pub hedges_won: u64,
    /// Attempts made after one that may have run and failed.
    pub retries: u64,
    /// Attempts made after one that came back as not run.
    pub resends: u64,
    /// Hedges or retries forgone because the budget was empty.
    pub extra_refused: u64,
    /// Lookups begun again on another snapshot.
    pub restarts: u64,
    /// Lookups sent to one server alone first.
    pub canaries: u64,
    /// Fingerprints set aside here for crashing servers.
    pub quarantines: u64,
    /// Replies that matched no attempt in flight: late, doubled or crossed.
    pub stray_replies: u64,
    /// Replies whose part was from another snapshot than the pinned one.
    pub wrong_snapshot: u64,
    /// Refusals, one entry a reason in the order of the enum.
    pub refusals: Vec<RefusalCount>,
}

/// Refusals for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct RefusalCount {
    /// The reason.
    pub reason: RefusalReason,
    /// Those that said `not-run`.
    pub not_run: u64,
    /// Those that said `unknown`.
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
    /// Counts the end of a lookup.
    pub(crate) fn ended(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Answered(a) => self.answered(a),
            Outcome::NotRun(r) => self.refusal(r.reason).not_run += 1,
            Outcome::Unknown(r) => self.refusal(r.reason).unknown += 1,
        }
    }

    fn answered(&mut self, answer: &Answer) {
        self.shards_asked += u64::from(answer.coverage.shards);
        self.shards_whole += u64::from(answer.coverage.whole);
        if answer.ended_early {
            self.answered_early += 1;
        } else if answer.coverage.is_full() {
            self.answered_full += 1;
        } else {
            self.answered_thin += 1;
        }
    }

    fn refusal(&mut self, reason: RefusalReason) -> &mut RefusalCount {
        &mut self.refusals[reason as usize]
    }
}
