//! The baseline admission policy: a fixed limit on lookups in flight.

use std::time::Duration;
use std::time::Instant;

use crate::admission::AdmissionDecision;
use crate::admission::AdmissionPolicy;
use crate::admission::AdmissionRequest;
use crate::admission::LookupEnd;
use crate::dump::AdmissionDump;

/// The time after which a rejected caller may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Admits every lookup below a fixed limit, regardless of deadlines, urgency and queues.
#[derive(Debug)]
pub struct FixedAdmission {
    in_flight_max: usize,
}

impl FixedAdmission {
    /// Creates the policy with a limit of `in_flight_max` lookups in flight.
    #[must_use]
    pub fn new(in_flight_max: usize) -> Self {
        Self { in_flight_max }
    }
}

impl AdmissionPolicy for FixedAdmission {
    fn admit(&mut self, _: Instant, req: &AdmissionRequest) -> AdmissionDecision {
        if req.in_flight < self.in_flight_max {
            AdmissionDecision::Admit
        } else {
            AdmissionDecision::Refuse(RETRY_AFTER)
        }
    }

    fn on_lookup_end(&mut self, _: Instant, _: &LookupEnd) {}

    fn is_overloaded(&self, _: Instant) -> bool {
        false
    }

    fn dump(&self, _: Instant) -> AdmissionDump {
        AdmissionDump {
            policy: "fixed",
            limit: self.in_flight_max as f64,
            fill: 1.0,
            overloaded: false,
        }
    }
}
