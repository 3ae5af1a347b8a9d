//! Whole or on time: when a fan-out's answer goes out.
//!
//! The load it answers: one shard in many pauses for longer than the objective, or has lost all of
//! its replicas. A page earns by the square of its coverage while it is on time and next to nothing
//! later, so the last parts are worth waiting for until the objective and not beyond it.

use std::time::Instant;

/// What is known of a request's parts.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Parts asked for.
    pub parts: usize,
    /// Parts that are in.
    pub whole: usize,
    /// Parts given up.
    pub missing: usize,
    /// The fewest parts that make an answer.
    pub parts_min: usize,
    /// The fewest parts that are of use to whoever asks; with fewer it waits beyond the objective.
    pub parts_wanted: usize,
    /// When an answer within the objective must leave.
    pub objective_at: Instant,
    /// When the final word leaves at the latest.
    pub answer_by: Instant,
}

/// What is to be done with a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionDecision {
    /// More may come in time.
    Wait,
    /// Answer with what is in.
    Deliver,
    /// It cannot come to an answer any more.
    Fail,
}

/// Decides whether to wait, to answer or to fail.
///
/// Fails as soon as too many parts are given up, rather than when the time is up: whoever asked can
/// then ask again while there is time. A peer, to which fewer parts than it wants are of little use but never
/// none, then gets those that are in.
#[must_use]
pub fn decide_completion(now: Instant, p: &Progress) -> CompletionDecision {
    let open = p.parts - p.whole - p.missing;
    let can_come = p.whole + open;
    if can_come < p.parts_min {
        return CompletionDecision::Fail;
    }
    let is_all = open == 0 || can_come < p.parts_wanted;
    let is_enough = p.whole >= p.parts_wanted && now >= p.objective_at;
    if is_all || is_enough {
        return CompletionDecision::Deliver;
    }
    if now < p.answer_by {
        return CompletionDecision::Wait;
    }
    if p.whole >= p.parts_min {
        CompletionDecision::Deliver
    } else {
        CompletionDecision::Fail
    }
}
