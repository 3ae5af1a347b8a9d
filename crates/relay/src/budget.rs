//! Limits the extra attempts for a service.
//!
//! If every server of a service is slow or failing, each part would be requested twice, and the
//! repeats alone would keep the service overloaded. The limit is a fraction of the requests for the
//! service in a sliding window, which is the same at every VM, so that all VMs together keep to it
//! without coordination. A share of the slack that all VMs divide is allowed in addition (see
//! [`crate::slack_share`]), for services with few requests.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

/// Number of buckets in a window, which is the resolution at which counts leave it.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Fraction of the budget that hedges leave for retries, as a hedge only saves time.
const RETRY_RESERVE_FRACTION: f64 = 0.25;

/// Largest rounding error of the attempts allowed, which may otherwise lack one of a whole number.
const ROUNDING_MAX: f64 = 1e-9;

/// Counts of one bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    started_at: Instant,
    requests: u32,
    extra_attempts: u32,
}

/// Use of a budget at one moment.
///
/// Displays as `3/4.8`: the extra attempts made in the window, and those allowed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct BudgetUse {
    /// Requests in the window.
    pub requests: u32,
    /// Extra attempts in the window.
    pub extra_attempts: u32,
    /// The most extra attempts allowed in the window.
    pub allowed: f64,
}

impl fmt::Display for BudgetUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:.1}", self.extra_attempts, self.allowed)
    }
}

/// Requests and extra attempts of one service in a sliding window.
#[derive(Clone, Debug)]
pub struct ExtraAttemptBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    buckets: VecDeque<Bucket>,
    requests: u32,
    extra_attempts: u32,
}

impl ExtraAttemptBudget {
    /// Allows `ratio` extra attempts per request in any window, plus `slack`.
    #[must_use]
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            buckets: VecDeque::new(),
            requests: 0,
            extra_attempts: 0,
        }
    }

    /// Changes the extra attempts allowed in addition to the ratio.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Records a request for the service.
    pub fn note_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
        self.requests += 1;
    }

    /// Takes one extra attempt from the budget; returns `false` if the budget is used up.
    pub fn try_take(&mut self, now: Instant, is_hedge: bool) -> bool {
        self.bucket(now);
        let allowed = self.extra_max();
        let allowed = if is_hedge {
            allowed * (1.0 - RETRY_RESERVE_FRACTION)
        } else {
            allowed
        };
        if f64::from(self.extra_attempts) + 1.0 > allowed + ROUNDING_MAX {
            return false;
        }
        self.extra_attempts += 1;
        self.bucket(now).extra_attempts += 1;
        true
    }

    /// Gives back an extra attempt that was taken at the given time and never sent.
    pub fn give_back(&mut self, taken_at: Instant) {
        let bucket = self
            .buckets
            .iter_mut()
            .rev()
            .find(|b| b.started_at <= taken_at);
        if let Some(b) = bucket
            && b.extra_attempts > 0
        {
            b.extra_attempts -= 1;
            self.extra_attempts -= 1;
        }
    }

    /// Returns the current use of the budget.
    #[must_use]
    pub fn usage(&mut self, now: Instant) -> BudgetUse {
        self.bucket(now);
        BudgetUse {
            requests: self.requests,
            extra_attempts: self.extra_attempts,
            allowed: self.extra_max(),
        }
    }

    /// Returns whether the totals are those of the buckets.
    pub(crate) fn is_consistent(&self) -> bool {
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let extra_attempts: u32 = self.buckets.iter().map(|b| b.extra_attempts).sum();
        (requests, extra_attempts) == (self.requests, self.extra_attempts)
    }

    fn extra_max(&self) -> f64 {
        f64::from(self.requests) * self.ratio + self.slack
    }

    /// Returns the current bucket, after dropping those that have left the window.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        while let Some(b) = self.buckets.front()
            && b.started_at + self.window + self.window / BUCKETS_PER_WINDOW <= now
        {
            self.requests -= b.requests;
            self.extra_attempts -= b.extra_attempts;
            self.buckets.pop_front();
        }
        let span = self.window / BUCKETS_PER_WINDOW;
        let is_current = self
            .buckets
            .back()
            .is_some_and(|b| now < b.started_at + span);
        if !is_current {
            self.buckets.push_back(Bucket {
                started_at: now,
                requests: 0,
                extra_attempts: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
