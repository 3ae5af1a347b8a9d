//! How many extra attempts a service may get.
//!
//! The load it answers: every server of a service slow or failing, when each part would be asked for
//! twice and the repeats alone would keep the service down. The limit is a share of the requests for
//! the service in a sliding window, the same at every VM, so that all VMs together keep it without
//! telling each other anything, plus a few for a VM that has just started.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Buckets in a window; what is counted leaves it with this fineness.
const BUCKETS: u32 = 20;

/// The part of the budget that hedges leave to retries, as a hedge only saves time.
const RETRY_RESERVE: f64 = 0.25;

/// The counts of a short span.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    at: Instant,
    requests: u32,
    extra: u32,
}

/// Requests and extra attempts of one service in a sliding window.
#[derive(Clone, Debug)]
pub struct ExtraAttemptBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    buckets: VecDeque<Bucket>,
    requests: u32,
    extra: u32,
}

impl ExtraAttemptBudget {
    /// Allows `ratio` extra attempts a request in any window, and `slack` besides.
    #[must_use]
    pub fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            buckets: VecDeque::new(),
            requests: 0,
            extra: 0,
        }
    }

    /// Changes the extra attempts allowed besides.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// A request for the service arrived.
    pub fn request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
        self.requests += 1;
    }

    /// Takes an extra attempt out; `false` and nothing taken if there is none.
    pub fn take(&mut self, now: Instant, is_hedge: bool) -> bool {
        self.bucket(now);
        let allowed = self.allowed();
        let allowed = if is_hedge {
            allowed * (1.0 - RETRY_RESERVE)
        } else {
            allowed
        };
        if f64::from(self.extra) + 1.0 > allowed {
            return false;
        }
        self.extra += 1;
        self.bucket(now).extra += 1;
        true
    }

    /// Gives back what was taken just now for an attempt that was never sent.
    pub fn give_back(&mut self) {
        if let Some(b) = self.buckets.back_mut()
            && b.extra > 0
        {
            b.extra -= 1;
            self.extra -= 1;
        }
    }

    /// The part of the budget that is used, from 0 on.
    #[must_use]
    pub fn used(&self) -> f64 {
        f64::from(self.extra) / self.allowed().max(1.0)
    }

    fn allowed(&self) -> f64 {
        f64::from(self.requests) * self.ratio + self.slack
    }

    /// The bucket of now, after those that left the window are dropped.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        while let Some(b) = self.buckets.front()
            && b.at + self.window + self.window / BUCKETS <= now
        {
            self.requests -= b.requests;
            self.extra -= b.extra;
            self.buckets.pop_front();
        }
        let span = self.window / BUCKETS;
        let is_current = self.buckets.back().is_some_and(|b| now < b.at + span);
        if !is_current {
            self.buckets.push_back(Bucket {
                at: now,
                requests: 0,
                extra: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
