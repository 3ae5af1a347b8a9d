//! Queues shards that wait for a connection and dispatches or requeues them.

use std::time::Instant;

use gs_route::ServerIdx;
use smallvec::SmallVec;

use crate::action::Action;
use crate::attempt::Cause;
use crate::engine_state::EngineState;
use crate::lookup::ActiveLookup;
use crate::lookup::ShardState;
use crate::placement::Placement;
use crate::wait_queues::QueuedPart;

impl EngineState {
    /// Queues a shard for these servers.
    pub(crate) fn enqueue(
        &mut self,
        lk: &mut ActiveLookup,
        pos: usize,
        servers: SmallVec<[ServerIdx; 2]>,
        cause: Cause,
    ) {
        let part = QueuedPart {
            answer_by: lk.answer_by,
            seq: lk.seq,
            pos,
        };
        self.wait_queues.add(part, &servers);
        let shard = &mut lk.shards[pos];
        shard.state = ShardState::Waiting;
        shard.queue_servers = servers;
        shard.queued_cause = cause;
    }

    /// Chooses servers again for a waiting shard.
    pub(crate) fn requeue(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        pos: usize,
        out: &mut Vec<Action>,
    ) {
        if lk
            .shards
            .get(pos)
            .is_none_or(|s| s.state != ShardState::Waiting)
        {
            return;
        }
        let cause = lk.shards[pos].queued_cause;
        self.dequeue(lk, pos);
        match self.choose_server(now, lk, pos) {
            Placement::Now(server) => self.dispatch(now, lk, pos, server, cause, out),
            Placement::Wait(servers) => self.enqueue(lk, pos, servers, cause),
            Placement::Unavailable(reason) => self.abandon_shard(lk, pos, reason),
        }
        self.after_event(now, lk, out);
    }

    /// Dispatches a waiting shard to a server with a free connection.
    pub(crate) fn dispatch_waiting(
        &mut self,
        now: Instant,
        lk: &mut ActiveLookup,
        pos: usize,
        server: ServerIdx,
        out: &mut Vec<Action>,
    ) {
        if !self.servers.view(server).is_eligible(lk.snapshot.id) {
            self.requeue(now, lk, pos, out);
            return;
        }
        let cause = lk.shards[pos].queued_cause;
        self.dequeue(lk, pos);
        self.dispatch(now, lk, pos, server, cause, out);
    }

    /// Removes a waiting shard from its queues and sets it to [`ShardState::Held`]; does nothing for
    /// other shards.
    pub(crate) fn dequeue(&mut self, lk: &mut ActiveLookup, pos: usize) {
        if lk.shards[pos].state != ShardState::Waiting {
            return;
        }
        let part = QueuedPart {
            answer_by: lk.answer_by,
            seq: lk.seq,
            pos,
        };
        let shard = &mut lk.shards[pos];
        shard.state = ShardState::Held;
        self.wait_queues.remove(&part, &shard.queue_servers);
        shard.queue_servers.clear();
    }
}
