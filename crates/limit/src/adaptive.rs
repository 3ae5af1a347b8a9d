//! The default admission policy: admits a lookup if its expected time fits its deadline.
//!
//! The fraction of the deadline that a lookup may need depends on its promise and adapts to the load.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::admission::AdmissionDecision;
use crate::admission::AdmissionPolicy;
use crate::admission::AdmissionRequest;
use crate::admission::LookupEnd;
use crate::dump::AdmissionDump;

/// The largest *fill*: the fraction of a lookup's time budget that its parts may need on the mean,
/// queueing included.
///
/// The remainder is reserved for parts that take longer than the mean and for unknown delays. A
/// longer queue would only add latency, because a short queue already keeps the servers busy.
const FILL_MAX: f64 = 0.4;

/// The smallest fill.
const FILL_MIN: f64 = 0.15;

/// How much a lookup that ends late lowers the fill.
const FILL_DECREASE: f64 = 0.03;

/// How much a lookup that ends in time raises the fill; the fill converges to where about one lookup
/// in 25 is late.
const FILL_INCREASE: f64 = FILL_DECREASE / 25.0;

/// The time without a rejection after which the fill starts to recover with time.
const FILL_RECOVERY_DELAY: Duration = Duration::from_millis(500);

/// How much the fill recovers per second without a rejection; one second restores all of it.
const FILL_RECOVERY_PER_S: f64 = FILL_MAX - FILL_MIN;

/// Multiplies the fill for an urgent lookup, which can answer without its last parts.
const URGENT_FILL_FACTOR: f64 = 1.25;

/// Multiplies the fill for the slowest part of a lookup that has no value without it.
const LAST_PART_FACTOR: f64 = 2.0;

/// How long overload is reported after it was last observed.
const OVERLOAD_REPORT_DURATION: Duration = Duration::from_millis(500);

/// The shortest time after which a rejected caller may retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// The longest time after which a rejected caller may retry.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// Admits lookups that are expected to end by their deadline.
///
/// An urgent lookup is admitted if the mean time of its parts fits, because it can answer without
/// the last parts. A complete lookup has no value without its last part, so the slowest part must
/// fit too. Under load, complete lookups are therefore rejected before urgent ones.
///
/// The fill decreases with each lookup that ends late and increases slowly with each that ends in
/// time. This finds the concurrency that the servers can sustain from the outcomes on this VM alone,
/// whatever load other VMs send.
///
/// The fill also recovers with time, so that an overload does not outlast its cause. After a burst of
/// resends a VM admits few lookups, and each one that ends in time raises the fill only a little; with
/// these alone the VM would reject callers for another minute. While nothing is rejected the fill
/// limits no lookup, so one second without a rejection restores all of it.
#[derive(Debug)]
pub struct AdaptiveAdmission {
    in_flight_max: usize,
    fill: f64,
    /// When overload was last observed.
    overloaded_at: Option<Instant>,
    /// From when the fill recovers: a delay after the last rejection, or the last update.
    recovers_from: Option<Instant>,
}

impl AdaptiveAdmission {
    /// Creates the policy with the largest fill and a limit of `in_flight_max` lookups in flight.
    #[must_use]
    pub fn new(in_flight_max: usize) -> Self {
        Self {
            in_flight_max,
            fill: FILL_MAX,
            overloaded_at: None,
            recovers_from: None,
        }
    }

    /// Raises the fill by the time without a rejection since the last update.
    fn recover_fill(&mut self, now: Instant) {
        let Some(from) = self.recovers_from else {
            return;
        };
        let elapsed = now.saturating_duration_since(from);
        if !elapsed.is_zero() {
            self.fill = (self.fill + elapsed.as_secs_f64() * FILL_RECOVERY_PER_S).min(FILL_MAX);
            self.recovers_from = Some(now);
        }
    }

    /// Whether the lookup's parts are expected to arrive by its deadline.
    fn fits_deadline(&self, req: &AdmissionRequest) -> bool {
        let share = |fill: f64| req.budget.mul_f64(fill.min(1.0));
        match req.promise {
            Promise::Urgent => req.mean_part_time <= share(self.fill * URGENT_FILL_FACTOR),
            Promise::Complete | Promise::AtMostOnce => {
                req.mean_part_time <= share(self.fill)
                    && req.slowest_part_time <= share(self.fill * LAST_PART_FACTOR)
            }
        }
    }
}

impl AdmissionPolicy for AdaptiveAdmission {
    fn admit(&mut self, now: Instant, req: &AdmissionRequest) -> AdmissionDecision {
        self.recover_fill(now);
        // With nothing in flight, only a new lookup can show that the servers are fast again.
        let is_probe = req.in_flight == 0;
        if is_probe || (req.in_flight < self.in_flight_max && self.fits_deadline(req)) {
            return AdmissionDecision::Admit;
        }
        self.overloaded_at = Some(now);
        self.recovers_from = Some(now + FILL_RECOVERY_DELAY);
        AdmissionDecision::Refuse(
            req.slowest_part_time
                .clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
        )
    }

    fn on_lookup_end(&mut self, now: Instant, end: &LookupEnd) {
        if end.was_congested {
            self.overloaded_at = Some(now);
        }
        let step = if end.was_in_time {
            FILL_INCREASE
        } else {
            -FILL_DECREASE
        };
        self.fill = (self.fill + step).clamp(FILL_MIN, FILL_MAX);
    }

    fn is_overloaded(&self, now: Instant) -> bool {
        self.overloaded_at
            .is_some_and(|at| now.saturating_duration_since(at) < OVERLOAD_REPORT_DURATION)
    }

    fn dump(&self, now: Instant) -> AdmissionDump {
        AdmissionDump {
            policy: "adaptive",
            limit: self.in_flight_max as f64,
            fill: self.fill,
            overloaded: self.is_overloaded(now),
        }
    }
}
