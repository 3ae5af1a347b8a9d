//! One lookup's life, and the engine that runs all of a process's lookups.
//!
//! The engine is a plain state machine: [`Event`]s in, [`Action`]s out, `now` passed in, no I/O and
//! no random source of its own. A process, a replayed trace and a fuzzer all drive the same code.

mod action;
mod event;

pub use action::Action;
pub use action::ClaimAsk;
pub use action::Dispatch;
pub use action::Sign;
pub use event::Arrival;
pub use event::ClaimVerdict;
pub use event::Event;
pub use event::PartReply;
pub use event::ServerReport;
pub use event::SignSource;
