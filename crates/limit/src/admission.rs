//! The border between what is known of the load and the choice to take a lookup on.

use std::fmt::Debug;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::dump::AdmissionDump;

/// A lookup that asks to be taken on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// What it is promised.
    pub promise: Promise,
    /// The time left to answer it.
    pub budget: Duration,
    /// How long its parts would wait for a connection and then take, as a mean over its shards.
    pub typical: Duration,
    /// The same for the part that would come last.
    pub worst: Duration,
    /// Lookups in flight.
    pub in_flight: usize,
}

/// Whether a lookup is taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The whole of it is begun.
    Admit,
    /// None of it is begun; worth asking again after this time.
    Refuse(Duration),
}

/// How a lookup that was taken on ended.
#[derive(Clone, Copy, Debug)]
pub struct LookupEnd {
    /// Whether it ended before its deadline ended it.
    pub in_time: bool,
    /// Whether a part was shed by a server, or still waited for a connection at the end.
    pub congested: bool,
}

/// Decides which lookups are taken on.
pub trait AdmissionPolicy: Debug + Send {
    /// Whether to begin a lookup.
    fn admit(&mut self, now: Instant, ask: &AdmissionRequest) -> AdmissionDecision;

    /// A lookup that was taken on ended.
    fn on_lookup_end(&mut self, now: Instant, ended: &LookupEnd);

    /// Whether there is too much load for anything extra, such as hedges.
    fn is_overloaded(&self, now: Instant) -> bool;

    /// What an operator sees of it.
    fn dump(&self, now: Instant) -> AdmissionDump;
}
