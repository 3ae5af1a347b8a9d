//! The state machine that a replay drives, and how to build the engine of a trace.

use std::time::Instant;

use gs_query::Action;
use gs_query::Engine;
use gs_query::Event;
use gs_types::prelude::*;

use crate::header::Header;

/// A state machine that processes recorded events: the engine, or a test double with a fault.
pub trait Machine {
    /// Processes one event and appends the resulting actions to `out`.
    fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Action>);
}

impl Machine for Engine {
    fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        Engine::on(self, now, event, out);
    }
}

/// Builds an engine with the configuration of the one that a trace was recorded from.
///
/// # Errors
///
/// [`ErrorKind::BadInput`] if the header's options are out of range.
pub fn build_engine(header: &Header) -> Result<Engine> {
    Engine::builder()
        .vm(header.vm.clone())
        .incarnation(header.incarnation)
        .data_centre(header.data_centre.clone())
        .seed(header.seed)
        .options(header.options.clone())
        .build()
}
