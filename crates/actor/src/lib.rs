//! Runs a state machine as an actor that processes the events queued in a [`Feed`].
//!
//! A [`Machine`] is a state machine without I/O; a [`Shell`] (the I/O driver) performs its actions.
//! One `xtra` actor, started from an [`UnstartedActor`], connects the two.

mod feed;
mod machine_actor;
mod timer;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

pub use feed::Feed;
pub use machine_actor::EventTime;
pub use machine_actor::Machine;
pub use machine_actor::Shared;
pub use machine_actor::Shell;
pub use machine_actor::UnstartedActor;

/// Locks a mutex, even a poisoned one: the data behind it is consistent between two events.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
