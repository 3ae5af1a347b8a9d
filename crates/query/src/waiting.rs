//! Parts that wait for a free connection to a server.

use std::collections::BTreeSet;
use std::time::Instant;

use gs_route::ServerIdx;
use gs_types::prelude::*;

/// A part in a queue; the one that must be answered first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Ticket {
    /// When its lookup is answered at the latest.
    pub(crate) answer_by: Instant,
    /// Its lookup.
    pub(crate) seq: LookupSeq,
    /// Its shard's place in the lookup.
    pub(crate) at: usize,
}

/// One queue for each server; a part stands in those of all servers that may take it.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    queues: Vec<BTreeSet<Ticket>>,
    parts: usize,
}

impl Waiting {
    /// Puts a part into the queues of these servers.
    pub(crate) fn add(&mut self, ticket: Ticket, servers: &[ServerIdx]) {
        for s in servers {
            if self.queues.len() <= s.index() {
                self.queues.resize_with(s.index() + 1, BTreeSet::new);
            }
            self.queues[s.index()].insert(ticket);
        }
        self.parts += 1;
    }

    /// Takes a part out of the queues of these servers.
    pub(crate) fn remove(&mut self, ticket: &Ticket, servers: &[ServerIdx]) {
        for s in servers {
            if let Some(queue) = self.queues.get_mut(s.index()) {
                queue.remove(ticket);
            }
        }
        self.parts = self.parts.saturating_sub(1);
    }

    /// The part that is next at a server.
    pub(crate) fn first(&self, server: ServerIdx) -> Option<Ticket> {
        self.queues.get(server.index())?.first().copied()
    }

    /// All parts that wait for a server.
    pub(crate) fn all(&self, server: ServerIdx) -> Vec<Ticket> {
        let queue = self.queues.get(server.index());
        queue.map_or_else(Vec::new, |q| q.iter().copied().collect())
    }

    /// How many parts wait for a server.
    pub(crate) fn len(&self, server: ServerIdx) -> usize {
        self.queues.get(server.index()).map_or(0, BTreeSet::len)
    }

    /// How many parts wait altogether.
    pub(crate) fn parts(&self) -> usize {
        self.parts
    }
}
