//! A relay with servers that answer as a test says, and a clock that the test moves.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gs_relay::Action;
use gs_relay::Arrival;
use gs_relay::AttemptEnd;
use gs_relay::AttemptKey;
use gs_relay::Availability;
use gs_relay::CallerLimits;
use gs_relay::CallerRequest;
use gs_relay::Capacity;
use gs_relay::Dispatch;
use gs_relay::Event;
use gs_relay::Load;
use gs_relay::OpaqueRequest;
use gs_relay::PeerVm;
use gs_relay::Relay;
use gs_relay::RelayOptions;
use gs_relay::Repeat;
use gs_relay::RequestReport;
use gs_relay::Route;
use gs_relay::RouteTable;
use gs_relay::Scatter;
use gs_relay::ServerAnswer;
use gs_relay::ServerEntry;
use gs_relay::ServiceDecl;
use gs_relay::Target;
use gs_relay::Weighted;
use gs_types::prelude::*;
use http::HeaderMap;
use http::Method;
use http::StatusCode;

/// The data centre of the relay's VM.
pub const HERE: &str = "hobart-a";

/// Another data centre.
pub const THERE: &str = "launceston-a";

/// A relay under test.
pub struct World {
    pub relay: Relay,
    pub now: Instant,
    /// Attempts handed over, oldest first; a test takes out those it answers.
    pub sent: VecDeque<Dispatch>,
    /// Attempts cancelled.
    pub cancelled: Vec<AttemptKey>,
    /// Servers and peers that connections were asked for to.
    pub connects: Vec<ServerName>,
    /// Connections to be held open to each, as last asked for.
    pub warm: HashMap<ServerName, u32>,
    /// Requests that other VMs were told of.
    pub quarantined: Vec<Fingerprint>,
    /// Requests that have ended.
    pub ended: Vec<(LookupSeq, RequestReport)>,
    wake_at: Option<Instant>,
    next: u64,
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The default options of a VM in [`HERE`].
pub fn options() -> RelayOptions {
    let regions = [(HERE, "hobart"), (THERE, "launceston")];
    let regions = regions.map(|(d, r)| (d.parse().expect("a name"), r.parse().expect("a name")));
    RelayOptions::builder()
        .vm("vm-1".parse().expect("a name"))
        .region("hobart".parse().expect("a name"))
        .regions(regions.into_iter().collect())
        .data_centre(HERE.parse().expect("a name"))
        .answer_margin(ms(14))
        .build()
}

/// A route `/page/` to these shards.
pub fn page_route(shards: &[&str], coverage_min: f64) -> Route {
    Route {
        name: "page".parse().expect("a name"),
        host: "front.example".into(),
        prefix: "/page/".into(),
        target: Target::Scatter(Scatter {
            shards: shards.iter().map(|s| s.parse().expect("a name")).collect(),
            page: 3,
            coverage_min,
        }),
        repeat: Repeat::Safe,
        servers_max: 2,
        timeout: ms(2500),
        objective: ms(150),
        priority: 1,
    }
}

/// A route `/one/` to one service.
pub fn one_route(repeat: Repeat) -> Route {
    let service = Weighted {
        service: "desk".parse().expect("a name"),
        weight: 1.0,
    };
    Route {
        name: "one".parse().expect("a name"),
        host: "front.example".into(),
        prefix: "/one/".into(),
        target: Target::One([service].into_iter().collect()),
        repeat,
        servers_max: 2,
        timeout: ms(8000),
        objective: ms(500),
        priority: 2,
    }
}

/// A version with these routes; each server accepts 60 connections.
pub fn table(version: u64, routes: Vec<Route>) -> Arc<RouteTable> {
    let services = routes.iter().flat_map(Route::services);
    let services = services.map(|name| ServiceDecl {
        name: name.clone(),
        connections: Connections(60),
    });
    let services = services.collect();
    let limits = CallerLimits {
        headers: 16 * 1024,
        body: 256 * 1024,
        header_timeout: ms(3000),
        idle_timeout: ms(15_000),
    };
    Arc::new(RouteTable::new(
        ConfVersion(version),
        routes,
        services,
        limits,
    ))
}

/// A VM with a link of 100 Mbit/s.
pub fn vm(name: &str, data_centre: &str, region: &str, cores: f64) -> PeerVm {
    PeerVm {
        name: name.parse().expect("a name"),
        data_centre: data_centre.parse().expect("a name"),
        region: region.parse().expect("a name"),
        addr: "127.0.0.1:9100".parse().expect("an address"),
        capacity: Capacity {
            cores,
            megabits: 100.0,
        },
    }
}

/// A ready server with two slots.
pub fn entry(name: &str, service: &str, data_centre: &str) -> ServerEntry {
    ServerEntry {
        name: name.parse().expect("a name"),
        service: service.parse().expect("a name"),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        data_centre: data_centre.parse().expect("a name"),
        slots: Slots(2),
        availability: Availability::Ready,
        warming: Duration::ZERO,
        born: Some(Incarnation(1)),
    }
}

/// A success with a stamp, and a body of one record that begins with `key`.
pub fn good(key: u8) -> AttemptEnd {
    answered(StatusCode::OK, key)
}

/// An answer with a stamp and this status.
pub fn answered(status: StatusCode, key: u8) -> AttemptEnd {
    let answer = ServerAnswer {
        status,
        stamp: Some(Bytes::from(format!("stamp-{key}"))),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![key; 16]),
    };
    AttemptEnd::Answered(Box::new(answer), None)
}

/// A refusal for load.
pub fn shed() -> AttemptEnd {
    AttemptEnd::Shed(Some(Load {
        running: 2,
        waiting: 12,
        slots: 2,
    }))
}

/// A caller's request for a path.
pub fn request(path: &str, seq: LookupSeq, patience: Duration) -> CallerRequest {
    CallerRequest {
        host: "front.example".into(),
        path: path.into(),
        id: format!("id-{seq}").into(),
        caller_timeout: Some(patience),
        content: Arc::new(OpaqueRequest {
            method: Method::GET,
            target: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }),
    }
}

impl World {
    pub fn new(table: Arc<RouteTable>) -> Self {
        Self::with_options(table, options())
    }

    pub fn with_options(table: Arc<RouteTable>, options: RelayOptions) -> Self {
        let mut w = Self {
            relay: Relay::new(options, 7),
            now: Instant::now(),
            sent: VecDeque::new(),
            cancelled: Vec::new(),
            connects: Vec::new(),
            warm: HashMap::new(),
            quarantined: Vec::new(),
            ended: Vec::new(),
            wake_at: None,
            next: 1,
        };
        w.tell(Event::Vms(vec![vm("vm-1", HERE, "hobart", 1.0)]));
        w.tell(Event::Table(table));
        w.pass(ms(300));
        w
    }

    /// Two servers of each service, the first in [`HERE`] and the second in [`THERE`].
    pub fn with_pairs(mut self, services: &[&str]) -> Self {
        for s in services {
            self.tell(Event::Server(Arc::new(entry(
                &format!("{s}-near"),
                s,
                HERE,
            ))));
            self.tell(Event::Server(Arc::new(entry(
                &format!("{s}-far"),
                s,
                THERE,
            ))));
        }
        self
    }

    /// A world with one shard that has learned that its servers work for 10 ms, and that the far one is
    /// 10 ms away.
    pub fn learned() -> Self {
        let shards = ["s0"];
        let mut w = Self::new(table(1, vec![page_route(&shards, 1.0)])).with_pairs(&shards);
        w.tell(Event::Opened("s0-near".parse().expect("a name"), ms(0)));
        w.tell(Event::Opened("s0-far".parse().expect("a name"), ms(10)));
        for _ in 0..200 {
            w.ask("/page/x", ms(2500));
            w.pass(ms(10));
            if w.busy() == ["s0-near"] {
                w.end("s0-near", good(b'a'));
            }
            w.pass(ms(10));
            if w.busy() == ["s0-far"] {
                w.end("s0-far", good(b'a'));
            }
        }
        w
    }

    pub fn tell(&mut self, ev: Event) {
        self.tell_together([ev]);
    }

    /// Tells events that came at the same time.
    pub fn tell_together(&mut self, evs: impl IntoIterator<Item = Event>) {
        let mut out = Vec::new();
        for ev in evs.into_iter().chain([Event::CaughtUp]) {
            self.relay.on(self.now, ev, &mut out);
        }
        for action in out {
            match action {
                Action::Send(d) => self.sent.push_back(d),
                Action::Cancel(id) => self.cancelled.push(id),
                Action::Answer(seq, ending) => self.ended.push((seq, *ending)),
                Action::Quarantine(request) => self.quarantined.push(request),
                Action::Wake(after) => {
                    let at = self.now + after;
                    self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at)));
                }
                Action::Connect {
                    server,
                    connections_min,
                    ..
                } => {
                    self.connects.push(server.name.clone());
                    self.warm.insert(server.name.clone(), connections_min.0);
                }
                Action::Disconnect(name) => {
                    self.warm.remove(&name);
                }
            }
        }
    }

    /// Lets time pass; timers fall due on their way.
    pub fn pass(&mut self, d: Duration) {
        let until = self.now + d;
        while let Some(at) = self.wake_at.filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.wake_at = None;
            self.tell(Event::Tick);
        }
        self.now = until;
    }

    /// A caller asks for a path and waits for `patience`.
    pub fn ask(&mut self, path: &str, patience: Duration) -> LookupSeq {
        let seq = LookupSeq(self.next);
        self.next += 1;
        let req = request(path, seq, patience);
        self.tell(Event::Arrive(Arrival {
            seq,
            req,
            delegated: None,
        }));
        seq
    }

    /// The fingerprint of a request for a path.
    pub fn fingerprint(&self, path: &str) -> Fingerprint {
        request(path, LookupSeq(0), ms(1000)).fingerprint()
    }

    /// Ends the oldest attempt that is under way at this server.
    pub fn end(&mut self, server: &str, end: AttemptEnd) {
        let at = self
            .sent
            .iter()
            .position(|d| d.server.name.as_str() == server);
        let d = self
            .sent
            .remove(at.expect("an attempt at the server"))
            .expect("it is there");
        self.tell(Event::Ended(d.attempt, end));
    }

    /// The servers of the attempts under way, in the order of their dispatch.
    pub fn busy(&self) -> Vec<&str> {
        self.sent.iter().map(|d| d.server.name.as_str()).collect()
    }

    /// The end of a request.
    pub fn ending(&self, seq: LookupSeq) -> Option<&RequestReport> {
        self.ended.iter().find(|(s, _)| *s == seq).map(|(_, e)| e)
    }
}
