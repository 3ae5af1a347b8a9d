//! Tests of parts missing from a peer's page: how long the peer waits for them, and on which
//! servers they may be retried.

use std::sync::Arc;

use gs_relay::AttemptEnd;
use gs_relay::DelegatedParts;
use gs_relay::Event;
use gs_relay::PossibleServers;
use rstest::rstest;

use crate::delegation::SHARDS;
use crate::delegation::arrive_delegated;
use crate::delegation::delegated_parts;
use crate::delegation::missing_shards;
use crate::delegation::opened;
use crate::delegation::page;
use crate::delegation::peer_page_with;
use crate::delegation::possible_servers;
use crate::delegation::route;
use crate::delegation::world;
use crate::world::World;
use crate::world::entry;
use crate::world::ms;
use crate::world::success;
use crate::world::table;

/// Creates a VM with three replicas of shard 1, of which its route allows two to execute a part.
fn with_three_replicas() -> World {
    let mut w = world();
    w.on(opened("vm-2", 16));
    for name in ["s1-other", "s1-third"] {
        w.on(Event::Server(Arc::new(entry(name, "s1", "burnie-a"))));
        w.on(opened(name, 1));
    }
    w
}

/// Returns the servers of shard 1 that got attempts within a second; each attempt is broken.
fn servers_tried(w: &mut World) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..10 {
        let attempts = w.open.iter().filter(|d| d.server.service.as_str() == "s1");
        names.extend(attempts.map(|d| d.server.name.to_string()));
        let at = w
            .open
            .iter()
            .position(|d| d.server.service.as_str() == "s1");
        if let Some(d) = at.and_then(|at| w.open.remove(at)) {
            w.on(Event::Ended(d.attempt, AttemptEnd::Broken));
        }
        w.advance(ms(100));
    }
    names.sort_unstable();
    names.dedup();
    names
}

/// A peer's own replica is unresponsive, so the peer queries the two others and returns its page
/// without the part. If the delegating VM then assumed that the peer's own replica was among them
/// and queried it, the part would be executed on three servers, although its route allows two.
#[rstest]
#[case::two_servers(possible_servers(&["s1-far", "s1-third"]), &["s1-far", "s1-third"])]
#[case::one_server(possible_servers(&["s1-far"]), &["s1-far", "s1-other"])]
#[case::not_reported(PossibleServers::Unknown, &[])]
fn a_part_runs_on_no_more_servers_than_its_route_allows_peers_included(
    #[case] reported: PossibleServers,
    #[case] expected: &[&str],
) {
    let mut w = with_three_replicas();
    w.arrive("/page/x", ms(2500));
    w.end_attempt("s0-near", success(b'a'));
    w.end_attempt(
        "vm-2",
        peer_page_with(&[], [(1, reported), (2, PossibleServers::None)].into_iter()),
    );
    let tried = servers_tried(&mut w);
    let is_allowed = |name: &String| expected.contains(&name.as_str());
    assert!(tried.iter().all(is_allowed), "{tried:?}");
    assert_eq!(tried.is_empty(), expected.is_empty(), "{tried:?}");
}

/// A peer is lost after it queried two of a part's three replicas. As it is unknown which of them
/// have executed the part, the delegating VM must not query any replica, which could be the third.
#[rstest]
#[case::broken(AttemptEnd::Broken)]
#[case::late(AttemptEnd::Late(ms(100)))]
#[case::garbled(AttemptEnd::Garbled)]
fn a_part_delegated_to_a_lost_peer_is_not_retried_at_any_replica(#[case] end: AttemptEnd) {
    let mut w = with_three_replicas();
    w.arrive("/page/x", ms(2500));
    w.end_attempt("s0-near", success(b'a'));
    w.end_attempt("vm-2", end);
    assert_eq!(servers_tried(&mut w), Vec::<String>::new());
}

/// A VM delegates parts that were delegated to it, and its peer is lost. It must not report the
/// servers that it knows of as the only ones that may have executed these parts.
#[test]
fn a_page_reports_unknown_possible_servers_for_parts_of_a_lost_peer() {
    let mut w = with_three_replicas();
    w.on(opened("vm-2", 16));
    let seq = arrive_delegated(&mut w, delegated_parts(&route(), &[0, 1, 2], 1));
    w.end_attempt("s0-near", success(b'a'));
    w.advance(ms(101));
    let p = page(&w, seq);
    let reported: Vec<_> = p
        .missing
        .iter()
        .map(|m| (m.shard, &m.possible_servers))
        .collect();
    assert_eq!(
        reported,
        [
            (1, &PossibleServers::Unknown),
            (2, &PossibleServers::Unknown)
        ]
    );
}

/// A part is held up by a server's stall and arrives 60 ms after the objective. If the peer
/// returned its page at the objective with one part too few, the whole page would fail, and its
/// other 90 parts would be discarded.
#[test]
fn a_bundle_with_too_few_parts_waits_beyond_the_objective_until_it_has_enough() {
    let mut w = World::new(table(1, vec![route()])).with_server_pairs(&SHARDS);
    let all = delegated_parts(&route(), &[0, 1, 2], 1);
    let seq = arrive_delegated(
        &mut w,
        all.map(|d| DelegatedParts {
            parts_wanted: 2,
            ..d
        }),
    );
    w.end_attempt("s0-near", success(b'a'));
    w.advance(ms(160));
    assert!(w.report(seq).is_none());
    w.end_attempt("s1-near", success(b'b'));
    let p = page(&w, seq);
    assert_eq!((p.stamps.len(), missing_shards(p)), (2, vec![2]));
}

#[test]
fn a_bundle_with_too_few_parts_returns_what_it_has_at_the_latest_time() {
    let mut w = World::new(table(1, vec![route()])).with_server_pairs(&SHARDS);
    let all = delegated_parts(&route(), &[0, 1, 2], 1);
    let seq = arrive_delegated(
        &mut w,
        all.map(|d| DelegatedParts {
            parts_wanted: 2,
            ..d
        }),
    );
    w.end_attempt("s0-near", success(b'a'));
    w.advance(ms(299));
    assert!(w.report(seq).is_none());
    w.advance(ms(2));
    assert_eq!(missing_shards(page(&w, seq)), [1, 2]);
}

/// A page of three shards needs two, so that one of the two delegated parts is needed.
#[test]
fn a_delegation_states_how_many_parts_are_needed_and_the_latest_time() {
    let mut w = world();
    w.on(opened("vm-2", 16));
    w.arrive("/page/x", ms(2500));
    let delegation = w.open[0].delegation.clone().expect("a bundle");
    assert_eq!(delegation.parts_wanted, 1);
    assert_eq!((delegation.latest - delegation.on_time), ms(200));
    assert_eq!(w.open[0].attempt_timeout, ms(150 - 14 + 200));
}
