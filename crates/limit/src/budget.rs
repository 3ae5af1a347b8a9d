//! The budget for hedges and retries together.

use std::time::Instant;

/// The part of the saved-up budget that only retries may use, as hedges only save time.
const RETRY_RESERVE: f64 = 0.5;

/// A token bucket that first attempts fill and extra attempts empty.
///
/// Extra attempts are then at most a few per cent of all, whatever fails: retries cannot turn a
/// slow moment of the servers into a lasting overload.
#[derive(Debug)]
pub struct ExtraBudget {
    tokens: f64,
    ratio: f64,
    burst: f64,
    floor: f64,
    at: Option<Instant>,
}

impl ExtraBudget {
    /// Earns `ratio` extra attempts by each first one and `floor` a second as well, and saves up
    /// `burst` of them; starts with what is kept for retries.
    #[must_use]
    pub fn new(ratio: f64, burst: u32, floor: f64) -> Self {
        Self {
            tokens: f64::from(burst) * RETRY_RESERVE,
            ratio,
            burst: f64::from(burst),
            floor,
            at: None,
        }
    }

    /// A first attempt was made.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes `count` retries out; `false` and nothing taken if there are not so many.
    pub fn take_retries(&mut self, now: Instant, count: u32) -> bool {
        self.take(now, f64::from(count), 0.0)
    }

    /// Takes a hedge out; `false` and nothing taken if what is left is kept for retries.
    pub fn take_hedge(&mut self, now: Instant) -> bool {
        let reserve = self.burst * RETRY_RESERVE;
        self.take(now, 1.0, reserve)
    }

    /// Gives back what was taken for an attempt that was not made.
    pub fn give_back(&mut self, count: u32) {
        self.tokens = (self.tokens + f64::from(count)).min(self.burst);
    }

    /// Extra attempts that may be made now.
    #[must_use]
    pub fn left(&self) -> f64 {
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
        if let Some(at) = self.at {
            let passed = now.saturating_duration_since(at).as_secs_f64();
            self.tokens = (self.tokens + passed * self.floor).min(self.burst);
        }
        self.at = Some(now);
    }
}
