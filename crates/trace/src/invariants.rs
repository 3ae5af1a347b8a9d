//! The invariants of every trace: guarantees of the engine that hold whatever a test expects.
//!
//! They are checked on events and actions alone, independently of the engine's implementation:
//!
//! - Each lookup has exactly one outcome, and none is left without one past its deadline.
//! - A page consists only of complete parts of its own attempts from its one snapshot, and its
//!   coverage counts exactly these.
//! - The outcome is `not-run` only if no attempt may have run.
//! - An at-most-once lookup is dispatched only with its claim granted, and never after an attempt
//!   with its key may have run.
//! - A draining server gets no new work after [`DRAIN_GRACE`].
//!
//! Besides, every attempt in the trace's events must have been dispatched in the replay too;
//! otherwise the replay made other decisions than the recording.

mod drains;
mod lookup_history;
mod lookups;

use std::time::Duration;

use crate::replay::Step;
use drains::Drains;
use lookups::Lookups;

/// The time after the first notice of a drain in which the server may still get new work.
pub(crate) const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// The time after its deadline at which a lookup without an outcome breaks the invariant.
pub(crate) const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// The state that the invariants are checked on.
#[derive(Debug, Default)]
pub(crate) struct Invariants {
    lookups: Lookups,
    drains: Drains,
}

impl Invariants {
    pub(crate) fn on(&mut self, step: &Step) -> Result<(), String> {
        self.drains.on(step)?;
        self.lookups.on(step)
    }

    pub(crate) fn end(&self, at: Duration) -> Result<(), String> {
        self.lookups.end(at)
    }
}
