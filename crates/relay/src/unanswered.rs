//! Attempts that servers may have run and did not answer.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::attempt_origin::AttemptOrigin;
use crate::entry::ServerEntry;
use crate::reply::AttemptEnd;

/// How long a server may go on with a request after its connection was closed.
///
/// Most servers stop then. Others run what they have queued, and a request that makes the process
/// fail may do so only after the connection is gone.
const RUN_AFTER_CLOSE_MAX: Duration = Duration::from_secs(2);

/// An attempt that a server may have run and did not answer.
#[derive(Clone, Debug)]
pub(crate) struct UnansweredAttempt {
    pub(crate) origin: AttemptOrigin,
    /// When the attempt was sent.
    pub(crate) began_at: Instant,
    /// Until when its server may run it.
    pub(crate) runs_until: Instant,
    /// How the attempt ended.
    pub(crate) end: &'static str,
    /// Whether the server closed the connection, and not this VM.
    pub(crate) is_broken: bool,
    /// Whether servers of other shards may have executed the request without crashing.
    pub(crate) is_answered_elsewhere: bool,
}

impl UnansweredAttempt {
    /// Describes an attempt that ended at a time; `None` if its server answered it or never had it.
    pub(crate) fn new(
        now: Instant,
        origin: AttemptOrigin,
        began_at: Instant,
        end: &AttemptEnd,
    ) -> Option<Self> {
        let is_broken = match end {
            AttemptEnd::Broken => true,
            AttemptEnd::Garbled | AttemptEnd::Late(_) | AttemptEnd::Cancelled => false,
            AttemptEnd::Answered(..)
            | AttemptEnd::Shed(_)
            | AttemptEnd::Overloaded(_)
            | AttemptEnd::WrongServer
            | AttemptEnd::NotSent
            | AttemptEnd::Paged(..) => return None,
        };
        // A connection that breaks ends with the process, if the process ends.
        let runs_until = match is_broken {
            true => now,
            false => (now + RUN_AFTER_CLOSE_MAX).min(origin.deadline).max(now),
        };
        Some(Self {
            began_at,
            runs_until,
            end: end.into(),
            is_broken,
            // The parts of a fan-out that this VM no longer waits for may be answered.
            is_answered_elsewhere: origin.is_scatter && !is_broken,
            origin,
        })
    }
}

/// An attempt of a fan-out in flight that a server did not answer.
#[derive(Clone, Debug)]
pub(crate) struct UnansweredPart {
    /// The position of the part in the request.
    pub(crate) index: usize,
    pub(crate) server: Arc<ServerEntry>,
    pub(crate) attempt: UnansweredAttempt,
}
