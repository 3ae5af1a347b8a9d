//! What the requests for one service share: the budget for extra attempts, and the queue.

use std::collections::BTreeSet;

use gs_types::prelude::*;

use crate::budget::ExtraAttemptBudget;

/// A part that waits for a connection: by rank, then by age.
pub(crate) type QueuedPart = (u8, LookupSeq, u16);

/// What the requests for one service share.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) extra: ExtraAttemptBudget,
    pub(crate) waiting: BTreeSet<QueuedPart>,
}

impl Service {
    pub(crate) fn new(extra: ExtraAttemptBudget) -> Self {
        Self {
            extra,
            waiting: BTreeSet::new(),
        }
    }
}
