//! Randomized tests that the state of the relay stays consistent, whatever happens in whatever order.

use std::sync::Arc;
use std::time::Duration;

use gs_relay::Arrival;
use gs_relay::AttemptEnd;
use gs_relay::Availability;
use gs_relay::DelegatedParts;
use gs_relay::Delegation;
use gs_relay::Event;
use gs_relay::RepeatPolicy;
use gs_relay::Route;
use gs_relay::SeenServers;
use gs_types::prelude::*;
use http::StatusCode;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::delegation::peer_page_with;
use crate::delegation::possible_servers;
use crate::world::HERE;
use crate::world::THERE;
use crate::world::World;
use crate::world::answered;
use crate::world::entry;
use crate::world::ms;
use crate::world::one_route;
use crate::world::options;
use crate::world::page_route;
use crate::world::request;
use crate::world::shed;
use crate::world::success;
use crate::world::table;
use crate::world::vm;

const SHARDS: [&str; 4] = ["s0", "s1", "s2", "s3"];

const SERVICES: [&str; 6] = ["s0", "s1", "s2", "s3", "desk", "till"];

const PEERS: [&str; 2] = ["vm-2", "vm-3"];

/// The text in the path of the requests that crash servers.
const CRASHES: &str = "crashes";

/// The number of events of one run.
const EVENTS: usize = 1500;

/// The number of runs, unless the environment names another.
const SEEDS: u64 = 24;

/// The longest timeout of a route.
const TIMEOUT_MAX: Duration = Duration::from_secs(8);

/// How long the register has been answering without an outage when it removes an entry.
const STABLE_FOR: Duration = Duration::from_secs(60);

/// How the entries of servers disappear.
#[derive(Clone, Copy, Debug)]
enum Removals {
    /// They are missing, and may return.
    Missing,
    /// A stable register removes them.
    Final,
}

/// A relay that receives random events.
struct RandomRun {
    w: World,
    rng: ChaCha8Rng,
    version: u64,
    removals: Removals,
    /// The next number of a delegated request; above those that [`World`] assigns.
    next_delegated: u64,
}

impl RandomRun {
    fn new(seed: u64, removals: Removals) -> Self {
        let mut run = Self {
            w: World::with_options(table(1, routes(TIMEOUT_MAX, 2)), options()),
            rng: ChaCha8Rng::seed_from_u64(seed),
            version: 1,
            removals,
            next_delegated: 1 << 32,
        };
        for service in SERVICES {
            run.w.on(Event::Server(Arc::new(server(service, THERE))));
        }
        // Parts of the other shards are delegated.
        for service in ["s0", "desk", "till"] {
            run.w.on(Event::Server(Arc::new(server(service, HERE))));
        }
        run.connect_peers();
        run
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..35 => self.arrive(),
            35..40 => self.arrive_delegated(),
            40..75 => self.end_attempt(),
            75..85 => self.advance(),
            85..87 => self.pause(),
            87..90 => self.disconnect_caller(),
            90..95 => self.change_server(),
            95..97 => self.change_routes(),
            97..98 if self.rng.random() => self.change_vms(),
            97..98 => self.connect_peers(),
            98..99 => {
                let is_reachable = self.rng.random();
                self.w.on(Event::RegisterReachable(is_reachable));
            }
            _ => self.change_connection(),
        }
    }

    fn connect_peers(&mut self) {
        let peers = PEERS.map(|peer| vm(peer, THERE, "launceston", 1.0));
        let vms = [vm("vm-1", HERE, "hobart", 1.0)].into_iter().chain(peers);
        self.w.on(Event::Vms(vms.collect()));
        for peer in PEERS {
            let peer = peer.parse().expect("a name");
            self.w.on(Event::Opened(peer, ms(10)));
        }
        self.w.advance(ms(300));
    }

    fn caller_timeout(&mut self) -> Duration {
        let timeouts = [1, 40, 200, 1000, 2500, 8000, 20_000];
        ms(*timeouts.choose(&mut self.rng).expect("a timeout"))
    }

    fn arrive(&mut self) {
        let crashing = format!("/page/{CRASHES}{}", self.rng.random_range(0..1000));
        let paths = ["/page/x", &crashing, "/one/x", "/once/x", "/none/x"];
        let path = *paths.choose(&mut self.rng).expect("a path");
        let timeout = self.caller_timeout();
        self.w.arrive(path, timeout);
    }

    /// Passes parts that a peer delegates.
    fn arrive_delegated(&mut self) {
        let route = page(2500);
        let shards: Vec<u16> = (0..4).filter(|_| self.rng.random()).collect();
        let seq = LookupSeq(self.next_delegated);
        self.next_delegated += 1;
        self.w.on(Event::Arrive(Arrival {
            seq,
            req: request("/page/x", seq, ms(2500)),
            delegated: Some(DelegatedParts {
                route: route.fingerprint(),
                on_time: ms(self.rng.random_range(0..150)),
                latest: ms(self.rng.random_range(0..500)),
                parts_wanted: self.rng.random_range(0..4),
                shards,
                hops: 1,
            }),
        }));
    }

    /// Ends a random attempt, often an old one.
    fn end_attempt(&mut self) {
        if self.w.open.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.w.open.len()) / self.rng.random_range(1..4);
        let Some(d) = self.w.open.remove(at) else {
            return;
        };
        let end = match &d.delegation {
            Some(delegation) => self.bundle_end(delegation),
            None if d.content.target.contains(CRASHES) => AttemptEnd::Broken,
            None => self.attempt_end(),
        };
        self.w.on(Event::Ended(d.attempt, end));
    }

    fn attempt_end(&mut self) -> AttemptEnd {
        match self.rng.random_range(0..12) {
            0..5 => success(b'a'),
            5 => answered(StatusCode::INTERNAL_SERVER_ERROR, b'a'),
            6 => shed(),
            7 => AttemptEnd::NotSent,
            8 => AttemptEnd::WrongServer,
            9 => AttemptEnd::Broken,
            10 => AttemptEnd::Garbled,
            _ => AttemptEnd::Late(ms(500)),
        }
    }

    fn bundle_end(&mut self, delegation: &Delegation) -> AttemptEnd {
        match self.rng.random_range(0..6) {
            0 => AttemptEnd::NotSent,
            1 => AttemptEnd::Overloaded(ms(100)),
            2 => AttemptEnd::Broken,
            _ => {
                let shards = delegation.shards.iter().copied();
                let (missing, stamped): (Vec<u16>, Vec<u16>) =
                    shards.partition(|_| self.rng.random_bool(0.3));
                let stamps = vec!["stamp"; stamped.len()];
                let missing = missing.into_iter();
                let far = |n: u16| possible_servers(&[format!("s{n}-{THERE}")]);
                peer_page_with(&stamps, missing.map(|n| (n, far(n))))
            }
        }
    }

    fn advance(&mut self) {
        let by = *[1, 10, 100, 500, 1500]
            .choose(&mut self.rng)
            .expect("a time");
        self.w.advance(ms(by));
    }

    /// Advances the clock without processing the timers that expire meanwhile.
    fn pause(&mut self) {
        self.w.now += ms(self.rng.random_range(50..3000));
        if self.rng.random() {
            self.end_attempt();
        }
        self.w.on(Event::Tick);
    }

    fn disconnect_caller(&mut self) {
        let Some(d) = self
            .w
            .open
            .iter()
            .collect::<Vec<_>>()
            .choose(&mut self.rng)
            .copied()
        else {
            return;
        };
        let seq = d.attempt.lookup;
        self.w.on(Event::CallerDisconnected(seq));
    }

    fn change_server(&mut self) {
        let service = *SERVICES.choose(&mut self.rng).expect("a service");
        let zone = *[HERE, THERE].choose(&mut self.rng).expect("a zone");
        let mut changed = server(service, zone);
        match self.rng.random_range(0..4) {
            0 => {
                self.w.on(match self.removals {
                    Removals::Missing => Event::EntryMissing(changed.name),
                    Removals::Final => Event::EntryRemoved(changed.name, STABLE_FOR),
                });
                return;
            }
            1 => changed.availability = Availability::Draining,
            2 => changed.born = Some(Incarnation(self.rng.random_range(1..5))),
            _ => {}
        }
        self.w.on(Event::Server(Arc::new(changed)));
    }

    fn change_routes(&mut self) {
        self.version += 1;
        let timeouts = [ms(300), ms(1000), TIMEOUT_MAX];
        let timeout = *timeouts.choose(&mut self.rng).expect("a timeout");
        let servers_max = self.rng.random_range(1..4);
        let routes = routes(timeout, servers_max);
        self.w.on(Event::Table(table(self.version, routes)));
    }

    fn change_vms(&mut self) {
        let mut vms = vec![vm("vm-1", HERE, "hobart", 1.0)];
        for peer in PEERS {
            if self.rng.random() {
                vms.push(vm(peer, THERE, "launceston", 1.0));
            }
        }
        self.w.on(Event::Vms(vms));
    }

    fn change_connection(&mut self) {
        let service = *SERVICES.choose(&mut self.rng).expect("a service");
        let names = [
            format!("{service}-{HERE}"),
            PEERS[0].to_owned(),
            PEERS[1].to_owned(),
        ];
        let name = names.choose(&mut self.rng).expect("a name");
        let name: ServerName = name.parse().expect("a name");
        match self.rng.random_range(0..3) {
            0 => self.w.on(Event::Opened(name, ms(10))),
            1 => self.w.on(Event::Closed(name)),
            _ => self.w.on(Event::Refused(name)),
        }
    }
}

fn server(service: &str, zone: &str) -> gs_relay::ServerEntry {
    entry(&format!("{service}-{zone}"), service, zone)
}

fn page(timeout_ms: u64) -> Route {
    Route {
        timeout: ms(timeout_ms),
        ..page_route(&SHARDS, 0.5)
    }
}

fn routes(timeout: Duration, servers_max: u16) -> Vec<Route> {
    let one = |name: &str, service: &str, repeat| {
        let mut route = one_route(repeat);
        route.name = name.parse().expect("a name");
        route.prefix = format!("/{name}/").into();
        route.timeout = timeout;
        route.servers_max = servers_max;
        let gs_relay::Target::One(weighted) = &mut route.target else {
            unreachable!("it is a route to one service");
        };
        weighted[0].service = service.parse().expect("a name");
        route
    };
    vec![
        page(2500),
        one("one", "desk", RepeatPolicy::Safe),
        one("once", "till", RepeatPolicy::Once),
    ]
}

/// Returns the number of seeds to run.
fn seeds() -> u64 {
    let cases = std::env::var("GS_FUZZ_CASES").ok();
    cases.and_then(|n| n.parse().ok()).unwrap_or(SEEDS)
}

/// Prevents requests that no timer, queue or attempt would ever end, and runs beyond what a route allows.
#[rstest]
fn fuzz_the_state_is_consistent_after_each_event(
    #[values(Removals::Missing, Removals::Final)] removals: Removals,
) {
    for seed in 0..seeds() {
        check_each_event(seed, removals);
    }
}

/// Prevents a server that a peer told of, and that this VM used before it was removed, from being counted as two.
#[rstest]
#[case(4423, Removals::Missing)]
#[case(113, Removals::Final)]
fn the_check_counts_a_server_that_is_gone_once(#[case] seed: u64, #[case] removals: Removals) {
    check_each_event(seed, removals);
}

/// Passes the events of a seed, and checks the state after each.
fn check_each_event(seed: u64, removals: Removals) {
    let mut run = RandomRun::new(seed, removals);
    let mut seen = SeenServers::default();
    for n in 0..EVENTS {
        run.step();
        let found = run.w.relay.inconsistencies(run.w.now, &mut seen);
        assert!(found.is_empty(), "seed {seed}, after event {n}: {found:?}");
    }
    assert!(run.w.reports.len() > EVENTS / 10, "seed {seed}");
}

/// Prevents a request from outliving its timeout when nothing but time passes.
#[rstest]
fn fuzz_every_request_ends_at_its_timeout(
    #[values(Removals::Missing, Removals::Final)] removals: Removals,
) {
    for seed in 0..seeds() {
        let mut run = RandomRun::new(seed, removals);
        for _ in 0..EVENTS {
            run.step();
        }
        run.w.advance(TIMEOUT_MAX);
        assert_eq!(run.w.relay.in_flight(), 0, "seed {seed}");
    }
}
