//! State shared by the requests for one service: the budget for extra attempts and the queue.

use std::collections::BTreeSet;

use gs_types::prelude::*;

use crate::budget::ExtraAttemptBudget;

/// A part that waits for a server: the route's priority, the request, and the position of the part
/// in it. Lower values are dispatched first.
pub(crate) type QueuedPart = (u8, LookupSeq, u16);

/// State shared by the requests for one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) extra_budget: ExtraAttemptBudget,
    /// The queue of its parts.
    pub(crate) waiting: BTreeSet<QueuedPart>,
}

impl ServiceState {
    pub(crate) fn new(extra_budget: ExtraAttemptBudget) -> Self {
        Self {
            extra_budget,
            waiting: BTreeSet::new(),
        }
    }
}
