//! The chosen policy: can the deadline be met, by urgency, under a bound that follows the load.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::admission::AdmissionPolicy;
use crate::admission::Ask;
use crate::admission::Ended;
use crate::admission::Verdict;
use crate::dump::AdmissionDump;

/// The part of a lookup's time that its queue may fill; the rest is kept for what cannot be known,
/// and a longer queue would only add to latency, as the servers are busy with a short one too.
const FILL: f64 = 0.5;

/// The least bound; enough to keep learning.
const LIMIT_MIN: f64 = 8.0;

/// What the bound is multiplied with when a lookup ends late under congestion.
const DECREASE: f64 = 0.9;

/// The least time between two decreases, so that one burst counts once.
const DECREASE_EVERY: Duration = Duration::from_millis(100);

/// How long overload is held for true after its last sign.
const OVERLOAD_HOLD: Duration = Duration::from_millis(500);

/// The least and the most time that a refused lookup is told to stay away.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Admits what can end by its deadline.
///
/// An urgent lookup must fit by what its parts need on the whole, as it can answer without the last.
/// A complete one is worth nothing without its last part, so that must fit too; under pressure
/// complete lookups are thus refused before urgent ones.
/// Besides, lookups in flight stay under a bound that grows by one per bound's worth of lookups
/// that end in time and shrinks by a tenth when one ends late while its parts were kept waiting or
/// shed.
#[derive(Debug)]
pub struct Adaptive {
    max: f64,
    limit: f64,
    decreased: Option<Instant>,
    pressed: Option<Instant>,
}

impl Adaptive {
    /// Starts with the bound at its most.
    #[must_use]
    pub fn new(max: usize) -> Self {
        let max = (max as f64).max(LIMIT_MIN);
        Self {
            max,
            limit: max,
            decreased: None,
            pressed: None,
        }
    }

    /// Whether the lookup's parts can be in by its deadline.
    fn fits(ask: &Ask) -> bool {
        match ask.promise {
            Promise::Urgent => ask.typical <= ask.budget.mul_f64(FILL),
            Promise::Complete | Promise::AtMostOnce => ask.worst <= ask.budget.mul_f64(FILL),
        }
    }

    /// The share of the bound that a lookup of this promise may fill.
    fn share(promise: Promise) -> f64 {
        match promise {
            Promise::Urgent | Promise::AtMostOnce => 1.0,
            Promise::Complete => 0.9,
        }
    }
}

impl AdmissionPolicy for Adaptive {
    fn admit(&mut self, now: Instant, ask: &Ask) -> Verdict {
        let room = (ask.in_flight as f64) < self.limit * Self::share(ask.promise);
        if room && Self::fits(ask) {
            return Verdict::Admit;
        }
        self.pressed = Some(now);
        Verdict::Refuse(ask.worst.clamp(RETRY_MIN, RETRY_MAX))
    }

    fn ended(&mut self, now: Instant, ended: &Ended) {
        if ended.congested {
            self.pressed = Some(now);
        }
        if ended.in_time {
            // Growing a bound that is not in use would only make it say nothing.
            if ended.in_flight as f64 >= self.limit / 2.0 {
                self.limit = (self.limit + 1.0 / self.limit).min(self.max);
            }
            return;
        }
        let rested = self
            .decreased
            .is_none_or(|at| now.saturating_duration_since(at) >= DECREASE_EVERY);
        if ended.congested && rested {
            let used = self.limit.min((ended.in_flight as f64).max(LIMIT_MIN));
            self.limit = (used * DECREASE).max(LIMIT_MIN);
            self.decreased = Some(now);
        }
    }

    fn overloaded(&self, now: Instant) -> bool {
        self.pressed
            .is_some_and(|at| now.saturating_duration_since(at) < OVERLOAD_HOLD)
    }

    fn dump(&self, now: Instant) -> AdmissionDump {
        AdmissionDump {
            policy: "adaptive",
            limit: self.limit,
            overloaded: self.overloaded(now),
        }
    }
}
