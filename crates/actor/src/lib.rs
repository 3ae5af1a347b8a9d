//! Runs a decision as an actor: events queue up in a [`Feed`], a driver hands them over.
//!
//! A [`Machine`] is a state machine without I/O; a [`Shell`] carries its actions out. One `xtra`
//! actor, made by a [`UnstartedActor`], joins them.

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

/// Locks, also after a holder's panic: what is behind the lock is whole between two events.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
