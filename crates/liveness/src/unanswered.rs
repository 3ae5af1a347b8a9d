//! Attempts that servers may have run and did not answer.

use std::time::Duration;
use std::time::Instant;

/// How long a server may go on with a request after its connection was closed.
///
/// Most servers stop then. Others run what they have queued, and a request that makes the process
/// fail may do so only after the connection is gone.
const RUN_AFTER_CLOSE_MAX: Duration = Duration::from_secs(2);

/// How an attempt ended that its server did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum UnansweredEnd {
    /// The server closed the connection.
    Broken,
    /// The answer was truncated, malformed or that of another attempt.
    Garbled,
    /// No answer arrived in its time.
    Late,
    /// This VM cancelled it.
    Cancelled,
}

/// An attempt that a server may have run and did not answer.
///
/// `R` identifies the request of the attempt.
#[derive(Clone, Debug)]
pub struct UnansweredAttempt<R> {
    /// The request.
    pub origin: R,
    /// When the attempt was sent.
    pub began_at: Instant,
    /// Until when its server may run it.
    pub runs_until: Instant,
    /// How the attempt ended.
    pub end: UnansweredEnd,
}

impl<R> UnansweredAttempt<R> {
    /// Describes an attempt that ended now, at which its server works until `deadline` at the latest.
    pub fn new(
        now: Instant,
        origin: R,
        began_at: Instant,
        end: UnansweredEnd,
        deadline: Instant,
    ) -> Self {
        // A connection that breaks ends with the process, if the process ends.
        let runs_until = match end {
            UnansweredEnd::Broken => now,
            UnansweredEnd::Garbled | UnansweredEnd::Late | UnansweredEnd::Cancelled => {
                (now + RUN_AFTER_CLOSE_MAX).min(deadline).max(now)
            }
        };
        Self {
            origin,
            began_at,
            runs_until,
            end,
        }
    }

    /// Whether the server closed the connection, and not this VM.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        self.end == UnansweredEnd::Broken
    }
}
