//! A group with known parts and an engine that a test drives event by event.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_query::Action;
use gs_query::Arrival;
use gs_query::Dispatch;
use gs_query::Engine;
use gs_query::EngineOptions;
use gs_query::Event;
use gs_query::PartReply;
use gs_query::ServerReport;
use gs_types::prelude::*;
use smallvec::SmallVec;
use smallvec::smallvec;

/// The deadline of every lookup declared here.
pub const DEADLINE: Duration = Duration::from_millis(200);

/// Parses a valid name.
pub fn name<T: std::str::FromStr<Err = Error>>(s: &str) -> T {
    s.parse().expect("a valid name")
}

/// Returns the name of server `r` of shard `s`.
pub fn server(s: u32, r: u32) -> ServerName {
    name(&format!("s{s}-{r}"))
}

fn decl(s: u32, r: u32) -> Arc<ServerDecl> {
    Arc::new(ServerDecl {
        name: server(s, r),
        service: name(&format!("shard-{s}")),
        addr: "127.0.0.1:1".parse().expect("an address"),
        data_centre: name(if r == 0 { "near" } else { "far" }),
        slots: Slots(2),
        connections: Connections(25),
    })
}

fn snapshot(id: u64, shards: u32, replicas: u32) -> Arc<SnapshotMap> {
    let shards = (0..shards)
        .map(|s| ShardMap {
            shard: ShardId(s),
            servers: (0..replicas).map(|r| server(s, r)).collect(),
        })
        .collect();
    Arc::new(SnapshotMap {
        id: SnapshotId(id),
        shards,
    })
}

/// Returns a group whose snapshots have these numbers and numbers of shards.
pub fn group(revision: u64, replicas: u32, snapshots: &[(u64, u32)]) -> GroupMap {
    let shards_max = snapshots.iter().map(|s| s.1).max().unwrap_or(0);
    GroupMap {
        group: name("ledger"),
        revision,
        servers: (0..shards_max)
            .flat_map(|s| (0..replicas).map(move |r| decl(s, r)))
            .collect(),
        snapshots: snapshots
            .iter()
            .map(|(id, shards)| snapshot(*id, *shards, replicas))
            .collect(),
    }
}

fn lookup(n: &str, scope: Scope, promise: Promise, enough_at: Option<u32>) -> Lookup {
    Lookup {
        name: name(n),
        group: name("ledger"),
        scope,
        promise,
        deadline: DEADLINE,
        page: 5,
        enough_at,
    }
}

/// Returns a configuration of one front with a lookup of each kind.
pub fn config(version: u64) -> Config {
    Config {
        version: ConfVersion(version),
        patch: None,
        teams: Vec::new(),
        fronts: vec![Front {
            name: name("desk"),
            lookups: vec![
                lookup("urgent", Scope::Scatter, Promise::Urgent, None),
                lookup("handful", Scope::Scatter, Promise::Urgent, Some(3)),
                lookup("complete", Scope::Scatter, Promise::Complete, None),
                lookup("book", Scope::Keyed, Promise::Urgent, None),
                lookup("levy", Scope::Keyed, Promise::AtMostOnce, None),
            ],
        }],
    }
}

/// Returns the part that shard `s` of snapshot `id` holds: two hits, each named after its origin.
pub fn part(id: u64, s: u32) -> Part {
    let hit = |n: u32| Hit {
        doc: format!("{id}-{s}-{n}").into(),
        score: u64::from((s * 7 + n * 3) % 11),
        text: "line".into(),
    };
    let mut hits = vec![hit(0), hit(1)];
    hits.sort_by(|a, b| b.score.cmp(&a.score).then_with(|| a.doc.cmp(&b.doc)));
    Part { hits, matched: 2 }
}

/// Returns the page of these shards of a snapshot, computed by sorting all hits.
pub fn brute_force(id: u64, shards: &[u32], page: usize) -> Vec<Hit> {
    let mut hits: Vec<Hit> = shards.iter().flat_map(|s| part(id, *s).hits).collect();
    hits.sort_by(|a, b| b.score.cmp(&a.score).then_with(|| a.doc.cmp(&b.doc)));
    hits.truncate(page);
    hits
}

/// Returns a reply with a complete part to an attempt.
pub fn whole(d: &Dispatch) -> PartReply {
    PartReply::Whole {
        snapshot: d.snapshot,
        part: Arc::new(part(d.snapshot.0, d.attempt.shard.0)),
        load: 0,
        draining: false,
    }
}

/// Returns the report of a healthy server that holds these snapshots.
pub fn report(server: ServerName, incarnation: u64, holds: &[u64]) -> ServerReport {
    ServerReport {
        server,
        incarnation: Some(Incarnation(incarnation)),
        snapshots: holds.iter().map(|id| SnapshotId(*id)).collect(),
        load: 0,
        draining: false,
    }
}

/// An engine with its clock and the actions it returned.
pub struct World {
    pub engine: Engine,
    pub now: Instant,
    /// Attempts dispatched and not yet ended by the test.
    pub open: Vec<Dispatch>,
    /// Attempts cancelled and not yet ended by the test.
    pub cancelled: Vec<AttemptId>,
    pub answers: Vec<(LookupSeq, Outcome)>,
    pub claims: Vec<LookupSeq>,
    pub notices: Vec<gs_query::Notice>,
    next_seq: u64,
}

impl World {
    /// Creates a group of one snapshot, number 1, with a share of 2 connections per server.
    pub fn new(shards: u32, replicas: u32) -> Self {
        Self::with(
            EngineOptions::default(),
            &group(1, replicas, &[(1, shards)]),
        )
    }

    pub fn with(options: EngineOptions, map: &GroupMap) -> Self {
        let engine = Engine::builder()
            .vm(name("vm-1"))
            .incarnation(Incarnation(7))
            .data_centre(name("near"))
            .seed(20261203)
            .options(options)
            .build()
            .expect("valid options");
        let mut w = Self {
            engine,
            now: Instant::now(),
            open: Vec::new(),
            cancelled: Vec::new(),
            answers: Vec::new(),
            claims: Vec::new(),
            notices: Vec::new(),
            next_seq: 1,
        };
        w.on(Event::Config(Arc::new(config(1))));
        w.on(Event::Group(Arc::new(map.clone())));
        w.share_all(map, 2);
        w
    }

    pub fn share_all(&mut self, map: &GroupMap, n: u32) {
        let shares = map
            .servers
            .iter()
            .map(|d| (d.name.clone(), Connections(n)))
            .collect();
        self.on(Event::Shares(shares));
    }

    /// Passes an event to the engine and records the resulting actions.
    pub fn on(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.engine.on(self.now, event, &mut out);
        for a in &out {
            match a {
                Action::Dispatch(d) => self.open.push(d.clone()),
                Action::Cancel(id) => self.cancelled.push(id.clone()),
                Action::Answer(seq, outcome) => self.answers.push((*seq, outcome.clone())),
                Action::Claim(claim) => self.claims.push(claim.seq),
                Action::Spread(notice) => self.notices.push(notice.clone()),
                Action::Wake(_) | Action::Warm(..) | Action::Check(_) => {}
            }
        }
        out
    }

    pub fn request(lookup: &str, query: &str) -> LookupRequest {
        LookupRequest {
            front: name("desk"),
            lookup: name(lookup),
            query: query.into(),
            key: matches!(lookup, "book" | "levy").then(|| "franchise-9".into()),
            idempotency_key: (lookup == "levy").then(|| name("1700000000-abcdefgh")),
            deadline: None,
            floor: None,
        }
    }

    pub fn arrive(&mut self, lookup: &str) -> LookupSeq {
        self.arrive_with(Self::request(lookup, "pine"))
    }

    pub fn arrive_with(&mut self, req: LookupRequest) -> LookupSeq {
        let seq = LookupSeq(self.next_seq);
        self.next_seq += 1;
        self.on(Event::Arrive(Arrival { seq, req }));
        seq
    }

    /// Advances the clock and sends a tick.
    pub fn advance(&mut self, by: Duration) {
        self.now += by;
        self.on(Event::Tick);
    }

    /// Removes and returns the earliest open attempt at this shard.
    pub fn take(&mut self, shard: u32) -> Dispatch {
        let at = self
            .open
            .iter()
            .position(|d| d.attempt.shard == ShardId(shard))
            .expect("an open attempt at the shard");
        self.open.remove(at)
    }

    pub fn sent(&mut self, d: &Dispatch) {
        self.on(Event::Sent(d.attempt.clone()));
    }

    pub fn reply(&mut self, d: &Dispatch, reply: PartReply) {
        self.on(Event::Reply(d.attempt.clone(), reply));
    }

    /// Sends the open attempt at a shard and replies to it.
    pub fn serve(&mut self, shard: u32, reply: PartReply) -> Dispatch {
        let d = self.take(shard);
        self.sent(&d);
        self.reply(&d, reply);
        d
    }

    /// Sends every open attempt, including those that follow, and replies with a complete part.
    pub fn serve_all(&mut self) {
        while !self.open.is_empty() {
            let d = self.open.remove(0);
            self.sent(&d);
            self.reply(&d, whole(&d));
        }
    }

    /// Returns the only outcome of a lookup.
    pub fn outcome(&self, seq: LookupSeq) -> Outcome {
        let found: Vec<_> = self.answers.iter().filter(|(s, _)| *s == seq).collect();
        assert_eq!(found.len(), 1, "outcomes of {seq}: {found:?}");
        found[0].1.clone()
    }

    /// Whether a lookup has its outcome.
    pub fn is_finished(&self, seq: LookupSeq) -> bool {
        self.answers.iter().any(|(s, _)| *s == seq)
    }

    /// Returns the answer of a lookup that must have been answered.
    pub fn answer(&self, seq: LookupSeq) -> Answer {
        match self.outcome(seq) {
            Outcome::Answered(a) => a,
            other => panic!("not answered: {other:?}"),
        }
    }
}

/// Returns a server's list of the snapshots it holds.
pub fn holds(ids: &[u64]) -> SmallVec<[SnapshotId; 4]> {
    let mut ids_held = smallvec![];
    ids_held.extend(ids.iter().map(|id| SnapshotId(*id)));
    ids_held
}
