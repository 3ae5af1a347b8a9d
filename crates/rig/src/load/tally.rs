//! Counts and latencies of a run, by lookup.

use std::collections::BTreeMap;
use std::time::Duration;

use gs_types::prelude::*;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::caller::Reply;
use super::check::Fault;

/// The longest latency told apart, in microseconds.
const LATENCY_MAX: u64 = 60_000_000;

/// Significant digits of a latency.
const DIGITS: u8 = 3;

/// Counts and latencies of one lookup, or of all.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Latencies of pages, in microseconds.
    pub latency: Histogram<u64>,
    /// The slowest part of each page, as its server saw it, in microseconds.
    pub slowest: Histogram<u64>,
    /// What pages took beyond their slowest part, in microseconds.
    pub added: Histogram<u64>,
    /// Requests made.
    pub asked: u64,
    /// Pages that came.
    pub answered: u64,
    /// Pages that cover every shard.
    pub full: u64,
    /// Pages that ended early, with hits enough.
    pub early: u64,
    /// Shards asked for by the pages that did not end early.
    pub shards: u64,
    /// Shards of every page that came.
    pub all_shards: u64,
    /// Shards that those pages cover.
    pub whole: u64,
    /// Attempts beyond one a shard.
    pub extra: u64,
    /// Refusals that say "not run", by reason.
    pub not_run: BTreeMap<String, u64>,
    /// Outcomes unknown, by reason.
    pub unknown: BTreeMap<String, u64>,
    /// Shards missing from pages and named in refusals, by reason.
    pub missing: BTreeMap<String, u64>,
    /// Requests that could not be sent.
    pub unreachable: u64,
    /// Answers that are wrong, by fault.
    pub faults: BTreeMap<Fault, u64>,
}

/// One line of a table.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// What it is about.
    pub name: String,
    /// Requests made.
    pub asked: u64,
    /// Pages that came.
    pub answered: u64,
    /// Pages that cover every shard or ended early with hits enough.
    pub whole: u64,
    /// Median latency, in milliseconds.
    pub p50: f64,
    /// 99th percentile, in milliseconds.
    pub p99: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999: f64,
    /// Share of shards covered by the pages that came, early ends left out.
    pub coverage: f64,
    /// Extra attempts a lookup's shards, in per cent.
    pub extra: f64,
    /// Refusals that say "not run".
    pub not_run: u64,
    /// Outcomes unknown.
    pub unknown: u64,
    /// Answers that are wrong.
    pub wrong: u64,
}

impl Default for Tally {
    fn default() -> Self {
        let latency = Histogram::new_with_max(LATENCY_MAX, DIGITS)
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
    /// Counts one reply.
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

    /// Counts what a page took beyond its slowest part.
    pub fn count_added(&mut self, took: Duration, slowest: Duration) {
        let us = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(LATENCY_MAX);
        self.slowest.saturating_record(us(slowest));
        self.added
            .saturating_record(us(took.saturating_sub(slowest)));
    }

    /// Answers that are wrong.
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

    /// The line of a table.
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
        let micros = u64::try_from(took.as_micros()).unwrap_or(LATENCY_MAX);
        self.latency.saturating_record(micros.max(1));
        self.answered += 1;
        self.extra += u64::from(page.extra_attempts);
        self.all_shards += u64::from(page.coverage.shards);
        if page.ended_early {
            self.early += 1;
            return;
        }
        self.full += u64::from(page.coverage.is_full());
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
