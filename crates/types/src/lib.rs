//! Newtypes, domain types and errors that every crate of the workspace shares.
//!
//! This crate does no I/O and reads no clock. Most crates need only the [`prelude`].

pub mod answer;
pub mod attempt;
pub mod error;
pub mod idempotency_key;
pub mod ids;
pub mod lookup;
pub mod model;
pub mod prelude;
pub mod rate_limit;
pub mod revision;
pub mod size;
pub mod stored;
pub mod vm;
