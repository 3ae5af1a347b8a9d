//! The interface of admission control: input, decision and policy trait.

use std::fmt::Debug;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::dump::AdmissionDump;

/// A lookup that requests admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The promise made for the lookup.
    pub promise: Promise,
    /// The time left until its deadline.
    pub budget: Duration,
    /// The expected time of a part, including the wait for a connection, as a mean over its shards.
    pub mean_part_time: Duration,
    /// The same for the part that is expected to arrive last.
    pub slowest_part_time: Duration,
    /// Lookups in flight.
    pub in_flight: usize,
}

/// Whether a lookup is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The lookup may start; the engine may still refuse it, make its claim first or start it with a
    /// canary at one shard.
    Admit,
    /// No part of the lookup starts; a retry is useful after this time.
    Refuse(Duration),
}

/// How an admitted lookup ended.
#[derive(Clone, Copy, Debug)]
pub struct LookupEnd {
    /// Whether it ended before its deadline.
    pub was_in_time: bool,
    /// Whether a part was shed by a server, or still waited for a connection at the end.
    pub was_congested: bool,
}

/// Decides which lookups are admitted.
pub trait AdmissionPolicy: Debug + Send {
    /// Decides whether to start a lookup.
    fn admit(&mut self, now: Instant, req: &AdmissionRequest) -> AdmissionDecision;

    /// Records the end of an admitted lookup.
    fn on_lookup_end(&mut self, now: Instant, end: &LookupEnd);

    /// Whether the load is too high for extra attempts such as hedges.
    fn is_overloaded(&self, now: Instant) -> bool;

    /// Returns the policy's state for operators.
    fn dump(&self, now: Instant) -> AdmissionDump;
}
