//! The shared budget for hedges and retries.

use std::time::Instant;

/// The fraction of the burst that is reserved for retries, because hedges only reduce latency.
const RETRY_RESERVE_FRACTION: f64 = 0.5;

/// A token bucket that initial attempts fill and extra attempts drain.
///
/// It limits extra attempts to a few per cent of all attempts whatever fails, so that retries cannot
/// turn a short slowdown of the servers into a lasting overload.
#[derive(Debug)]
pub struct ExtraBudget {
    tokens: f64,
    tokens_per_attempt: f64,
    tokens_max: f64,
    refill_per_s: f64,
    refilled_at: Option<Instant>,
}

impl ExtraBudget {
    /// Creates a budget that gains `ratio` tokens per initial attempt and `refill_per_s` tokens per
    /// second, and holds at most `burst` tokens; starts with the reserve for retries.
    #[must_use]
    pub fn new(ratio: f64, burst: u32, refill_per_s: f64) -> Self {
        Self {
            tokens: f64::from(burst) * RETRY_RESERVE_FRACTION,
            tokens_per_attempt: ratio,
            tokens_max: f64::from(burst),
            refill_per_s,
            refilled_at: None,
        }
    }

    /// Adds the tokens earned by an initial attempt.
    pub fn on_initial_attempt(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_attempt).min(self.tokens_max);
    }

    /// Takes tokens for `count` retries; returns `false` and takes nothing if there are too few.
    pub fn take_retries(&mut self, now: Instant, count: u32) -> bool {
        self.take(now, f64::from(count), 0.0)
    }

    /// Takes a token for a hedge; returns `false` and takes nothing if only the reserve for retries
    /// is left.
    pub fn take_hedge(&mut self, now: Instant) -> bool {
        let reserve = self.tokens_max * RETRY_RESERVE_FRACTION;
        self.take(now, 1.0, reserve)
    }

    /// Returns tokens taken for attempts that were not made.
    pub fn give_back(&mut self, count: u32) {
        self.tokens = (self.tokens + f64::from(count)).min(self.tokens_max);
    }

    /// Returns the number of extra attempts that may be made now.
    #[must_use]
    pub fn available(&self) -> f64 {
        self.tokens
    }

    fn take(&mut self, now: Instant, count: f64, reserve: f64) -> bool {
        self.refill(now);
        if self.tokens - count < reserve {
            return false;
        }
        self.tokens -= count;
        true
    }

    fn refill(&mut self, now: Instant) {
        if let Some(refilled_at) = self.refilled_at {
            let passed = now.saturating_duration_since(refilled_at).as_secs_f64();
            self.tokens = (self.tokens + passed * self.refill_per_s).min(self.tokens_max);
        }
        self.refilled_at = Some(now);
    }
}
