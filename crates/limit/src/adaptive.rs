//! The chosen policy: can the deadline be met, by urgency, with a margin that follows the load.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::admission::AdmissionDecision;
use crate::admission::AdmissionPolicy;
use crate::admission::AdmissionRequest;
use crate::admission::LookupEnd;
use crate::dump::AdmissionDump;

/// The most and the least of a lookup's time that its parts may need on the mean, wait included: its
/// *fill*.
///
/// The rest is kept for the parts that need longer and for what cannot be known; a longer queue
/// would only add to latency, as the servers are busy with a short one too.
const FILL_MAX: f64 = 0.4;
const FILL_MIN: f64 = 0.15;

/// What a lookup that ends late takes off the fill.
const FILL_DOWN: f64 = 0.03;

/// What a lookup that ends in time adds to it; the fill then settles where one in 25 is late.
const FILL_UP: f64 = FILL_DOWN / 25.0;

/// How long nothing must have been refused before the fill is given back by time.
const CALM_AFTER: Duration = Duration::from_millis(500);

/// How much of the fill a second of calm gives back.
const CALM_UP: f64 = FILL_MAX - FILL_MIN;

/// How much more an urgent lookup may fill, as it can answer without its last parts.
const URGENT_FACTOR: f64 = 1.25;

/// How much more the last part may fill, of a lookup that is worth nothing without it.
const LAST_PART_FACTOR: f64 = 2.0;

/// How long overload is held for true after its last sign.
const OVERLOAD_HOLD: Duration = Duration::from_millis(500);

/// The least and the most time that a refused lookup is told to stay away.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Admits what can end by its deadline.
///
/// An urgent lookup must fit by what its parts need on the mean, as it can answer without the last.
/// A complete one is worth nothing without its last part, so that must fit too; under pressure
/// complete lookups are thus refused before urgent ones.
///
/// How much of its time a lookup may fill shrinks with each one that ends late and grows slowly with
/// those in time. That finds the concurrency that the servers bear, whatever other VMs send them,
/// from this VM's own outcomes alone.
///
/// Guards against an overload that outlasts its cause: a storm ends, a VM takes few lookups by then,
/// and each in time gives back a little only, so it went on refusing for a minute. While nothing is
/// refused the fill binds nobody, so a second of calm gives all of it back.
#[derive(Debug)]
pub struct Adaptive {
    max: usize,
    fill: f64,
    /// When overload last showed.
    overloaded_at: Option<Instant>,
    /// When a lookup was last refused, or calm was last counted in.
    calm_from: Option<Instant>,
}

impl Adaptive {
    /// Starts with the largest fill, and never lets more lookups be in flight than `max`.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self {
            max,
            fill: FILL_MAX,
            overloaded_at: None,
            calm_from: None,
        }
    }

    /// Gives back what the calm since the last refusal has earned.
    fn count_calm(&mut self, now: Instant) {
        let Some(from) = self.calm_from else {
            return;
        };
        let calm = now.saturating_duration_since(from);
        if !calm.is_zero() {
            self.fill = (self.fill + calm.as_secs_f64() * CALM_UP).min(FILL_MAX);
            self.calm_from = Some(now);
        }
    }

    /// Whether the lookup's parts can be in by its deadline.
    fn fits(&self, ask: &AdmissionRequest) -> bool {
        let part = |fill: f64| ask.budget.mul_f64(fill.min(1.0));
        match ask.promise {
            Promise::Urgent => ask.typical <= part(self.fill * URGENT_FACTOR),
            Promise::Complete | Promise::AtMostOnce => {
                ask.typical <= part(self.fill) && ask.worst <= part(self.fill * LAST_PART_FACTOR)
            }
        }
    }
}

impl AdmissionPolicy for Adaptive {
    fn admit(&mut self, now: Instant, ask: &AdmissionRequest) -> AdmissionDecision {
        self.count_calm(now);
        // With nothing in flight, nobody would learn that the servers are fast again.
        let is_probe = ask.in_flight == 0;
        if is_probe || (ask.in_flight < self.max && self.fits(ask)) {
            return AdmissionDecision::Admit;
        }
        self.overloaded_at = Some(now);
        self.calm_from = Some(now + CALM_AFTER);
        AdmissionDecision::Refuse(ask.worst.clamp(RETRY_MIN, RETRY_MAX))
    }

    fn on_lookup_end(&mut self, now: Instant, ended: &LookupEnd) {
        if ended.congested {
            self.overloaded_at = Some(now);
        }
        let step = if ended.in_time { FILL_UP } else { -FILL_DOWN };
        self.fill = (self.fill + step).clamp(FILL_MIN, FILL_MAX);
    }

    fn is_overloaded(&self, now: Instant) -> bool {
        self.overloaded_at
            .is_some_and(|at| now.saturating_duration_since(at) < OVERLOAD_HOLD)
    }

    fn dump(&self, now: Instant) -> AdmissionDump {
        AdmissionDump {
            policy: "adaptive",
            limit: self.max as f64,
            fill: self.fill,
            overloaded: self.is_overloaded(now),
        }
    }
}
