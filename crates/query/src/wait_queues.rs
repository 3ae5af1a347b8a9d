//! Queues of parts that wait for a free connection to a server.

use std::collections::BTreeSet;
use std::time::Instant;

use gs_route::ServerIdx;
use gs_types::prelude::*;

/// A part in a queue, ordered by the time by which it must be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedPart {
    /// The latest time at which its lookup is answered.
    pub(crate) answer_by: Instant,
    /// The lookup's number.
    pub(crate) seq: LookupSeq,
    /// The position of its shard in the lookup.
    pub(crate) pos: usize,
}

/// One queue per server; a part is in the queues of all servers that may take it.
#[derive(Debug, Default)]
pub(crate) struct WaitQueues {
    queues: Vec<BTreeSet<QueuedPart>>,
    parts: usize,
}

impl WaitQueues {
    /// Adds a part to the queues of these servers.
    pub(crate) fn add(&mut self, part: QueuedPart, servers: &[ServerIdx]) {
        for s in servers {
            if self.queues.len() <= s.index() {
                self.queues.resize_with(s.index() + 1, BTreeSet::new);
            }
            self.queues[s.index()].insert(part);
        }
        self.parts += 1;
    }

    /// Removes a part from the queues of these servers.
    pub(crate) fn remove(&mut self, part: &QueuedPart, servers: &[ServerIdx]) {
        for s in servers {
            if let Some(queue) = self.queues.get_mut(s.index()) {
                queue.remove(part);
            }
        }
        self.parts = self.parts.saturating_sub(1);
    }

    /// Returns the next part for a server.
    pub(crate) fn next_part(&self, server: ServerIdx) -> Option<QueuedPart> {
        self.queues.get(server.index())?.first().copied()
    }

    /// Returns all parts that wait for a server.
    pub(crate) fn waiting_parts(&self, server: ServerIdx) -> Vec<QueuedPart> {
        let queue = self.queues.get(server.index());
        queue.map_or_else(Vec::new, |q| q.iter().copied().collect())
    }

    /// Returns the number of parts that wait for a server.
    pub(crate) fn waiting_count(&self, server: ServerIdx) -> usize {
        self.queues.get(server.index()).map_or(0, BTreeSet::len)
    }

    /// Returns the number of waiting parts.
    pub(crate) fn total_waiting(&self) -> usize {
        self.parts
    }
}
