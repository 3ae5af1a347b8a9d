//! Counts and latencies of a load run.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_types::prelude::*;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::caller::Reply;
use super::check::Fault;

/// The maximum latency recorded, in microseconds; longer ones are recorded as this.
const LATENCY_MAX_US: u64 = 60_000_000;

/// The number of significant digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The counts and latencies of one lookup, or of all.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Latencies of pages, in microseconds.
    pub latency: Histogram<u64>,
    /// The time of each page's slowest part, as measured by its server, in microseconds.
    pub slowest: Histogram<u64>,
    /// The latency of each page beyond its slowest part, in microseconds.
    pub added: Histogram<u64>,
    /// Requests made.
    pub asked: u64,
    /// Pages received.
    pub answered: u64,
    /// Pages that cover every shard.
    pub full: u64,
    /// Pages that ended early.
    pub early: u64,
    /// Shards queried for the pages that did not end early.
    pub shards: u64,
    /// Shards queried for all pages.
    pub all_shards: u64,
    /// Shards covered by the pages that did not end early.
    pub whole: u64,
    /// Attempts beyond one per shard.
    pub extra: u64,
    /// Refusals as "not run", by reason.
    pub not_run: BTreeMap<String, u64>,
    /// Refusals with an unknown outcome, by reason.
    pub unknown: BTreeMap<String, u64>,
    /// Shards missing from pages and named in refusals, by reason.
    pub missing: BTreeMap<String, u64>,
    /// Requests that could not be sent.
    pub unreachable: u64,
    /// Wrong answers by fault.
    pub faults: BTreeMap<Fault, u64>,
}

/// One row of a table.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The name in the first column.
    pub name: String,
    /// Requests made.
    pub asked: u64,
    /// Pages received.
    pub answered: u64,
    /// Pages that cover every shard or ended early.
    pub whole: u64,
    /// Median latency, in milliseconds.
    pub p50: f64,
    /// 99th percentile, in milliseconds.
    pub p99: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999: f64,
    /// The share of shards covered by the pages, without those that ended early.
    pub coverage: f64,
    /// Extra attempts per shard queried, in per cent.
    pub extra: f64,
    /// Refusals as "not run".
    pub not_run: u64,
    /// Refusals with an unknown outcome.
    pub unknown: u64,
    /// Wrong answers.
    pub wrong: u64,
}

impl Default for Tally {
    fn default() -> Self {
        let latency = Histogram::new_with_max(LATENCY_MAX_US, SIGNIFICANT_DIGITS)
            .expect("the bounds of the histogram are constants that fit");
        Self {
            slowest: latency.clone(),
            added: latency.clone(),
            latency,
            asked: 0,
            answered: 0,
            full: 0,
            early: 0,
            shards: 0,
            all_shards: 0,
            whole: 0,
            extra: 0,
            not_run: BTreeMap::new(),
            unknown: BTreeMap::new(),
            missing: BTreeMap::new(),
            unreachable: 0,
            faults: BTreeMap::new(),
        }
    }
}

impl Tally {
    /// Counts one reply with its latency and fault.
    pub fn count(&mut self, reply: &Reply, took: Duration, fault: Option<Fault>) {
        self.asked += 1;
        if let Some(f) = fault {
            *self.faults.entry(f).or_default() += 1;
        }
        let missing = match reply.outcome() {
            Some(Outcome::Answered(page)) => &page.coverage.missing[..],
            Some(Outcome::NotRun(r) | Outcome::Unknown(r)) => &r.missing[..],
            None => &[],
        };
        for m in missing {
            *self.missing.entry(m.reason.to_string()).or_default() += 1;
        }
        match reply.outcome() {
            Some(Outcome::Answered(page)) => self.count_page(page, took),
            Some(Outcome::NotRun(r)) => {
                *self.not_run.entry(r.reason.to_string()).or_default() += 1;
            }
            Some(Outcome::Unknown(r)) => {
                *self.unknown.entry(r.reason.to_string()).or_default() += 1;
            }
            None if matches!(reply, Reply::Unreachable) => self.unreachable += 1,
            None => {}
        }
    }

    /// Records the slowest part of a page, and the latency beyond it.
    pub fn count_added(&mut self, took: Duration, slowest: Duration) {
        let us = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(LATENCY_MAX_US);
        self.slowest.saturating_record(us(slowest));
        self.added
            .saturating_record(us(took.saturating_sub(slowest)));
    }

    /// Returns the number of wrong answers.
    #[must_use]
    pub fn wrong(&self) -> u64 {
        self.faults.values().sum()
    }

    /// Adds another tally to this one.
    pub fn add(&mut self, t: &Self) {
        // Both have the same bounds, so the sum cannot fail.
        let _ = self.latency.add(&t.latency);
        let _ = self.slowest.add(&t.slowest);
        let _ = self.added.add(&t.added);
        self.asked += t.asked;
        self.answered += t.answered;
        self.full += t.full;
        self.early += t.early;
        self.shards += t.shards;
        self.all_shards += t.all_shards;
        self.whole += t.whole;
        self.extra += t.extra;
        self.unreachable += t.unreachable;
        add_all(&mut self.not_run, &t.not_run);
        add_all(&mut self.unknown, &t.unknown);
        add_all(&mut self.missing, &t.missing);
        add_all(&mut self.faults, &t.faults);
    }

    /// Returns the row of a table with this name.
    #[must_use]
    pub fn row(&self, name: &str) -> Row {
        let ms = |q: f64| self.latency.value_at_quantile(q) as f64 / 1000.0;
        Row {
            name: name.to_owned(),
            asked: self.asked,
            answered: self.answered,
            whole: self.full + self.early,
            p50: ms(0.5),
            p99: ms(0.99),
            p999: ms(0.999),
            coverage: share(self.whole, self.shards),
            extra: 100.0 * self.extra as f64 / self.all_shards.max(1) as f64,
            not_run: self.not_run.values().sum(),
            unknown: self.unknown.values().sum(),
            wrong: self.wrong(),
        }
    }

    fn count_page(&mut self, page: &Answer, took: Duration) {
        let latency_us = u64::try_from(took.as_micros()).unwrap_or(LATENCY_MAX_US);
        self.latency.saturating_record(latency_us.max(1));
        self.answered += 1;
        self.extra += u64::from(page.extra_attempts);
        self.all_shards += u64::from(page.coverage.shards);
        if page.ended_early {
            self.early += 1;
            return;
        }
        self.full += u64::from(page.coverage.is_complete());
        self.shards += u64::from(page.coverage.shards);
        self.whole += u64::from(page.coverage.whole);
    }
}

fn share(part: u64, of: u64) -> f64 {
    if of == 0 {
        1.0
    } else {
        part as f64 / of as f64
    }
}

fn add_all<K: Ord + Clone>(to: &mut BTreeMap<K, u64>, from: &BTreeMap<K, u64>) {
    for (k, n) in from {
        *to.entry(k.clone()).or_default() += n;
    }
}
