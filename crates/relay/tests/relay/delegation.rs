//! Tests of parts that one VM delegates to another.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gs_relay::Arrival;
use gs_relay::AttemptEnd;
use gs_relay::DelegatedParts;
use gs_relay::Event;
use gs_relay::MissingPart;
use gs_relay::Outcome;
use gs_relay::Page;
use gs_relay::PossibleServers;
use gs_relay::RefuseReason;
use gs_relay::Route;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::HERE;
use crate::world::THERE;
use crate::world::World;
use crate::world::entry;
use crate::world::ms;
use crate::world::page_route;
use crate::world::request;
use crate::world::shed;
use crate::world::success;
use crate::world::table;
use crate::world::vm;

pub const SHARDS: [&str; 3] = ["s0", "s1", "s2"];

pub fn route() -> Route {
    page_route(&SHARDS, 0.6)
}

/// Returns the event of a connection that took this time to open.
pub fn opened(name: &str, took_ms: u64) -> Event {
    Event::Opened(name.parse().expect("a name"), ms(took_ms))
}

/// Creates a VM whose data centre has a replica of shard 0 only; all shards have one in the data
/// centre of its two peers.
pub fn world() -> World {
    let mut w = World::new(table(1, vec![route()]));
    w.on(Event::Server(Arc::new(entry("s0-near", "s0", HERE))));
    for s in SHARDS {
        w.on(Event::Server(Arc::new(entry(
            &format!("{s}-far"),
            s,
            THERE,
        ))));
    }
    w.on(opened("s0-near", 0));
    w.on(Event::Vms(vec![
        vm("vm-1", HERE, "hobart", 1.0),
        vm("vm-2", THERE, "launceston", 1.0),
        vm("vm-3", THERE, "launceston", 1.0),
    ]));
    w.advance(ms(300));
    w
}

/// Returns a peer's page, which reports the far replica of each missing shard as a possible server.
fn peer_page(stamps: &[&'static str], missing: &[u16]) -> AttemptEnd {
    let missing = missing.iter().map(|n| (*n, vec![format!("s{n}-far")]));
    peer_page_with(
        stamps,
        missing.map(|(n, names)| (n, possible_servers(&names))),
    )
}

/// Returns the possible servers with these names.
pub fn possible_servers<S: AsRef<str>>(names: &[S]) -> PossibleServers {
    let names = names.iter().map(|n| n.as_ref().parse().expect("a name"));
    PossibleServers::Servers(names.collect())
}

/// Returns a peer's page with these stamps, missing shards and their possible servers.
pub fn peer_page_with(
    stamps: &[&'static str],
    missing: impl Iterator<Item = (u16, PossibleServers)>,
) -> AttemptEnd {
    let stamps = stamps.iter().map(|s| Bytes::from_static(s.as_bytes()));
    let page = Page {
        stamps: stamps.collect(),
        missing: missing
            .map(|(shard, possible_servers)| MissingPart {
                shard,
                possible_servers,
            })
            .collect(),
        body: Bytes::from_static(b"bbbbbbbbbbbbbbbb"),
    };
    AttemptEnd::Paged(Box::new(page), None)
}

/// Returns a page as sent by a peer that had the request for `held`.
fn with_held_time(page: AttemptEnd, held: Duration) -> AttemptEnd {
    let AttemptEnd::Paged(page, _) = page else {
        unreachable!("it is a page");
    };
    AttemptEnd::Paged(page, Some(held))
}

/// Delegates parts of 40 requests to a peer with a round trip of 16 ms, which is longer by `jitter`
/// for every second one, and returns the time that the peer has for the next one.
fn on_time_after(jitter: Duration) -> Duration {
    let mut w = world();
    w.on(opened("vm-2", 16));
    for n in 0..40 {
        w.arrive("/page/x", ms(2500));
        w.end_attempt("s0-near", success(b'a'));
        let more = if n % 2 == 0 { jitter } else { ms(0) };
        w.advance(ms(16 + 30) + more);
        w.end_attempt("vm-2", with_held_time(peer_page(&["x", "y"], &[]), ms(30)));
    }
    w.arrive("/page/x", ms(2500));
    w.open[0].delegation.clone().expect("a bundle").on_time
}

/// The objective of a short lookup is not much longer than the round trip to another region. If a
/// peer got its time as if every round trip took as long as the longest possible one, the page
/// would miss every delegated shard.
#[test]
fn a_peer_gets_the_objective_less_margin_and_round_trip() {
    // 150 ms, less the margin of 14 ms and the round trip of 16 ms.
    let spare = ms(120) - on_time_after(ms(0));
    assert!(spare <= ms(1), "{spare:?}");
}

/// The round trip to a peer has become longer. If the least one ever seen were assumed, the peer's
/// pages would arrive after the objective.
#[test]
fn a_peer_gets_less_time_after_its_round_trip_grows() {
    // Half of the pages take 10 ms more.
    let spare = ms(120) - on_time_after(ms(10));
    assert!(spare >= ms(3) && spare <= ms(10), "{spare:?}");
}

/// Guards against a VM whose pages all peers refuse after it was paused: they have no time left for
/// them, and no page comes back that would show how long the network takes.
#[test]
fn a_pause_of_this_vm_leaves_its_peers_half_of_the_time() {
    let mut w = world();
    w.on(opened("vm-2", 16));
    w.arrive("/page/x", ms(8000));
    w.now += ms(2400);
    w.end_attempt("vm-2", with_held_time(peer_page(&["x", "y"], &[]), ms(50)));
    w.open.clear();
    w.advance(ms(5000));
    w.arrive("/page/y", ms(2500));
    let bundle = w.open.iter().find_map(|d| d.delegation.as_ref());
    let on_time = bundle.expect("a bundle").on_time;
    // Half of 150 ms less the margin of 14 ms.
    assert!(on_time >= ms(68), "{on_time:?}");
}

/// Returns the shards whose part is missing from a page.
pub fn missing_shards(p: &Page) -> Vec<u16> {
    p.missing.iter().map(|m| m.shard).collect()
}

/// Returns the page of a request that must have ended with one.
pub fn page(w: &World, seq: LookupSeq) -> &Page {
    match &w.report(seq).expect("it has ended").outcome {
        Outcome::Page(p) => p,
        other => panic!("no page: {other:?}"),
    }
}

#[test]
fn shards_without_a_local_replica_are_delegated_to_one_peer_near_them() {
    let mut w = world();
    w.on(opened("vm-2", 16));
    let seq = w.arrive("/page/x", ms(2500));
    assert_eq!(w.busy_servers(), ["vm-2", "s0-near"]);
    let delegation = w.open[0].delegation.clone().expect("a bundle");
    assert_eq!((delegation.shards, delegation.hops), (vec![1, 2], 1));
    // 150 ms, less the margin of 14 ms and 1.15 times the round trip of 16 ms.
    assert_eq!(delegation.on_time.as_micros(), 117_600);
    w.end_attempt("s0-near", success(b'a'));
    w.end_attempt("vm-2", peer_page(&["x", "y"], &[]));
    let p = page(&w, seq);
    assert_eq!((p.stamps.len(), p.missing.len()), (3, 0));
    assert_eq!(&p.body[..], [[b'b'; 16], [b'a'; 16]].concat());
}

#[test]
fn a_page_reports_the_shards_missing_from_a_peers_page() {
    let mut w = world();
    w.on(opened("vm-2", 16));
    let seq = w.arrive("/page/x", ms(2500));
    w.end_attempt("s0-near", success(b'a'));
    w.end_attempt("vm-2", peer_page(&["x"], &[2]));
    let p = page(&w, seq);
    assert_eq!((p.stamps.len(), missing_shards(p)), (2, vec![2]));
}

#[test]
fn shards_missing_from_a_peers_page_are_queried_here_if_too_few_parts_are_in() {
    let mut w = world();
    w.on(opened("vm-2", 16));
    w.arrive("/page/x", ms(2500));
    w.end_attempt("s0-near", success(b'a'));
    w.end_attempt("vm-2", peer_page(&[], &[1, 2]));
    assert_eq!(w.busy_servers(), ["s1-far", "s2-far"]);
}

/// A peer's page accounts for other shards than the delegated ones. Merged, it would count a shard
/// twice or not at all.
#[rstest]
#[case::too_few(peer_page(&["x"], &[]))]
#[case::too_many(peer_page(&["x", "y", "z"], &[]))]
#[case::another_shard(peer_page(&["x"], &[0]))]
#[case::broken(AttemptEnd::Broken)]
#[case::late(AttemptEnd::Late(ms(100)))]
fn the_shards_of_a_failed_bundle_are_queried_here(#[case] end: AttemptEnd) {
    let mut w = world();
    w.on(opened("vm-2", 16));
    w.arrive("/page/x", ms(2500));
    w.end_attempt("vm-2", end);
    assert_eq!(w.busy_servers(), ["s0-near", "s1-far", "s2-far"]);
}

#[rstest]
#[case::not_sent(AttemptEnd::NotSent)]
#[case::shed(shed())]
fn the_shards_of_a_bundle_that_was_not_executed_are_queried_here(#[case] end: AttemptEnd) {
    let mut w = world();
    w.on(opened("vm-2", 16));
    w.arrive("/page/x", ms(2500));
    w.end_attempt("vm-2", end);
    assert_eq!(w.busy_servers(), ["s0-near", "s1-far", "s2-far"]);
    assert_eq!(w.relay.counters().retries, 0);
}

#[test]
fn all_shards_are_queried_here_while_no_peer_is_connected() {
    let mut w = world();
    w.arrive("/page/x", ms(2500));
    assert_eq!(w.busy_servers(), ["s0-near", "s1-far", "s2-far"]);
}

/// A peer restarts. A VM that did not reconnect to it after the connection closed would query all
/// shards itself for ten seconds.
#[test]
fn a_closed_connection_to_a_peer_is_reopened() {
    let mut w = world();
    w.on(opened("vm-2", 16));
    w.on(opened("vm-3", 16));
    w.advance(ms(3000));
    w.connects.clear();
    w.on(Event::Closed("vm-2".parse().expect("a name")));
    w.advance(ms(1100));
    let names: Vec<&str> = w.connects.iter().map(ServerName::as_str).collect();
    assert!(names.contains(&"vm-2"), "{names:?}");
    assert!(!names.contains(&"vm-3"), "{names:?}");
}

/// A VM loses power while bundles are delegated to it, which shows only in that nothing more is
/// received from it.
#[test]
fn a_page_does_not_wait_for_a_silent_peer_and_the_next_page_avoids_it() {
    let mut w = World::new(table(1, vec![page_route(&SHARDS, 0.3)]));
    w.on(Event::Server(Arc::new(entry("s0-near", "s0", HERE))));
    for s in SHARDS {
        w.on(Event::Server(Arc::new(entry(
            &format!("{s}-far"),
            s,
            THERE,
        ))));
    }
    let vms = vec![
        vm("vm-1", HERE, "hobart", 1.0),
        vm("vm-2", THERE, "launceston", 1.0),
    ];
    w.on(Event::Vms(vms));
    w.advance(ms(300));
    w.on(opened("vm-2", 16));
    let seq = w.arrive("/page/x", ms(2500));
    w.end_attempt("s0-near", success(b'a'));
    w.advance(ms(150));
    assert_eq!(missing_shards(page(&w, seq)), [1, 2]);
    assert!(
        w.open[0].attempt_timeout <= ms(210),
        "{:?}",
        w.open[0].attempt_timeout
    );
    w.end_attempt("vm-2", AttemptEnd::Late(ms(202)));
    w.arrive("/page/y", ms(2500));
    assert!(
        !w.busy_servers().contains(&"vm-2"),
        "{:?}",
        w.busy_servers()
    );
}

#[test]
fn a_weak_vm_delegates_all_shards_to_a_strong_vm_of_its_region() {
    let mut w = World::new(table(1, vec![route()])).with_server_pairs(&SHARDS);
    w.on(Event::Vms(vec![
        vm("vm-1", HERE, "hobart", 0.12),
        vm("vm-2", HERE, "hobart", 0.5),
        vm("vm-3", THERE, "launceston", 0.5),
    ]));
    w.advance(ms(300));
    w.on(opened("vm-2", 0));
    w.on(opened("vm-3", 16));
    w.arrive("/page/x", ms(2500));
    assert_eq!(w.busy_servers(), ["vm-2"]);
}

#[test]
fn a_strong_vm_queries_all_shards_with_local_replicas_itself() {
    let mut w = World::new(table(1, vec![route()])).with_server_pairs(&SHARDS);
    w.on(Event::Vms(vec![
        vm("vm-1", HERE, "hobart", 0.5),
        vm("vm-2", HERE, "hobart", 0.5),
    ]));
    w.advance(ms(300));
    w.on(opened("vm-2", 0));
    w.arrive("/page/x", ms(2500));
    assert_eq!(w.busy_servers(), ["s0-near", "s1-near", "s2-near"]);
}

#[test]
fn a_caller_disconnect_cancels_the_peers_work() {
    let mut w = world();
    w.on(opened("vm-2", 16));
    let seq = w.arrive("/page/x", ms(2500));
    w.on(Event::CallerDisconnected(seq));
    let all: Vec<_> = w.open.iter().map(|d| d.attempt).collect();
    assert_eq!(w.cancelled, all);
}

/// Returns shards of a route as delegated by a peer after this number of hops.
pub fn delegated_parts(route: &Route, shards: &[u16], hops: u8) -> Option<DelegatedParts> {
    Some(DelegatedParts {
        route: route.fingerprint(),
        on_time: ms(100),
        latest: ms(300),
        parts_wanted: 0,
        shards: shards.to_vec(),
        hops,
    })
}

/// Passes a request with delegated parts to the relay.
pub fn arrive_delegated(w: &mut World, delegated: Option<DelegatedParts>) -> LookupSeq {
    let seq = LookupSeq(900);
    w.on(Event::Arrive(Arrival {
        seq,
        req: request("/page/x", seq, ms(2500)),
        delegated,
    }));
    seq
}

#[test]
fn a_bundle_queries_only_its_own_shards_and_returns_on_time_with_the_parts_received() {
    let mut w = World::new(table(1, vec![route()])).with_server_pairs(&SHARDS);
    let seq = arrive_delegated(&mut w, delegated_parts(&route(), &[0, 2], 1));
    assert_eq!(w.busy_servers(), ["s0-near", "s2-near"]);
    w.end_attempt("s2-near", success(b'c'));
    w.advance(ms(101));
    let p = page(&w, seq);
    let missing = MissingPart {
        shard: 0,
        possible_servers: possible_servers(&["s0-near", "s0-far"]),
    };
    assert_eq!((p.stamps.len(), p.missing.as_slice()), (1, &[missing][..]));
}

#[test]
fn a_bundle_is_delegated_further_at_most_once() {
    for (hops, expected) in [
        (1, vec!["vm-2", "s0-near"]),
        (2, vec!["s0-near", "s1-far", "s2-far"]),
    ] {
        let mut w = world();
        w.on(opened("vm-2", 16));
        arrive_delegated(&mut w, delegated_parts(&route(), &[0, 1, 2], hops));
        assert_eq!(w.busy_servers(), expected);
    }
}

/// A bundle is delegated to a VM with another version of the route. Executed there, it would bring
/// parts of another partitioning of the index to the page.
#[test]
fn a_bundle_of_another_route_is_refused() {
    let mut w = World::new(table(2, vec![route()])).with_server_pairs(&SHARDS);
    let other = page_route(&["s0", "s1"], 0.6);
    let seq = arrive_delegated(&mut w, delegated_parts(&other, &[0], 1));
    let outcome = &w.report(seq).expect("it has ended").outcome;
    let is_refused = matches!(outcome, Outcome::Refused(RefuseReason::OtherRoute, _));
    assert!(is_refused, "{outcome:?}");
    assert!(w.open.is_empty());
}
