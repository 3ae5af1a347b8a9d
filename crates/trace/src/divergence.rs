//! The place where a replay differs from what is expected.

use std::fmt;
use std::time::Duration;

/// The first step at which a replay breaks an invariant or differs from what is expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Divergence {
    /// The number of the step, from 1; 0 if the trace has no step.
    pub step: u64,
    /// The time of the step since the start of the trace.
    pub at: Duration,
    /// A description of what was found and, where it applies, what was expected.
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
