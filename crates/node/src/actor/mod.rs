//! Runs a decision as an actor: events queue up in a [`Feed`], a driver hands them over.

mod driver;
mod feed;
mod timer;

pub(crate) use driver::Machine;
pub(crate) use driver::Shared;
pub(crate) use driver::Shell;
pub(crate) use driver::Slot;
pub(crate) use driver::Times;
pub(crate) use feed::Feed;
