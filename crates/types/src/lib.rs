//! Newtypes, the domain model and the errors that every crate of the workspace shares.
//!
//! Nothing here does I/O or reads a clock. Most crates need only the [`prelude`].

pub mod answer;
pub mod attempt;
pub mod error;
pub mod idempotency_key;
pub mod ids;
pub mod log_rate_limit;
pub mod lookup;
pub mod model;
pub mod prelude;
pub mod size;
pub mod stored;
pub mod vm;
