//! Parts that another VM asks for.

use std::time::Duration;

use std::sync::Arc;

use bytes::Bytes;
use gs_relay::Arrival;
use gs_relay::AttemptEnd;
use gs_relay::DelegatedParts;
use gs_relay::Event;
use gs_relay::Missing;
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
use crate::world::good;
use crate::world::ms;
use crate::world::page_route;
use crate::world::request;
use crate::world::shed;
use crate::world::table;
use crate::world::vm;

pub const SHARDS: [&str; 3] = ["s0", "s1", "s2"];

pub fn route() -> Route {
    page_route(&SHARDS, 0.6)
}

pub fn opened(name: &str, took_ms: u64) -> Event {
    Event::Opened(name.parse().expect("a name"), ms(took_ms))
}

/// Shard 0 has a replica here, the others only where two peers stand.
pub fn world() -> World {
    let mut w = World::new(table(1, vec![route()]));
    w.tell(Event::Server(Arc::new(entry("s0-near", "s0", HERE))));
    for s in SHARDS {
        w.tell(Event::Server(Arc::new(entry(
            &format!("{s}-far"),
            s,
            THERE,
        ))));
    }
    w.tell(opened("s0-near", 0));
    w.tell(Event::Vms(vec![
        vm("vm-1", HERE, "hobart", 1.0),
        vm("vm-2", THERE, "launceston", 1.0),
        vm("vm-3", THERE, "launceston", 1.0),
    ]));
    w.pass(ms(300));
    w
}

/// A peer's page; it has asked the far replica of each shard that is missing.
fn page(stamps: &[&'static str], missing: &[u16]) -> AttemptEnd {
    let missing = missing.iter().map(|n| (*n, vec![format!("s{n}-far")]));
    page_of(stamps, missing.map(|(n, names)| (n, asked(&names))))
}

pub fn asked<S: AsRef<str>>(names: &[S]) -> PossibleServers {
    let names = names.iter().map(|n| n.as_ref().parse().expect("a name"));
    PossibleServers::Servers(names.collect())
}

pub fn page_of(
    stamps: &[&'static str],
    missing: impl Iterator<Item = (u16, PossibleServers)>,
) -> AttemptEnd {
    let stamps = stamps.iter().map(|s| Bytes::from_static(s.as_bytes()));
    let page = Page {
        stamps: stamps.collect(),
        missing: missing
            .map(|(shard, asked)| Missing {
                shard,
                possible_servers: asked,
            })
            .collect(),
        body: Bytes::from_static(b"bbbbbbbbbbbbbbbb"),
    };
    AttemptEnd::Paged(Box::new(page), None)
}

/// The page of [`page_of`] as a peer sends it that had the request for so long.
fn held(page: AttemptEnd, held: Duration) -> AttemptEnd {
    let AttemptEnd::Paged(page, _) = page else {
        unreachable!("it is a page");
    };
    AttemptEnd::Paged(page, Some(held))
}

/// Hands 40 requests over whose pages are 16 ms on their way and back, every second one `jitter` more, and
/// gives the time that the peer has for the next one.
fn on_time_after(jitter: Duration) -> Duration {
    let mut w = world();
    w.tell(opened("vm-2", 16));
    for n in 0..40 {
        w.ask("/page/x", ms(2500));
        w.end("s0-near", good(b'a'));
        let more = if n % 2 == 0 { jitter } else { ms(0) };
        w.pass(ms(16 + 30) + more);
        w.end("vm-2", held(page(&["x", "y"], &[]), ms(30)));
    }
    w.ask("/page/x", ms(2500));
    w.sent[0].delegation.clone().expect("a bundle").on_time
}

/// A short lookup leaves out every shard that is elsewhere: its objective is not much longer than the way to
/// another region, and its peer is told to answer as if every way took as long as the worst ever may.
#[test]
fn a_peer_has_the_time_that_the_way_does_not_take() {
    // 150 ms, less the margin of 14 ms and 16 ms on the way.
    let spare = ms(120) - on_time_after(ms(0));
    assert!(spare <= ms(1), "{spare:?}");
}

/// Pages of a peer whose link has become longer come after the objective, as the least time ever counts.
#[test]
fn a_peer_behind_a_link_that_became_longer_is_given_less_time() {
    // Half of the pages take 10 ms more.
    let spare = ms(120) - on_time_after(ms(10));
    assert!(spare >= ms(3) && spare <= ms(10), "{spare:?}");
}

pub fn shards_missing(p: &Page) -> Vec<u16> {
    p.missing.iter().map(|m| m.shard).collect()
}

pub fn whole_page(w: &World, seq: LookupSeq) -> &Page {
    match &w.ending(seq).expect("it has ended").outcome {
        Outcome::Page(p) => p,
        other => panic!("no page: {other:?}"),
    }
}

#[test]
fn shards_without_a_replica_here_are_left_to_one_peer_beside_them() {
    let mut w = world();
    w.tell(opened("vm-2", 16));
    let seq = w.ask("/page/x", ms(2500));
    assert_eq!(w.busy(), ["vm-2", "s0-near"]);
    let over = w.sent[0].delegation.clone().expect("a bundle");
    assert_eq!((over.shards, over.hops), (vec![1, 2], 1));
    // 150 ms, less the margin of 14 ms, and 1.15 times the way of 16 ms there and back.
    assert_eq!(over.on_time.as_micros(), 117_600);
    w.end("s0-near", good(b'a'));
    w.end("vm-2", page(&["x", "y"], &[]));
    let p = whole_page(&w, seq);
    assert_eq!((p.stamps.len(), p.missing.len()), (3, 0));
    assert_eq!(&p.body[..], [[b'b'; 16], [b'a'; 16]].concat());
}

#[test]
fn a_page_tells_truly_what_the_peer_has_left_out() {
    let mut w = world();
    w.tell(opened("vm-2", 16));
    let seq = w.ask("/page/x", ms(2500));
    w.end("s0-near", good(b'a'));
    w.end("vm-2", page(&["x"], &[2]));
    let p = whole_page(&w, seq);
    assert_eq!((p.stamps.len(), shards_missing(p)), (2, vec![2]));
}

#[test]
fn what_a_peer_has_left_out_is_asked_for_here_if_the_page_would_be_too_thin() {
    let mut w = world();
    w.tell(opened("vm-2", 16));
    w.ask("/page/x", ms(2500));
    w.end("s0-near", good(b'a'));
    w.end("vm-2", page(&[], &[1, 2]));
    assert_eq!(w.busy(), ["s1-far", "s2-far"]);
}

/// A page counts a shard twice or not at all: the peer tells of other shards than it was asked for.
#[rstest]
#[case::too_few(page(&["x"], &[]))]
#[case::too_many(page(&["x", "y", "z"], &[]))]
#[case::another_shard(page(&["x"], &[0]))]
#[case::broken(AttemptEnd::Broken)]
#[case::late(AttemptEnd::Late(ms(100)))]
fn a_bundle_that_came_to_nothing_is_asked_for_here(#[case] end: AttemptEnd) {
    let mut w = world();
    w.tell(opened("vm-2", 16));
    w.ask("/page/x", ms(2500));
    w.end("vm-2", end);
    assert_eq!(w.busy(), ["s0-near", "s1-far", "s2-far"]);
}

#[rstest]
#[case::not_sent(AttemptEnd::NotSent)]
#[case::refused(shed())]
fn a_bundle_that_was_not_run_is_asked_for_here(#[case] end: AttemptEnd) {
    let mut w = world();
    w.tell(opened("vm-2", 16));
    w.ask("/page/x", ms(2500));
    w.end("vm-2", end);
    assert_eq!(w.busy(), ["s0-near", "s1-far", "s2-far"]);
    assert_eq!(w.relay.counters().retries, 0);
}

#[test]
fn everything_is_asked_for_here_while_no_peer_is_connected() {
    let mut w = world();
    w.ask("/page/x", ms(2500));
    assert_eq!(w.busy(), ["s0-near", "s1-far", "s2-far"]);
}

/// A VM asks for every part itself for ten seconds after its peer was restarted: nobody connected to the
/// peer again once its connection had closed.
#[test]
fn a_peer_whose_connection_closed_is_connected_to_again() {
    let mut w = world();
    w.tell(opened("vm-2", 16));
    w.tell(opened("vm-3", 16));
    w.pass(ms(3000));
    w.connects.clear();
    w.tell(Event::Closed("vm-2".parse().expect("a name")));
    w.pass(ms(1100));
    let names: Vec<&str> = w.connects.iter().map(ServerName::as_str).collect();
    assert!(names.contains(&"vm-2"), "{names:?}");
    assert!(!names.contains(&"vm-3"), "{names:?}");
}

/// A VM loses power with bundles that were left to it; nothing tells of it but silence.
#[test]
fn a_page_does_not_wait_for_a_silent_peer_and_the_next_one_passes_it_by() {
    let mut w = World::new(table(1, vec![page_route(&SHARDS, 0.3)]));
    w.tell(Event::Server(Arc::new(entry("s0-near", "s0", HERE))));
    for s in SHARDS {
        w.tell(Event::Server(Arc::new(entry(
            &format!("{s}-far"),
            s,
            THERE,
        ))));
    }
    let vms = vec![
        vm("vm-1", HERE, "hobart", 1.0),
        vm("vm-2", THERE, "launceston", 1.0),
    ];
    w.tell(Event::Vms(vms));
    w.pass(ms(300));
    w.tell(opened("vm-2", 16));
    let seq = w.ask("/page/x", ms(2500));
    w.end("s0-near", good(b'a'));
    w.pass(ms(150));
    assert_eq!(shards_missing(whole_page(&w, seq)), [1, 2]);
    assert!(
        w.sent[0].attempt_timeout <= ms(210),
        "{:?}",
        w.sent[0].attempt_timeout
    );
    w.end("vm-2", AttemptEnd::Late(ms(202)));
    w.ask("/page/y", ms(2500));
    assert!(!w.busy().contains(&"vm-2"), "{:?}", w.busy());
}

#[test]
fn a_weak_vm_leaves_everything_to_a_strong_one_of_its_region() {
    let mut w = World::new(table(1, vec![route()])).with_pairs(&SHARDS);
    w.tell(Event::Vms(vec![
        vm("vm-1", HERE, "hobart", 0.12),
        vm("vm-2", HERE, "hobart", 0.5),
        vm("vm-3", THERE, "launceston", 0.5),
    ]));
    w.pass(ms(300));
    w.tell(opened("vm-2", 0));
    w.tell(opened("vm-3", 16));
    w.ask("/page/x", ms(2500));
    assert_eq!(w.busy(), ["vm-2"]);
}

#[test]
fn a_strong_vm_beside_replicas_asks_for_everything_itself() {
    let mut w = World::new(table(1, vec![route()])).with_pairs(&SHARDS);
    w.tell(Event::Vms(vec![
        vm("vm-1", HERE, "hobart", 0.5),
        vm("vm-2", HERE, "hobart", 0.5),
    ]));
    w.pass(ms(300));
    w.tell(opened("vm-2", 0));
    w.ask("/page/x", ms(2500));
    assert_eq!(w.busy(), ["s0-near", "s1-near", "s2-near"]);
}

#[test]
fn a_caller_that_hangs_up_stops_the_peers_work() {
    let mut w = world();
    w.tell(opened("vm-2", 16));
    let seq = w.ask("/page/x", ms(2500));
    w.tell(Event::CallerDisconnected(seq));
    let all: Vec<_> = w.sent.iter().map(|d| d.attempt).collect();
    assert_eq!(w.cancelled, all);
}

pub fn handed(route: &Route, shards: &[u16], hops: u8) -> Option<DelegatedParts> {
    Some(DelegatedParts {
        route: route.fingerprint(),
        on_time: ms(100),
        latest: ms(300),
        parts_wanted: 0,
        shards: shards.to_vec(),
        hops,
    })
}

pub fn arrive(w: &mut World, handed: Option<DelegatedParts>) -> LookupSeq {
    let seq = LookupSeq(900);
    w.tell(Event::Arrive(Arrival {
        seq,
        req: request("/page/x", seq, ms(2500)),
        delegated: handed,
    }));
    seq
}

#[test]
fn a_bundle_brings_its_own_shards_only_and_leaves_in_time_with_what_is_there() {
    let mut w = World::new(table(1, vec![route()])).with_pairs(&SHARDS);
    let seq = arrive(&mut w, handed(&route(), &[0, 2], 1));
    assert_eq!(w.busy(), ["s0-near", "s2-near"]);
    w.end("s2-near", good(b'c'));
    w.pass(ms(101));
    let p = whole_page(&w, seq);
    let missing = Missing {
        shard: 0,
        possible_servers: asked(&["s0-near", "s0-far"]),
    };
    assert_eq!((p.stamps.len(), p.missing.as_slice()), (1, &[missing][..]));
}

#[test]
fn a_bundle_is_passed_on_once_and_not_twice() {
    for (hops, expected) in [
        (1, vec!["vm-2", "s0-near"]),
        (2, vec!["s0-near", "s1-far", "s2-far"]),
    ] {
        let mut w = world();
        w.tell(opened("vm-2", 16));
        arrive(&mut w, handed(&route(), &[0, 1, 2], hops));
        assert_eq!(w.busy(), expected);
    }
}

/// A page holds parts of two cuts of the index: the bundle was asked for at a VM which has another
/// version of the route.
#[test]
fn a_bundle_of_another_route_is_refused() {
    let mut w = World::new(table(2, vec![route()])).with_pairs(&SHARDS);
    let other = page_route(&["s0", "s1"], 0.6);
    let seq = arrive(&mut w, handed(&other, &[0], 1));
    let outcome = &w.ending(seq).expect("it has ended").outcome;
    let is_refused = matches!(outcome, Outcome::Refused(RefuseReason::OtherRoute, _));
    assert!(is_refused, "{outcome:?}");
    assert!(w.sent.is_empty());
}
