//! The baseline: a fixed bound on lookups in flight.

use std::time::Duration;
use std::time::Instant;

use crate::admission::AdmissionDecision;
use crate::admission::AdmissionPolicy;
use crate::admission::AdmissionRequest;
use crate::admission::LookupEnd;
use crate::dump::AdmissionDump;

/// When a refused lookup is worth asking again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Admits everything below a fixed bound, blind to deadlines, urgency and queues.
#[derive(Debug)]
pub struct Fixed {
    max: usize,
}

impl Fixed {
    /// Bounds lookups in flight.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self { max }
    }
}

impl AdmissionPolicy for Fixed {
    fn admit(&mut self, _: Instant, ask: &AdmissionRequest) -> AdmissionDecision {
        if ask.in_flight < self.max {
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
            limit: self.max as f64,
            fill: 1.0,
            overloaded: false,
        }
    }
}
