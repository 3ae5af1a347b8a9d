//! Runs a decision as an actor: events queue up in a [`Feed`], a driver hands them over.
//!
//! A [`Machine`] is a state machine without I/O; a [`Shell`] carries its actions out. One `xtra`
//! actor, made by a [`Slot`], joins them.

mod driver;
mod feed;
mod timer;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

pub use driver::Machine;
pub use driver::Shared;
pub use driver::Shell;
pub use driver::Slot;
pub use driver::Times;
pub use feed::Feed;

/// Locks, also after a holder's panic: what is behind the lock is whole between two events.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
