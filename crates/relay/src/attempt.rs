//! One attempt at one part of a request.

use std::fmt;
use std::time::Instant;

use gs_types::prelude::*;

use crate::servers::ServerKey;

/// Names one attempt within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The request.
    pub lookup: LookupSeq,
    /// The part of the request, from 0.
    pub part: u16,
    /// 0 for the first attempt at the part.
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
    /// It is the first of its part.
    First,
    /// The one before is slow.
    Hedge,
    /// The one before failed or was refused.
    Retry,
}

/// What an attempt is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// Handed over; its server may be running it.
    Live,
    /// It ended and may have run.
    Ran,
    /// It ended and did not run.
    NotRun,
}

/// One attempt at one part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: ServerKey,
    pub(crate) at: Instant,
    pub(crate) state: AttemptState,
    pub(crate) cause: Cause,
    /// Rounds of work that were before it at its server, as far as was known.
    pub(crate) rounds: f64,
    /// When and how it ended.
    pub(crate) ended: Option<(Instant, &'static str)>,
}

impl Attempt {
    pub(crate) fn is_live(&self) -> bool {
        self.state == AttemptState::Live
    }

    /// Whether its server has run it or may have.
    pub(crate) fn may_have_run(&self) -> bool {
        self.state != AttemptState::NotRun
    }
}
