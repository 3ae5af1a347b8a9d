//! Attempts that servers may have run and did not answer.

use std::sync::Arc;
use std::time::Instant;

use gs_liveness::ServerProcess;
use gs_liveness::UnansweredEnd;
use gs_types::prelude::*;

use crate::attempt_origin::AttemptOrigin;
use crate::entry::ServerEntry;
use crate::reply::AttemptEnd;

/// An attempt that a server may have run and did not answer.
pub(crate) type UnansweredAttempt = gs_liveness::UnansweredAttempt<AttemptOrigin>;

/// A server that has ended, with the attempts that it may have had then.
pub(crate) type EndedServer = gs_liveness::EndedServer<ServerEntry, AttemptOrigin>;

/// The servers that are watched.
pub(crate) type ServerWatch = gs_liveness::ServerWatch<ServerEntry, AttemptOrigin>;

impl ServerProcess for ServerEntry {
    fn name(&self) -> &ServerName {
        &self.name
    }

    fn is_same_incarnation(&self, other: &Self) -> bool {
        self.born == other.born && self.addr == other.addr && self.service == other.service
    }
}

/// Describes an attempt that ended at a time; `None` if its server answered it or never had it.
pub(crate) fn unanswered_attempt(
    now: Instant,
    mut origin: AttemptOrigin,
    began_at: Instant,
    end: &AttemptEnd,
) -> Option<UnansweredAttempt> {
    let end = match end {
        AttemptEnd::Broken => UnansweredEnd::Broken,
        AttemptEnd::Garbled => UnansweredEnd::Garbled,
        AttemptEnd::Late(_) => UnansweredEnd::Late,
        AttemptEnd::Cancelled => UnansweredEnd::Cancelled,
        AttemptEnd::Answered(..)
        | AttemptEnd::Shed(_)
        | AttemptEnd::Overloaded(_)
        | AttemptEnd::WrongServer
        | AttemptEnd::NotSent
        | AttemptEnd::Paged(..) => return None,
    };
    // The parts of a fan-out that this VM no longer waits for may be answered.
    origin.is_answered_elsewhere = origin.is_scatter && end != UnansweredEnd::Broken;
    let deadline = origin.deadline;
    Some(UnansweredAttempt::new(now, origin, began_at, end, deadline))
}

/// An attempt of a fan-out in flight that a server did not answer.
#[derive(Clone, Debug)]
pub(crate) struct UnansweredPart {
    /// The position of the part in the request.
    pub(crate) index: usize,
    pub(crate) server: Arc<ServerEntry>,
    pub(crate) attempt: UnansweredAttempt,
}
