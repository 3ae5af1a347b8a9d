//! Fake servers and a fake shell around an engine.

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
use super::step::Cross;
use super::step::End;
use super::step::Step;
use crate::world;
use crate::world::World;

/// Replicas of each shard.
const REPLICAS: u32 = 2;

/// The most shards of any snapshot.
const SHARDS_MAX: u32 = 6;

/// The servers that faults befall: both replicas of the first two shards.
const SERVERS_HIT: usize = 4;

/// The texts that are searched for.
const QUERIES: [&str; 4] = ["pine", "larch", "trout", "kelp"];

/// The lookups declared.
const LOOKUPS: [&str; 5] = ["urgent", "handful", "complete", "book", "levy"];

/// The part of a shard: its hits tell the text, the snapshot and the shard that they are from.
pub fn part(query: &str, id: u64, s: u32) -> Part {
    let mut p = world::part(id, s);
    for h in &mut p.hits {
        h.doc = format!("{query}-{}", h.doc).into();
    }
    p.hits
        .sort_by(|a, b| b.score.cmp(&a.score).then_with(|| a.doc.cmp(&b.doc)));
    p
}

/// An attempt as the shell knows it.
#[derive(Clone, Debug)]
struct Held {
    dispatch: Dispatch,
    at: Instant,
    run: u64,
    is_sent: bool,
    is_cancelled: bool,
}

/// A server's true state.
#[derive(Clone, Debug)]
struct Server {
    run: u64,
    is_draining: bool,
    /// Runs that ever drained.
    drained: Vec<u64>,
}

/// Fake servers and a fake shell around an engine.
#[derive(Debug)]
pub struct Driver {
    pub engine: Engine,
    start: Instant,
    now: Instant,
    wake_at: Option<Instant>,
    next: u64,
    arrived: Vec<LookupSeq>,
    claims: Vec<LookupSeq>,
    open: Vec<Held>,
    past: Vec<Dispatch>,
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
            next: 1,
            arrived: Vec::new(),
            claims: Vec::new(),
            open: Vec::new(),
            past: Vec::new(),
            servers: BTreeMap::new(),
            revision: 1,
            snapshots: vec![(1, 3), (2, 4)],
        };
        for s in 0..SHARDS_MAX {
            for r in 0..REPLICAS {
                let fresh = Server {
                    run: 1,
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

    /// Feeds an event, and does what the engine asks for.
    fn on<O: Oracle>(&mut self, event: Event, oracle: &mut O) {
        let at = self.now.duration_since(self.start).as_micros() as u64;
        oracle.before(at, &event);
        let mut out = Vec::new();
        self.engine.on(self.now, event, &mut out);
        for action in out {
            oracle.after(at, &action);
            match action {
                Action::Dispatch(dispatch) => self.hold(dispatch),
                Action::Cancel(id) => self.cancel(&id),
                Action::Claim(ask) => self.claims.push(ask.seq),
                Action::Wake(after) => self.wake_at = Some(self.now + after),
                Action::Answer(..) | Action::Warm(..) | Action::Spread(_) => {}
            }
        }
    }

    fn hold(&mut self, dispatch: Dispatch) {
        self.past.push(dispatch.clone());
        self.open.push(Held {
            at: self.now,
            run: self.servers[&dispatch.server.name].run,
            dispatch,
            is_sent: false,
            is_cancelled: false,
        });
    }

    fn cancel(&mut self, id: &AttemptId) {
        let held = self.open.iter_mut().find(|h| h.dispatch.attempt == *id);
        held.expect("a cancel names an attempt under way")
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
            Step::Claim { pick, verdict } => {
                if !self.claims.is_empty() {
                    let seq = self.claims.remove(pick % self.claims.len());
                    self.on(Event::Claim(seq, verdict), oracle);
                }
            }
            Step::Sent(n) => self.send(n, oracle),
            Step::Reply(n, end) => self.end_one(n, end, oracle),
            Step::ReplyAll(n) => self.end_all(n, oracle),
            Step::Stray(n, cross) => self.stray(n, cross, oracle),
            Step::Pass(ms) => self.pass(Duration::from_millis(ms), oracle),
            Step::Report { server, lag, holds } => self.report(server, lag, holds, oracle),
            Step::BeginDrain(n) => {
                let s = self.server(n).1;
                s.is_draining = true;
                let run = s.run;
                s.drained.push(run);
            }
            Step::Restart(n) => {
                let s = self.server(n).1;
                s.run += 1;
                s.is_draining = false;
            }
            Step::DrainSign { server, named, lag } => self.sign(server, named, lag, oracle),
            Step::Quarantine {
                query,
                crashes,
                rest_ms,
            } => self.quarantine(query, crashes, rest_ms, oracle),
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
        }
    }

    /// Lets time pass until every lookup is over; the shell ends all attempts.
    pub fn run_out<O: Oracle>(&mut self, oracle: &mut O) {
        for _ in 0..8 {
            self.pass(Duration::from_millis(100), oracle);
        }
        assert_eq!(self.engine.in_flight(), 0, "lookups left over");
    }

    fn arrive<O: Oracle>(
        &mut self,
        lookup: usize,
        query: usize,
        floor: Option<u64>,
        deadline_ms: Option<u64>,
        oracle: &mut O,
    ) {
        let seq = LookupSeq(self.next);
        self.next += 1;
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

    fn end_one<O: Oracle>(&mut self, n: usize, end: End, oracle: &mut O) {
        if self.open.is_empty() {
            return;
        }
        let n = n % self.open.len();
        // What never left cannot be answered, and what left cannot be unsent.
        match (end, self.open[n].is_sent) {
            (End::NotSent, true) => return,
            (End::NotSent, false) => {}
            (_, false) => self.send(n, oracle),
            (_, true) => {}
        }
        let held = self.open.remove(n);
        let reply = self.reply_of(&held, end);
        self.on(Event::Reply(held.dispatch.attempt, reply), oracle);
    }

    fn end_all<O: Oracle>(&mut self, n: usize, oracle: &mut O) {
        for k in 0..self.open.len() {
            self.end_one(n.wrapping_mul(31).wrapping_add(k * 7), End::Whole, oracle);
        }
    }

    fn reply_of(&self, held: &Held, end: End) -> PartReply {
        let d = &held.dispatch;
        let run_drained = self.servers[&d.server.name].drained.contains(&held.run);
        let from = |id: u64, draining| PartReply::Whole {
            snapshot: SnapshotId(id),
            part: Arc::new(part(&d.query, id, d.attempt.shard.0)),
            load: 1,
            draining,
        };
        match end {
            End::Whole => from(d.snapshot.0, false),
            End::WholeDraining => from(d.snapshot.0, run_drained),
            End::WrongSnapshot(id) => from(id, false),
            End::Shed => PartReply::Shed {
                retry_after: Duration::from_millis(10),
            },
            End::Draining if run_drained => PartReply::Draining,
            End::Draining => PartReply::Failed,
            End::NoSnapshot(mask) => {
                let mut holds = held_by(mask);
                holds.retain(|id| *id != d.snapshot);
                PartReply::NoSnapshot { holds }
            }
            End::NotSent => PartReply::NotSent,
            End::Broken => PartReply::Broken,
            End::Garbled => PartReply::Garbled,
            End::Failed => PartReply::Failed,
        }
    }

    /// A reply that belongs to no attempt under way, with what its server would have said.
    fn stray<O: Oracle>(&mut self, n: usize, cross: Cross, oracle: &mut O) {
        if self.past.is_empty() {
            return;
        }
        let d = self.past[n % self.past.len()].clone();
        let mut id = d.attempt.clone();
        match cross {
            Cross::Again => {}
            Cross::OtherVm => id.vm = world::name("vm-2"),
            Cross::EarlierRun => id.incarnation = Incarnation(6),
            Cross::NextTry => id.attempt = id.attempt.wrapping_add(1),
            Cross::OtherLookup => id.lookup = LookupSeq(id.lookup.0.wrapping_add(1)),
        }
        // An id that is under way is no stray; its own server would have to answer.
        if self.open.iter().any(|h| h.dispatch.attempt == id) {
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

    /// Moves the time from wake-up to wake-up, as a shell does.
    fn pass<O: Oracle>(&mut self, by: Duration, oracle: &mut O) {
        let end = self.now + by;
        while let Some(at) = self.wake_at.filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.wake_at = None;
            self.on(Event::Tick, oracle);
        }
        self.now = end;
        self.end_forgotten(oracle);
    }

    /// A shell ends what was cancelled, or is long past its time.
    fn end_forgotten<O: Oracle>(&mut self, oracle: &mut O) {
        let limit = world::DEADLINE + Duration::from_millis(100);
        while let Some(n) = self
            .open
            .iter()
            .position(|h| h.is_cancelled || self.now - h.at > limit)
        {
            let held = self.open.remove(n);
            let reply = match (held.is_sent, held.is_cancelled) {
                (false, _) => PartReply::NotSent,
                (true, true) => PartReply::Cancelled,
                (true, false) => PartReply::Failed,
            };
            self.on(Event::Reply(held.dispatch.attempt, reply), oracle);
        }
    }

    fn report<O: Oracle>(&mut self, n: usize, lag: bool, holds: u8, oracle: &mut O) {
        let (name, s) = self.server(n);
        // A lagging endpoint tells of the run before, or not yet of the drain.
        let run = if lag {
            s.run.saturating_sub(1).max(1)
        } else {
            s.run
        };
        let draining = !lag && s.is_draining;
        let mut report = world::report(name, run, &[]);
        report.snapshots = held_by(holds);
        report.draining = draining;
        self.on(Event::Report(report), oracle);
    }

    fn sign<O: Oracle>(&mut self, n: usize, named: bool, lag: bool, oracle: &mut O) {
        let (name, s) = self.server(n);
        let told = if lag {
            s.drained.first()
        } else {
            s.drained.last()
        };
        let Some(run) = told.copied() else {
            return;
        };
        let sign = Notice::Drain {
            server: name,
            incarnation: named.then_some(Incarnation(run)),
        };
        self.on(Event::Sign(sign, NoticeSource::Peer), oracle);
    }

    fn quarantine<O: Oracle>(&mut self, query: usize, crashes: u32, rest: u64, oracle: &mut O) {
        let req = World::request("urgent", QUERIES[query % QUERIES.len()]);
        let sign = Notice::Quarantine {
            fingerprint: req.fingerprint(),
            crashes,
            rest: Duration::from_millis(rest),
        };
        self.on(Event::Sign(sign, NoticeSource::Peer), oracle);
    }

    /// A new snapshot with another count of shards; the oldest of three is taken off the map.
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
        // A few servers, so that several steps meet at one.
        let n = n % SERVERS_HIT;
        let found = self.servers.iter_mut().nth(n);
        let (name, server) = found.expect("a server");
        (name.clone(), server)
    }
}

/// The snapshots of a bit mask; mostly many of them.
fn held_by(mask: u8) -> smallvec::SmallVec<[SnapshotId; 4]> {
    (1..=5_u64)
        .filter(|id| mask & 0x80 == 0 || mask & (1 << id) != 0)
        .map(SnapshotId)
        .collect()
}
