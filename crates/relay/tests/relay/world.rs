//! A relay that a test drives event by event, with a clock that the test advances.

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
use gs_relay::CrashReport;
use gs_relay::Dispatch;
use gs_relay::Event;
use gs_relay::Load;
use gs_relay::OpaqueRequest;
use gs_relay::PeerVm;
use gs_relay::Relay;
use gs_relay::RelayOptions;
use gs_relay::RepeatPolicy;
use gs_relay::RequestReport;
use gs_relay::Route;
use gs_relay::RouteTable;
use gs_relay::Scatter;
use gs_relay::ServerAnswer;
use gs_relay::ServerEntry;
use gs_relay::ServiceDecl;
use gs_relay::Target;
use gs_relay::WeightedService;
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
    /// Attempts dispatched and not yet ended by the test, oldest first.
    pub open: VecDeque<Dispatch>,
    /// Attempts that the relay cancelled.
    pub cancelled: Vec<AttemptKey>,
    /// Servers and peers of the connect actions, in order.
    pub connects: Vec<ServerName>,
    /// Servers of the check actions, in order.
    pub checked: Vec<ServerName>,
    /// Connections to keep open to each server or peer, as last requested.
    pub connections_min: HashMap<ServerName, u32>,
    /// Requests whose quarantine was announced to other VMs.
    pub quarantined: Vec<Fingerprint>,
    /// What was sent to other VMs, in order.
    pub news: Vec<Action>,
    /// Requests whose release was announced to other VMs.
    pub released: Vec<Fingerprint>,
    /// Requests whose verdict was removed from the directory.
    pub unlisted: Vec<Fingerprint>,
    /// Reports for the VMs that collect evidence.
    pub crash_reports: Vec<CrashReport>,
    /// Reports on the requests that have ended.
    pub reports: Vec<(LookupSeq, RequestReport)>,
    wake_at: Option<Instant>,
    next_seq: u64,
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns the default options of a VM in [`HERE`].
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

/// Returns a route `/page/` to these shards.
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
        repeat: RepeatPolicy::Safe,
        servers_max: 2,
        timeout: ms(2500),
        objective: ms(150),
        priority: 1,
    }
}

/// Returns a route `/one/` to one service.
pub fn one_route(repeat: RepeatPolicy) -> Route {
    let service = WeightedService {
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

/// Returns a version with these routes; each server accepts 60 connections.
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

/// Returns a VM with a link of 100 Mbit/s.
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

/// Returns the register entry of a ready server with two slots.
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

/// Returns a successful answer with a stamp and a body of one record that consists of `key`.
pub fn success(key: u8) -> AttemptEnd {
    answered(StatusCode::OK, key)
}

/// Returns an answer with this status, a stamp and a body of one record that consists of `key`.
pub fn answered(status: StatusCode, key: u8) -> AttemptEnd {
    let answer = ServerAnswer {
        status,
        stamp: Some(Bytes::from(format!("stamp-{key}"))),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![key; 16]),
    };
    AttemptEnd::Answered(Box::new(answer), None)
}

/// Returns a refusal for load by a server with full slots and queue.
pub fn shed() -> AttemptEnd {
    AttemptEnd::Shed(Some(Load {
        running: 2,
        waiting: 12,
        slots: 2,
    }))
}

/// Returns a caller's request for a path.
pub fn request(path: &str, seq: LookupSeq, caller_timeout: Duration) -> CallerRequest {
    CallerRequest {
        host: "front.example".into(),
        path: path.into(),
        id: format!("id-{seq}").into(),
        caller_timeout: Some(caller_timeout),
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

    /// Creates a world whose VM has been running for longer than a window of the budget.
    pub fn with_options(table: Arc<RouteTable>, options: RelayOptions) -> Self {
        let window = options.extra_window;
        let mut w = Self::just_started(table, options);
        w.advance(window);
        w.on(Event::Vms(vec![vm("vm-1", HERE, "hobart", 1.0)]));
        w.advance(ms(300));
        w
    }

    /// Creates a world whose VM has just started and knows the list of VMs.
    pub fn just_started(table: Arc<RouteTable>, options: RelayOptions) -> Self {
        let mut w = Self::without_vm_list(table, options);
        w.on(Event::Vms(vec![vm("vm-1", HERE, "hobart", 1.0)]));
        w.advance(ms(300));
        w
    }

    /// Creates a world whose VM has just started and knows no other VMs.
    pub fn without_vm_list(table: Arc<RouteTable>, options: RelayOptions) -> Self {
        let mut w = Self {
            relay: Relay::new(options, 7),
            now: Instant::now(),
            open: VecDeque::new(),
            cancelled: Vec::new(),
            connects: Vec::new(),
            checked: Vec::new(),
            connections_min: HashMap::new(),
            quarantined: Vec::new(),
            news: Vec::new(),
            released: Vec::new(),
            unlisted: Vec::new(),
            crash_reports: Vec::new(),
            reports: Vec::new(),
            wake_at: None,
            next_seq: 1,
        };
        w.on(Event::Table(table));
        w.advance(ms(300));
        w
    }

    /// Adds two servers of each service, `-near` in [`HERE`] and `-far` in [`THERE`].
    pub fn with_server_pairs(mut self, services: &[&str]) -> Self {
        for s in services {
            self.on(Event::Server(Arc::new(entry(
                &format!("{s}-near"),
                s,
                HERE,
            ))));
            self.on(Event::Server(Arc::new(entry(
                &format!("{s}-far"),
                s,
                THERE,
            ))));
        }
        self
    }

    /// Creates a world with one shard that has recorded execution times of 10 ms and a round trip
    /// of 10 ms to the far server.
    pub fn with_learned_latency() -> Self {
        let shards = ["s0"];
        let mut w = Self::new(table(1, vec![page_route(&shards, 1.0)])).with_server_pairs(&shards);
        w.on(Event::Opened("s0-near".parse().expect("a name"), ms(0)));
        w.on(Event::Opened("s0-far".parse().expect("a name"), ms(10)));
        for _ in 0..200 {
            w.arrive("/page/x", ms(2500));
            w.advance(ms(10));
            if w.busy_servers() == ["s0-near"] {
                w.end_attempt("s0-near", success(b'a'));
            }
            w.advance(ms(10));
            if w.busy_servers() == ["s0-far"] {
                w.end_attempt("s0-far", success(b'a'));
            }
        }
        w
    }

    /// Passes an event to the relay and records the resulting actions.
    pub fn on(&mut self, event: Event) {
        self.on_all([event]);
    }

    /// Passes events that arrived at the same time to the relay and records the resulting actions.
    pub fn on_all(&mut self, events: impl IntoIterator<Item = Event>) {
        let mut out = Vec::new();
        for event in events.into_iter().chain([Event::CaughtUp]) {
            self.relay.on(self.now, event, &mut out);
        }
        for action in out {
            if matches!(action, Action::Publish { .. } | Action::ReportCrash { .. }) {
                self.news.push(action.clone());
            }
            match action {
                Action::Send(d) => self.open.push_back(d),
                Action::Cancel(id) => self.cancelled.push(id),
                Action::Answer(seq, report) => self.reports.push((seq, *report)),
                Action::Publish { verdict, .. } if verdict.is_release() => {
                    self.released.push(verdict.request);
                }
                Action::Publish { verdict, .. } => self.quarantined.push(verdict.request),
                Action::ReportCrash { report, .. } => self.crash_reports.push(report),
                Action::Unlist(request) => self.unlisted.push(request),
                Action::Superseded(_) => {}
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
                    self.connections_min
                        .insert(server.name.clone(), connections_min.0);
                }
                Action::CheckServer(server) => self.checked.push(server.name.clone()),
                Action::Disconnect(name) => {
                    self.connections_min.remove(&name);
                }
            }
        }
    }

    /// Advances the clock; timers that expire on the way are processed at their time.
    pub fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        while let Some(at) = self.wake_at.filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.wake_at = None;
            self.on(Event::Tick);
        }
        self.now = until;
    }

    /// Passes a caller's request for a path to the relay.
    pub fn arrive(&mut self, path: &str, caller_timeout: Duration) -> LookupSeq {
        let seq = LookupSeq(self.next_seq);
        self.next_seq += 1;
        let req = request(path, seq, caller_timeout);
        self.on(Event::Arrive(Arrival {
            seq,
            req,
            delegated: None,
        }));
        seq
    }

    /// Returns the fingerprint of a request for a path.
    pub fn fingerprint(&self, path: &str) -> Fingerprint {
        request(path, LookupSeq(0), ms(1000)).fingerprint()
    }

    /// Ends the oldest open attempt at this server.
    pub fn end_attempt(&mut self, server: &str, end: AttemptEnd) {
        let at = self
            .open
            .iter()
            .position(|d| d.server.name.as_str() == server);
        let d = self
            .open
            .remove(at.expect("an attempt at the server"))
            .expect("an attempt at this position");
        self.on(Event::Ended(d.attempt, end));
    }

    /// Crashes this server while it has the oldest open attempt there: its connections break and its address refuses
    /// new ones.
    pub fn crash_under_attempt(&mut self, server: &str) {
        self.end_attempt(server, AttemptEnd::Broken);
        self.on(Event::Refused(server.parse().expect("a name")));
    }

    /// Returns the servers of the open attempts, in the order of dispatch.
    pub fn busy_servers(&self) -> Vec<&str> {
        self.open.iter().map(|d| d.server.name.as_str()).collect()
    }

    /// Returns the report on a request; `None` if it has not ended.
    pub fn report(&self, seq: LookupSeq) -> Option<&RequestReport> {
        self.reports.iter().find(|(s, _)| *s == seq).map(|(_, r)| r)
    }
}
