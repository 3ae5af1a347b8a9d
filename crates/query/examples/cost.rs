//! Measures the engine's own cost per part, without any I/O.
//!
//! Simulated servers answer every attempt. Run it with
//! `cargo run --release -p gs-query --example cost`; it prints one line for each load.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_query::Action;
use gs_query::Arrival;
use gs_query::Dispatch;
use gs_query::Engine;
use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;

/// The number of shards of the group, which is that of a large group.
const SHARDS: u32 = 50;

/// The number of replicas of each shard.
const REPLICAS: u32 = 2;

/// The number of hits in each part and on each page.
const PAGE: u32 = 10;

/// The number of lookups answered in each run.
const LOOKUPS: u64 = 20_000;

fn name<T: std::str::FromStr<Err = Error>>(s: &str) -> T {
    s.parse().expect("a valid name")
}

fn server(s: u32, r: u32) -> ServerName {
    name(&format!("s{s}-{r}"))
}

fn group() -> GroupMap {
    let decl = |s: u32, r: u32| ServerDecl {
        name: server(s, r),
        service: name(&format!("shard-{s}")),
        addr: "127.0.0.1:1".parse().expect("an address"),
        data_centre: name(if r == 0 { "near" } else { "far" }),
        slots: Slots(2),
        connections: Connections(25),
    };
    let shard = |s: u32| ShardMap {
        shard: ShardId(s),
        servers: (0..REPLICAS).map(|r| server(s, r)).collect(),
    };
    GroupMap {
        group: name("ledger"),
        revision: 1,
        servers: (0..SHARDS)
            .flat_map(|s| (0..REPLICAS).map(move |r| (s, r)))
            .map(|(s, r)| Arc::new(decl(s, r)))
            .collect(),
        snapshots: vec![Arc::new(SnapshotMap {
            id: SnapshotId(1),
            shards: (0..SHARDS).map(shard).collect(),
        })],
    }
}

fn config() -> Config {
    Config {
        version: ConfVersion(1),
        fronts: vec![Front {
            name: name("desk"),
            lookups: vec![Lookup {
                name: name("page"),
                group: name("ledger"),
                scope: Scope::Scatter,
                promise: Promise::Complete,
                deadline: Duration::from_secs(30),
                page: PAGE,
                enough_at: None,
            }],
        }],
        ..Config::default()
    }
}

fn part(s: u32) -> Arc<Part> {
    let hit = |n: u32| Hit {
        doc: format!("doc-{s}-{n}").into(),
        score: u64::from(s * 7919 % 1000 + 1000 - n * 10),
        text: "a line of a ledger".into(),
    };
    Arc::new(Part {
        hits: (0..PAGE).map(hit).collect(),
        matched: u64::from(PAGE),
    })
}

/// An engine, its lookups in flight and its open attempts.
struct Load {
    engine: Engine,
    now: Instant,
    out: Vec<Action>,
    open: VecDeque<Dispatch>,
    parts: Vec<Arc<Part>>,
    begun: u64,
    answered: u64,
    events: u64,
    spent: Duration,
}

impl Load {
    fn new(share: u32) -> Self {
        let engine = Engine::builder()
            .vm(name("vm-1"))
            .incarnation(Incarnation(1))
            .data_centre(name("near"))
            .seed(1)
            .build()
            .expect("valid options");
        let mut load = Self {
            engine,
            now: Instant::now(),
            out: Vec::new(),
            open: VecDeque::new(),
            parts: (0..SHARDS).map(part).collect(),
            begun: 0,
            answered: 0,
            events: 0,
            spent: Duration::ZERO,
        };
        load.on(Event::Config(Arc::new(config())));
        load.on(Event::Group(Arc::new(group())));
        let shares = (0..SHARDS)
            .flat_map(|s| (0..REPLICAS).map(move |r| (server(s, r), Connections(share))))
            .collect();
        load.on(Event::Shares(shares));
        load
    }

    /// Passes an event to the engine and measures the engine's time only.
    fn on(&mut self, event: Event) {
        let begun = Instant::now();
        self.engine.on(self.now, event, &mut self.out);
        self.spent += begun.elapsed();
        self.events += 1;
        for action in self.out.drain(..) {
            match action {
                Action::Dispatch(d) => self.open.push_back(d),
                Action::Answer(_, Outcome::Answered(_)) => self.answered += 1,
                Action::Answer(_, other) => panic!("not answered: {other:?}"),
                _ => {}
            }
        }
    }

    fn arrive(&mut self) {
        self.begun += 1;
        let req = LookupRequest {
            front: name("desk"),
            lookup: name("page"),
            query: format!("query {}", self.begun).into(),
            key: None,
            idempotency_key: None,
            deadline: None,
            floor: None,
        };
        let seq = LookupSeq(self.begun);
        self.on(Event::Arrive(Arrival { seq, req }));
    }

    fn serve_one(&mut self) {
        let Some(d) = self.open.pop_front() else {
            return;
        };
        self.on(Event::Sent(d.attempt.clone()));
        self.now += Duration::from_nanos(200);
        let part = Arc::clone(&self.parts[d.attempt.shard.0 as usize]);
        let reply = PartReply::Whole {
            snapshot: d.snapshot,
            part,
            load: 1,
            draining: false,
        };
        self.on(Event::Reply(d.attempt, reply));
    }
}

/// Returns the cost in nanoseconds of reading the clock twice, which the time of every event
/// includes.
fn clock_cost() -> f64 {
    let n = 1_000_000_u32;
    let begun = Instant::now();
    let mut sum = Duration::ZERO;
    for _ in 0..n {
        sum += Instant::now().elapsed();
    }
    let all = begun.elapsed();
    assert!(sum < all);
    all.as_nanos() as f64 / f64::from(n)
}

fn run(in_flight: u64, share: u32) {
    let mut load = Load::new(share);
    for _ in 0..in_flight {
        load.arrive();
    }
    load.spent = Duration::ZERO;
    load.events = 0;
    let before = load.answered;
    while load.answered - before < LOOKUPS {
        load.serve_one();
        while load.begun - load.answered < in_flight {
            load.arrive();
        }
    }
    let parts = (load.answered - before) as f64 * f64::from(SHARDS);
    let clock = clock_cost() * load.events as f64;
    let own = load.spent.as_nanos() as f64 - clock;
    println!(
        "in_flight={in_flight} share={share} parts={parts} events={} ns_per_part={:.0} \
         us_per_lookup={:.1}",
        load.events,
        own / parts,
        own / 1e3 / (parts / f64::from(SHARDS)),
    );
}

fn main() {
    run(4, 4);
    run(100, 100);
    run(2_000, 2_000);
    run(2_000, 2);
}
