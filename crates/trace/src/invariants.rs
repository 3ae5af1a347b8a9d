//! What must hold in every trace, stated or not: the promises of the brief that the engine keeps.
//!
//! Judged by events and actions alone, with no knowledge of how the engine is built:
//! one outcome to each lookup; a page made only of whole parts of its own attempts from its one
//! snapshot, with a coverage that counts just these; `not-run` only if no attempt may have run; an
//! at-most-once lookup dispatched only with its claim granted and never once an attempt with its key
//! may have run; no new work on a draining server after [`DRAIN_GRACE`]; no lookup left without its
//! answer. Besides, every attempt that the trace tells of must have been made by this machine too, or
//! the replay is not of the same decisions.

mod drains;
mod lookup_history;
mod lookups;

use std::time::Duration;

use crate::replay::Step;
use drains::Drains;
use lookups::Lookups;

/// How soon after the first sign a draining server gets no new work.
pub(crate) const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// How long after its deadline a lookup without an answer counts as cut.
pub(crate) const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// The state that the promises are judged by.
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
