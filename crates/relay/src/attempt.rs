//! One attempt at one part of a request.

use std::fmt;
use std::time::Instant;

use gs_types::prelude::*;

use crate::budget::BudgetUse;
use crate::servers::ServerKey;

/// Identifies an attempt within this process: one at a part, or the delegation of a bundle of parts
/// to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The request.
    pub lookup: LookupSeq,
    /// The position of the part in the request, from 0; [`u16::MAX`] for a bundle.
    pub part: u16,
    /// Number of the attempt at the part, from 0; for a bundle, its number in the request, from 0.
    pub attempt: u16,
}

impl fmt::Display for AttemptKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.lookup, self.part, self.attempt)
    }
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// It is the initial attempt at its part, or repeats one that did not reach its server.
    First,
    /// The previous attempt is slow.
    Hedge,
    /// The previous attempt failed or was refused.
    Retry,
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// It was dispatched, and its server may be executing it.
    InFlight,
    /// It ended and may have been executed.
    MayHaveRun,
    /// It ended without having been sent.
    NotSent,
    /// It reached a server, which rejected it without executing it.
    Rejected,
}

/// An attempt at one part, or the delegation of a bundle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: ServerKey,
    pub(crate) dispatched_at: Instant,
    pub(crate) state: AttemptState,
    pub(crate) cause: Cause,
    /// Rounds of work ahead of it in its server's queue when it was dispatched, as far as known.
    pub(crate) rounds_ahead: f64,
    /// The budget's use after an extra attempt was taken from it; `None` for an initial attempt.
    pub(crate) budget_use: Option<BudgetUse>,
    /// When and how it ended.
    pub(crate) ended: Option<(Instant, &'static str)>,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.state == AttemptState::InFlight
    }

    /// Returns whether its server has executed it or may have.
    pub(crate) fn may_have_run(&self) -> bool {
        !matches!(self.state, AttemptState::NotSent | AttemptState::Rejected)
    }
}
