//! Decides when a request is answered or fails.
//!
//! A request is answered when no part is unfinished, when so many are abandoned that the wanted
//! number cannot be reached, or at the objective if that number is complete. With fewer, it waits
//! until the final response must be sent. It fails as soon as fewer than the minimum can be
//! complete, or at that time if fewer are. A request to a single server has one part.
//!
//! Among many shards one often stalls for longer than the objective or has lost all its replicas.
//! The value of a page is the square of its coverage while it is on time and next to nothing later,
//! so waiting for the last parts pays until the objective and not beyond it.

use std::time::Instant;

/// Progress of a request's parts.
#[derive(Clone, Copy, Debug)]
pub struct RequestProgress {
    /// Number of parts requested.
    pub parts: usize,
    /// Number of parts with an answer.
    pub complete: usize,
    /// Number of parts abandoned.
    pub abandoned: usize,
    /// The fewest parts that make an answer.
    pub parts_min: usize,
    /// The fewest parts that are of use to the caller or the delegating VM; with fewer, the request
    /// waits beyond the objective.
    pub parts_wanted: usize,
    /// When an answer must be sent to meet the objective.
    pub objective_at: Instant,
    /// When the final response must be sent at the latest.
    pub answer_by: Instant,
}

/// What to do with a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionDecision {
    /// More parts may arrive in time.
    Wait,
    /// Answer with the parts that have arrived.
    Deliver,
    /// The request can no longer be answered.
    Fail,
}

/// Decides whether a request waits, is answered or fails.
///
/// A request fails as soon as too many parts are abandoned, not at its time limit, so that the
/// caller still has time to retry. Fewer parts than wanted are of little use to a delegating VM,
/// but better than none, so it receives those that have arrived.
#[must_use]
pub fn decide_completion(now: Instant, p: &RequestProgress) -> CompletionDecision {
    let unfinished = p.parts - p.complete - p.abandoned;
    let can_come = p.complete + unfinished;
    if can_come < p.parts_min {
        return CompletionDecision::Fail;
    }
    let is_all = unfinished == 0 || can_come < p.parts_wanted;
    let is_enough = p.complete >= p.parts_wanted && now >= p.objective_at;
    if is_all || is_enough {
        return CompletionDecision::Deliver;
    }
    if now < p.answer_by {
        return CompletionDecision::Wait;
    }
    if p.complete >= p.parts_min {
        CompletionDecision::Deliver
    } else {
        CompletionDecision::Fail
    }
}
