//! What the requests for one service share: the budget for extra attempts, and the queue.

use std::collections::BTreeSet;

use gs_types::prelude::*;

use crate::budget::ExtraWindow;

/// A part that waits for a connection: by rank, then by age.
pub(crate) type Waiter = (u8, LookupSeq, u16);

/// What the requests for one service share.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) extra: ExtraWindow,
    pub(crate) waiting: BTreeSet<Waiter>,
}

impl Service {
    pub(crate) fn new(extra: ExtraWindow) -> Self {
        Self {
            extra,
            waiting: BTreeSet::new(),
        }
    }
}
