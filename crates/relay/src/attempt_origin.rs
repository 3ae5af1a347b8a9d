//! The request of an attempt, as far as it is needed after the request has ended.

use std::sync::Arc;
use std::time::Instant;

use gs_types::prelude::*;

use crate::active_request::ActiveRequest;

/// The request of an attempt, as far as it is needed after the request has ended.
#[derive(Clone, Debug)]
pub(crate) struct AttemptOrigin {
    /// Identifies the request among its repeats.
    pub(crate) request: Fingerprint,
    /// The caller's id of the request.
    pub(crate) id: Arc<str>,
    /// Until when a server works on the request at the latest.
    pub(crate) deadline: Instant,
    /// Whether the attempt is at one of several shards.
    pub(crate) is_scatter: bool,
    /// Whether another VM has delegated it, which has other parts of the request.
    pub(crate) is_delegated: bool,
    /// Whether servers of other shards may have executed the request without crashing.
    pub(crate) is_answered_elsewhere: bool,
}

impl AttemptOrigin {
    pub(crate) fn of(request: &ActiveRequest) -> Self {
        Self {
            request: request.fingerprint,
            id: Arc::clone(&request.req.id),
            deadline: request.arrived_at + request.caller_timeout,
            is_scatter: request.route.is_scatter(),
            is_delegated: request.shards_wanted.is_some(),
            is_answered_elsewhere: false,
        }
    }
}
