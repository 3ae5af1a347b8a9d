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
    /// When an answer within the objective must leave.
    pub objective_at: Instant,
    /// When the final word leaves at the latest.
    pub answer_by: Instant,
}

/// What is to be done with a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
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
/// then ask again while there is time.
#[must_use]
pub fn verdict(now: Instant, p: &Progress) -> Verdict {
    let open = p.parts - p.whole - p.missing;
    if p.whole + open < p.parts_min {
        return Verdict::Fail;
    }
    let is_enough = p.whole >= p.parts_min;
    if is_enough && (open == 0 || now >= p.objective_at) {
        return Verdict::Deliver;
    }
    if now >= p.answer_by {
        return if is_enough {
            Verdict::Deliver
        } else {
            Verdict::Fail
        };
    }
    Verdict::Wait
}
