//! Counts calls as the platform counts them, and rejects those over a budget.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Number of calls that this process made to the platform, by kind. A waiting watch is one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Objects read.
    pub reads: u64,
    /// Objects written.
    pub writes: u64,
    /// Objects deleted.
    pub deletes: u64,
    /// Prefixes listed.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Calls of any kind that were not made because the budget was used up.
    pub over_budget: u64,
    /// Calls of any kind that the platform rejected because of its rate limit.
    pub limited: u64,
    /// Calls of any kind that failed for another reason.
    pub failed: u64,
}

impl CallCounts {
    /// Returns the number of calls of all kinds that were made.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.reads + self.writes + self.deletes + self.lists + self.watches + self.vms
    }
}

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Read,
    Write,
    Delete,
    List,
    Watch,
    Vms,
}

impl CallKind {
    fn is_write(self) -> bool {
        matches!(self, Self::Write | Self::Delete)
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallEnd {
    Answered,
    /// The platform rejected it because of its rate limit.
    Limited,
    Failed,
}

/// Counts calls and rejects those over the budget of reads or of writes per second.
#[derive(Debug)]
pub(crate) struct CallBudget {
    state: Mutex<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    calls: CallCounts,
    reads: TokenBucket,
    writes: TokenBucket,
    /// When a call first failed since the last answered one.
    unreachable_since: Option<Instant>,
}

/// Token bucket with the capacity of one second.
#[derive(Debug)]
struct TokenBucket {
    rate: f64,
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    fn new(rate: PerSecond, now: Instant) -> Self {
        let rate = rate.0.max(1.0);
        Self {
            rate,
            tokens: rate,
            filled_at: now,
        }
    }

    /// Takes a token; returns `false` if there is none.
    fn try_take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.rate);
        self.filled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

impl CallBudget {
    pub(crate) fn new(reads: PerSecond, writes: PerSecond, now: Instant) -> Self {
        Self {
            state: Mutex::new(BudgetState {
                calls: CallCounts::default(),
                reads: TokenBucket::new(reads, now),
                writes: TokenBucket::new(writes, now),
                unreachable_since: None,
            }),
        }
    }

    /// Counts a call that is about to be made; returns `false` if it is over the budget and must not be made.
    pub(crate) fn try_take(&self, kind: CallKind, now: Instant) -> bool {
        let mut s = self.lock();
        let bucket = match kind.is_write() {
            true => &mut s.writes,
            false => &mut s.reads,
        };
        if !bucket.try_take(now) {
            s.calls.over_budget += 1;
            return false;
        }
        let calls = &mut s.calls;
        let count = match kind {
            CallKind::Read => &mut calls.reads,
            CallKind::Write => &mut calls.writes,
            CallKind::Delete => &mut calls.deletes,
            CallKind::List => &mut calls.lists,
            CallKind::Watch => &mut calls.watches,
            CallKind::Vms => &mut calls.vms,
        };
        *count += 1;
        true
    }

    /// Counts the end of a call. Only an answer ends an outage; a rate-limited call neither begins nor ends one.
    pub(crate) fn on_call_end(&self, end: CallEnd, now: Instant) {
        let mut s = self.lock();
        match end {
            CallEnd::Answered => s.unreachable_since = None,
            CallEnd::Limited => s.calls.limited += 1,
            CallEnd::Failed => {
                s.calls.failed += 1;
                s.unreachable_since.get_or_insert(now);
            }
        }
    }

    /// Returns the calls made so far.
    pub(crate) fn call_counts(&self) -> CallCounts {
        self.lock().calls
    }

    /// Returns the time since the first failed call after the last answered one; `None` if none failed since.
    pub(crate) fn unreachable_for(&self, now: Instant) -> Option<Duration> {
        let since = self.lock().unreachable_since?;
        Some(now.saturating_duration_since(since))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
