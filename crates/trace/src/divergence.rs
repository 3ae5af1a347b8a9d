//! Where a replay differs from what was stated.

use std::fmt;
use std::time::Duration;

/// The first step at which a replay did what it should not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Divergence {
    /// The step, from 1; 0 if it is the whole trace.
    pub step: u64,
    /// Its time since the start of the trace.
    pub at: Duration,
    /// What was stated or promised, and what the replay did.
    pub text: String,
}

impl fmt::Display for Divergence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { step, at, text } = self;
        write!(
            f,
            "step {step} at {}: {text}",
            humantime::format_duration(*at)
        )
    }
}

impl std::error::Error for Divergence {}
