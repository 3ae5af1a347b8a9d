//! Simulated servers and I/O driver (shell) around an engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_query::Action;
use gs_query::Arrival;
use gs_query::Dispatch;
use gs_query::Engine;
use gs_query::EngineOptions;
use gs_query::Event;
use gs_query::Notice;
use gs_query::NoticeSource;
use gs_query::PartReply;
use gs_types::prelude::*;

use super::Oracle;
use super::step::AttemptEnd;
use super::step::Step;
use super::step::StrayId;
use crate::world;
use crate::world::World;

/// Replicas of each shard.
const REPLICAS: u32 = 2;

/// The maximum number of shards of a snapshot.
const SHARDS_MAX: u32 = 6;

/// The number of servers with faults: both replicas of the first two shards.
const FAULTY_SERVERS: usize = 4;

/// The query texts.
const QUERIES: [&str; 4] = ["pine", "larch", "trout", "kelp"];

/// The lookups declared.
const LOOKUPS: [&str; 5] = ["urgent", "handful", "complete", "book", "levy"];

/// Returns the part of a shard; its hits name the query, snapshot and shard that they are from.
pub fn part(query: &str, id: u64, s: u32) -> Part {
    let mut p = world::part(id, s);
    for h in &mut p.hits {
        h.doc = format!("{query}-{}", h.doc).into();
    }
    p.hits
        .sort_by(|a, b| b.score.cmp(&a.score).then_with(|| a.doc.cmp(&b.doc)));
    p
}

/// A dispatched attempt as known to the I/O driver.
#[derive(Clone, Debug)]
struct OpenAttempt {
    dispatch: Dispatch,
    dispatched_at: Instant,
    incarnation: u64,
    is_sent: bool,
    is_cancelled: bool,
}

/// The actual state of a server.
#[derive(Clone, Debug)]
struct Server {
    incarnation: u64,
    is_draining: bool,
    /// The incarnations that have drained.
    drained: Vec<u64>,
}

/// Simulated servers and I/O driver (shell) around an engine.
#[derive(Debug)]
pub struct Driver {
    pub engine: Engine,
    start: Instant,
    now: Instant,
    wake_at: Option<Instant>,
    next_seq: u64,
    arrived: Vec<LookupSeq>,
    claims: Vec<LookupSeq>,
    open: Vec<OpenAttempt>,
    dispatched: Vec<Dispatch>,
    servers: BTreeMap<ServerName, Server>,
    revision: u64,
    snapshots: Vec<(u64, u32)>,
}

impl Driver {
    pub fn new<O: Oracle>(oracle: &mut O) -> Self {
        let options = EngineOptions {
            suspicion: Duration::from_millis(300),
            quarantine: Duration::from_millis(500),
            extra_burst: 20,
            ..EngineOptions::default()
        };
        let start = Instant::now();
        let mut d = Self {
            engine: Engine::builder()
                .vm(world::name("vm-1"))
                .incarnation(Incarnation(7))
                .data_centre(world::name("near"))
                .seed(1)
                .options(options)
                .build()
                .expect("valid options"),
            start,
            now: start,
            wake_at: None,
            next_seq: 1,
            arrived: Vec::new(),
            claims: Vec::new(),
            open: Vec::new(),
            dispatched: Vec::new(),
            servers: BTreeMap::new(),
            revision: 1,
            snapshots: vec![(1, 3), (2, 4)],
        };
        for s in 0..SHARDS_MAX {
            for r in 0..REPLICAS {
                let fresh = Server {
                    incarnation: 1,
                    is_draining: false,
                    drained: Vec::new(),
                };
                d.servers.insert(world::server(s, r), fresh);
            }
        }
        d.on(Event::Config(Arc::new(world::config(1))), oracle);
        d.send_group(oracle);
        d
    }

    /// Passes an event to the engine and carries out the resulting actions.
    fn on<O: Oracle>(&mut self, event: Event, oracle: &mut O) {
        let at = self.now.duration_since(self.start).as_micros() as u64;
        oracle.before(at, &event);
        let mut out = Vec::new();
        self.engine.on(self.now, event, &mut out);
        for action in out {
            oracle.after(at, &action);
            match action {
                Action::Dispatch(dispatch) => self.on_dispatch(dispatch),
                Action::Cancel(id) => self.on_cancel(&id),
                Action::Claim(claim) => self.claims.push(claim.seq),
                Action::Wake(after) => self.wake_at = Some(self.now + after),
                Action::Answer(..) | Action::Warm(..) | Action::Spread(_) | Action::Check(_) => {}
            }
        }
    }

    fn on_dispatch(&mut self, dispatch: Dispatch) {
        self.dispatched.push(dispatch.clone());
        self.open.push(OpenAttempt {
            dispatched_at: self.now,
            incarnation: self.servers[&dispatch.server.name].incarnation,
            dispatch,
            is_sent: false,
            is_cancelled: false,
        });
    }

    fn on_cancel(&mut self, id: &AttemptId) {
        let attempt = self.open.iter_mut().find(|a| a.dispatch.attempt == *id);
        attempt
            .expect("a cancel names an attempt in flight")
            .is_cancelled = true;
    }

    pub fn step<O: Oracle>(&mut self, step: Step, oracle: &mut O) {
        match step {
            Step::Arrive {
                lookup,
                query,
                floor,
                deadline_ms,
            } => self.arrive(lookup, query, floor, deadline_ms, oracle),
            Step::Claim { pick, decision } => {
                if !self.claims.is_empty() {
                    let seq = self.claims.remove(pick % self.claims.len());
                    self.on(Event::Claim(seq, decision), oracle);
                }
            }
            Step::Sent(n) => self.send(n, oracle),
            Step::Reply(n, end) => self.end_one(n, end, oracle),
            Step::ReplyAll(n) => self.end_all(n, oracle),
            Step::Stray(n, stray_id) => self.stray(n, stray_id, oracle),
            Step::Pass(ms) => self.advance(Duration::from_millis(ms), oracle),
            Step::Report {
                server,
                is_outdated,
                holds,
            } => self.report(server, is_outdated, holds, oracle),
            Step::BeginDrain(n) => {
                let s = self.server(n).1;
                s.is_draining = true;
                let incarnation = s.incarnation;
                s.drained.push(incarnation);
            }
            Step::Restart(n) => {
                let s = self.server(n).1;
                s.incarnation += 1;
                s.is_draining = false;
            }
            Step::DrainSign {
                server,
                named,
                is_outdated,
            } => self.send_drain_notice(server, named, is_outdated, oracle),
            Step::Quarantine {
                query,
                crashes,
                rest_ms,
            } => self.send_quarantine_notice(query, crashes, rest_ms, oracle),
            Step::Repartition(shards) => self.repartition(shards, oracle),
            Step::Share(n, share) => {
                let name = self.server(n).0;
                self.on(Event::Shares(vec![(name, Connections(share))]), oracle);
            }
            Step::Gone(n) => {
                if !self.arrived.is_empty() {
                    let seq = self.arrived[n % self.arrived.len()];
                    self.on(Event::Gone(seq), oracle);
                }
            }
            Step::Lost(n) => {
                let name = self.server(n).0;
                self.on(Event::Lost(name), oracle);
            }
            Step::Accepted(n, ms) => {
                let name = self.server(n).0;
                self.on(Event::Accepted(name, Duration::from_millis(ms)), oracle);
            }
            Step::Refused(n) => {
                let name = self.server(n).0;
                self.on(Event::Refused(name), oracle);
            }
        }
    }

    /// Advances the clock until every lookup and attempt has ended.
    pub fn finish_all<O: Oracle>(&mut self, oracle: &mut O) {
        for _ in 0..8 {
            self.advance(Duration::from_millis(100), oracle);
        }
        assert_eq!(self.engine.in_flight(), 0, "lookups still in flight");
    }

    fn arrive<O: Oracle>(
        &mut self,
        lookup: usize,
        query: usize,
        floor: Option<u64>,
        deadline_ms: Option<u64>,
        oracle: &mut O,
    ) {
        let seq = LookupSeq(self.next_seq);
        self.next_seq += 1;
        self.arrived.push(seq);
        let lookup = LOOKUPS[lookup % LOOKUPS.len()];
        let req = LookupRequest {
            floor: floor.map(SnapshotId),
            deadline: deadline_ms.map(Duration::from_millis),
            ..World::request(lookup, QUERIES[query % QUERIES.len()])
        };
        self.on(Event::Arrive(Arrival { seq, req }), oracle);
    }

    fn send<O: Oracle>(&mut self, n: usize, oracle: &mut O) {
        if self.open.is_empty() {
            return;
        }
        let n = n % self.open.len();
        if !self.open[n].is_sent {
            self.open[n].is_sent = true;
            let id = self.open[n].dispatch.attempt.clone();
            self.on(Event::Sent(id), oracle);
        }
    }

    fn end_one<O: Oracle>(&mut self, n: usize, end: AttemptEnd, oracle: &mut O) {
        if self.open.is_empty() {
            return;
        }
        let n = n % self.open.len();
        // An attempt that was not sent cannot get a reply, and one that was sent cannot end as
        // `NotSent`.
        match (end, self.open[n].is_sent) {
            (AttemptEnd::NotSent, true) => return,
            (AttemptEnd::NotSent, false) => {}
            (_, false) => self.send(n, oracle),
            (_, true) => {}
        }
        let attempt = self.open.remove(n);
        let reply = self.reply_of(&attempt, end);
        self.on(Event::Reply(attempt.dispatch.attempt, reply), oracle);
    }

    fn end_all<O: Oracle>(&mut self, n: usize, oracle: &mut O) {
        for k in 0..self.open.len() {
            self.end_one(
                n.wrapping_mul(31).wrapping_add(k * 7),
                AttemptEnd::Whole,
                oracle,
            );
        }
    }

    fn reply_of(&self, attempt: &OpenAttempt, end: AttemptEnd) -> PartReply {
        let d = &attempt.dispatch;
        let has_drained = self.servers[&d.server.name]
            .drained
            .contains(&attempt.incarnation);
        let from = |id: u64, draining| PartReply::Whole {
            snapshot: SnapshotId(id),
            part: Arc::new(part(&d.query, id, d.attempt.shard.0)),
            load: 1,
            draining,
        };
        match end {
            AttemptEnd::Whole => from(d.snapshot.0, false),
            AttemptEnd::WholeDraining => from(d.snapshot.0, has_drained),
            AttemptEnd::WrongSnapshot(id) => from(id, false),
            AttemptEnd::Shed => PartReply::Shed {
                retry_after: Duration::from_millis(10),
            },
            AttemptEnd::Draining if has_drained => PartReply::Draining,
            AttemptEnd::Draining => PartReply::Failed,
            AttemptEnd::NoSnapshot(mask) => {
                let mut holds = snapshots_in(mask);
                holds.retain(|id| *id != d.snapshot);
                PartReply::NoSnapshot { holds }
            }
            AttemptEnd::NotSent => PartReply::NotSent,
            AttemptEnd::Broken => PartReply::Broken,
            AttemptEnd::Garbled => PartReply::Garbled,
            AttemptEnd::Failed => PartReply::Failed,
        }
    }

    /// Sends a reply that matches no attempt in flight, with the part of another attempt.
    fn stray<O: Oracle>(&mut self, n: usize, stray_id: StrayId, oracle: &mut O) {
        if self.dispatched.is_empty() {
            return;
        }
        let d = self.dispatched[n % self.dispatched.len()].clone();
        let mut id = d.attempt.clone();
        match stray_id {
            StrayId::Duplicate => {}
            StrayId::OtherVm => id.vm = world::name("vm-2"),
            StrayId::EarlierIncarnation => id.incarnation = Incarnation(6),
            StrayId::NextAttempt => id.attempt = id.attempt.wrapping_add(1),
            StrayId::OtherLookup => id.lookup = LookupSeq(id.lookup.0.wrapping_add(1)),
        }
        // A reply to an attempt in flight would not be stray.
        if self.open.iter().any(|a| a.dispatch.attempt == id) {
            return;
        }
        let reply = PartReply::Whole {
            snapshot: d.snapshot,
            part: Arc::new(part(&d.query, d.snapshot.0, d.attempt.shard.0)),
            load: 0,
            draining: false,
        };
        self.on(Event::Reply(id, reply), oracle);
    }

    /// Advances the clock from wake-up to wake-up, as an I/O driver does.
    fn advance<O: Oracle>(&mut self, by: Duration, oracle: &mut O) {
        let end = self.now + by;
        while let Some(at) = self.wake_at.filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.wake_at = None;
            self.on(Event::Tick, oracle);
        }
        self.now = end;
        self.end_overdue(oracle);
    }

    /// Ends the attempts that were cancelled or are long past their deadlines.
    fn end_overdue<O: Oracle>(&mut self, oracle: &mut O) {
        let limit = world::DEADLINE + Duration::from_millis(100);
        while let Some(n) = self
            .open
            .iter()
            .position(|a| a.is_cancelled || self.now - a.dispatched_at > limit)
        {
            let attempt = self.open.remove(n);
            let reply = match (attempt.is_sent, attempt.is_cancelled) {
                (false, _) => PartReply::NotSent,
                (true, true) => PartReply::Cancelled,
                (true, false) => PartReply::Failed,
            };
            self.on(Event::Reply(attempt.dispatch.attempt, reply), oracle);
        }
    }

    fn report<O: Oracle>(&mut self, n: usize, is_outdated: bool, holds: u8, oracle: &mut O) {
        let (name, s) = self.server(n);
        // An out-of-date report names the previous incarnation or lacks the drain.
        let incarnation = if is_outdated {
            s.incarnation.saturating_sub(1).max(1)
        } else {
            s.incarnation
        };
        let draining = !is_outdated && s.is_draining;
        let mut report = world::report(name, incarnation, &[]);
        report.snapshots = snapshots_in(holds);
        report.draining = draining;
        self.on(Event::Report(report), oracle);
    }

    fn send_drain_notice<O: Oracle>(
        &mut self,
        n: usize,
        named: bool,
        is_outdated: bool,
        oracle: &mut O,
    ) {
        let (name, s) = self.server(n);
        let announced = if is_outdated {
            s.drained.first()
        } else {
            s.drained.last()
        };
        let Some(incarnation) = announced.copied() else {
            return;
        };
        let notice = Notice::Drain {
            server: name,
            incarnation: named.then_some(Incarnation(incarnation)),
        };
        self.on(Event::Sign(notice, NoticeSource::Peer), oracle);
    }

    fn send_quarantine_notice<O: Oracle>(
        &mut self,
        query: usize,
        crashes: u32,
        rest: u64,
        oracle: &mut O,
    ) {
        let req = World::request("urgent", QUERIES[query % QUERIES.len()]);
        let notice = Notice::Quarantine {
            fingerprint: req.fingerprint(),
            crashes,
            rest: Duration::from_millis(rest),
        };
        self.on(Event::Sign(notice, NoticeSource::Peer), oracle);
    }

    /// Adds a snapshot with another number of shards; the oldest of more than three is removed.
    fn repartition<O: Oracle>(&mut self, shards: u32, oracle: &mut O) {
        if self.revision > 3 {
            return;
        }
        self.revision += 1;
        self.snapshots
            .push((self.revision + 1, shards.min(SHARDS_MAX)));
        if self.snapshots.len() > 3 {
            self.snapshots.remove(0);
        }
        self.send_group(oracle);
    }

    fn send_group<O: Oracle>(&mut self, oracle: &mut O) {
        let map = world::group(self.revision, REPLICAS, &self.snapshots);
        self.on(Event::Group(Arc::new(map)), oracle);
    }

    fn server(&mut self, n: usize) -> (ServerName, &mut Server) {
        // Few servers, so that several steps affect the same one.
        let n = n % FAULTY_SERVERS;
        let found = self.servers.iter_mut().nth(n);
        let (name, server) = found.expect("a server");
        (name.clone(), server)
    }
}

/// Returns the snapshots of a bit mask; all of them if the top bit is not set.
fn snapshots_in(mask: u8) -> smallvec::SmallVec<[SnapshotId; 4]> {
    (1..=5_u64)
        .filter(|id| mask & 0x80 == 0 || mask & (1 << id) != 0)
        .map(SnapshotId)
        .collect()
}
