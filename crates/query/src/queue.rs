//! Shards that wait for a connection, and how they leave the queues.

use std::time::Instant;

use gs_route::ServerIdx;
use smallvec::SmallVec;

use crate::action::Action;
use crate::attempt::Kind;
use crate::core::Core;
use crate::lookup::LookupRun;
use crate::lookup::ShardState;
use crate::place::Place;
use crate::waiting::Ticket;

impl Core {
    /// Puts a shard into the queues of these servers.
    pub(crate) fn queue(
        &mut self,
        lk: &mut LookupRun,
        at: usize,
        servers: SmallVec<[ServerIdx; 2]>,
        kind: Kind,
    ) {
        let ticket = Ticket {
            answer_by: lk.answer_by,
            seq: lk.seq,
            at,
        };
        self.waiting.add(ticket, &servers);
        let shard = &mut lk.shards[at];
        shard.state = ShardState::Waiting;
        shard.queued_at = servers;
        shard.queued_as = kind;
    }

    /// Finds a new place for a shard that waits.
    pub(crate) fn requeue(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        at: usize,
        out: &mut Vec<Action>,
    ) {
        if lk
            .shards
            .get(at)
            .is_none_or(|s| s.state != ShardState::Waiting)
        {
            return;
        }
        let kind = lk.shards[at].queued_as;
        self.unqueue(lk, at);
        match self.place(now, lk, at) {
            Place::Now(server) => self.dispatch(now, lk, at, server, kind, out),
            Place::Wait(servers) => self.queue(lk, at, servers, kind),
            Place::Nowhere(reason) => self.give_up(lk, at, reason),
        }
        self.after(now, lk, out);
    }

    /// Hands a shard that waits to a server with a connection free.
    pub(crate) fn serve(
        &mut self,
        now: Instant,
        lk: &mut LookupRun,
        at: usize,
        server: ServerIdx,
        out: &mut Vec<Action>,
    ) {
        if !self.servers.view(server).is_eligible(lk.snapshot.id) {
            self.requeue(now, lk, at, out);
            return;
        }
        let kind = lk.shards[at].queued_as;
        self.unqueue(lk, at);
        self.dispatch(now, lk, at, server, kind, out);
    }

    /// Takes a shard out of the queues that it stands in.
    pub(crate) fn unqueue(&mut self, lk: &mut LookupRun, at: usize) {
        if lk.shards[at].state != ShardState::Waiting {
            return;
        }
        let ticket = Ticket {
            answer_by: lk.answer_by,
            seq: lk.seq,
            at,
        };
        let shard = &mut lk.shards[at];
        shard.state = ShardState::Held;
        self.waiting.remove(&ticket, &shard.queued_at);
        shard.queued_at.clear();
    }
}
