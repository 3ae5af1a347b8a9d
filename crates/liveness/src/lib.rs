//! Finds out which backend servers end, and which attempts they may have had then.
//!
//! Shared by `gentiansill relay` and `gentiansill serve`. A [`ServerWatch`] holds the attempts that
//! servers did not answer, until it is known whether the server ended or outlived them. All of it
//! is a plain state machine: time is passed in, and nothing here does I/O.

mod server_watch;
mod unanswered;
mod watched_server;

pub use server_watch::AttemptFate;
pub use server_watch::EndSign;
pub use server_watch::EndedServer;
pub use server_watch::ServerWatch;
pub use unanswered::UnansweredAttempt;
pub use unanswered::UnansweredEnd;
pub use watched_server::CHECK_INTERVAL;
pub use watched_server::ServerProcess;
