//! Counting calls, as the platform does, and keeping them within a budget.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// Calls made to the platform by this process, by kind. A waiting watch is one call.
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
    /// Calls of any kind that were not made as the budget was used up.
    pub over_budget: u64,
    /// Calls of any kind that the platform refused for its rate.
    pub limited: u64,
    /// Calls of any kind that failed otherwise.
    pub failed: u64,
}

impl CallCounts {
    /// All calls that reached out.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.reads + self.writes + self.deletes + self.lists + self.watches + self.vms
    }
}

/// The kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Read,
    Write,
    Delete,
    List,
    Watch,
    Vms,
}

impl Kind {
    fn is_write(self) -> bool {
        matches!(self, Self::Write | Self::Delete)
    }
}

/// How a call ended, for the counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    Answered,
    Limited,
    Failed,
}

/// Counts calls, and refuses those over the budget.
#[derive(Debug)]
pub(crate) struct Budget {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    calls: CallCounts,
    reads: Bucket,
    writes: Bucket,
    away_since: Option<Instant>,
}

/// A token bucket that holds one second's worth.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    fn new(rate: PerSecond, now: Instant) -> Self {
        let rate = rate.0.max(1.0);
        Self {
            rate,
            tokens: rate,
            filled: now,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.rate);
        self.filled = now;
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

impl Budget {
    pub(crate) fn new(reads: PerSecond, writes: PerSecond, now: Instant) -> Self {
        Self {
            state: Mutex::new(State {
                calls: CallCounts::default(),
                reads: Bucket::new(reads, now),
                writes: Bucket::new(writes, now),
                away_since: None,
            }),
        }
    }

    /// Counts a call about to be made; `false` if it is over the budget and must not be.
    pub(crate) fn take(&self, kind: Kind, now: Instant) -> bool {
        let mut s = self.lock();
        let bucket = match kind.is_write() {
            true => &mut s.writes,
            false => &mut s.reads,
        };
        if !bucket.take(now) {
            s.calls.over_budget += 1;
            return false;
        }
        let calls = &mut s.calls;
        let count = match kind {
            Kind::Read => &mut calls.reads,
            Kind::Write => &mut calls.writes,
            Kind::Delete => &mut calls.deletes,
            Kind::List => &mut calls.lists,
            Kind::Watch => &mut calls.watches,
            Kind::Vms => &mut calls.vms,
        };
        *count += 1;
        true
    }

    /// Counts how a call ended.
    pub(crate) fn ended(&self, ended: Ended, now: Instant) {
        let mut s = self.lock();
        match ended {
            Ended::Answered => s.away_since = None,
            Ended::Limited => s.calls.limited += 1,
            Ended::Failed => {
                s.calls.failed += 1;
                s.away_since.get_or_insert(now);
            }
        }
    }

    pub(crate) fn call_counts(&self) -> CallCounts {
        self.lock().calls
    }

    pub(crate) fn unreachable_for(&self, now: Instant) -> Option<Duration> {
        let since = self.lock().away_since?;
        Some(now.saturating_duration_since(since))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
