//! Parts that a peer does not bring: how long it waits for them, and where they may be asked for next.

use std::sync::Arc;

use gs_relay::AttemptEnd;
use gs_relay::DelegatedParts;
use gs_relay::Event;
use gs_relay::PossibleServers;
use rstest::rstest;

use crate::handover::SHARDS;
use crate::handover::arrive;
use crate::handover::asked;
use crate::handover::handed;
use crate::handover::opened;
use crate::handover::page_of;
use crate::handover::route;
use crate::handover::shards_missing;
use crate::handover::whole_page;
use crate::handover::world;
use crate::world::World;
use crate::world::entry;
use crate::world::good;
use crate::world::ms;
use crate::world::table;

/// Three replicas of shard 1, of which its route allows two to be asked.
fn with_three_replicas() -> World {
    let mut w = world();
    w.tell(opened("vm-2", 16));
    for name in ["s1-other", "s1-third"] {
        w.tell(Event::Server(Arc::new(entry(name, "s1", "burnie-a"))));
        w.tell(opened(name, 1));
    }
    w
}

/// The servers of shard 1 that attempts went to, told of or not, within a second.
fn asked_here(w: &mut World) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..10 {
        let sent = w.sent.iter().filter(|d| d.server.service.as_str() == "s1");
        names.extend(sent.map(|d| d.server.name.to_string()));
        let at = w
            .sent
            .iter()
            .position(|d| d.server.service.as_str() == "s1");
        if let Some(d) = at.and_then(|at| w.sent.remove(at)) {
            w.tell(Event::Ended(d.attempt, AttemptEnd::Broken));
        }
        w.pass(ms(100));
    }
    names.sort_unstable();
    names.dedup();
    names
}

/// A part runs on three servers although its route allows two. A peer's own replica hung, so it asked the
/// two others and sent its page without the part; the VM that had asked the peer took it that the peer's
/// own replica was among them, and asked that one.
#[rstest]
#[case::both(asked(&["s1-far", "s1-third"]), &["s1-far", "s1-third"])]
#[case::one_of_them(asked(&["s1-far"]), &["s1-far", "s1-other"])]
#[case::not_told(PossibleServers::Unknown, &[])]
fn a_part_runs_on_no_more_servers_than_its_route_allows_peers_included(
    #[case] told: PossibleServers,
    #[case] expected: &[&str],
) {
    let mut w = with_three_replicas();
    w.ask("/page/x", ms(2500));
    w.end("s0-near", good(b'a'));
    w.end(
        "vm-2",
        page_of(&[], [(1, told), (2, PossibleServers::None)].into_iter()),
    );
    let here = asked_here(&mut w);
    let is_allowed = |name: &String| expected.contains(&name.as_str());
    assert!(here.iter().all(is_allowed), "{here:?}");
    assert_eq!(here.is_empty(), expected.is_empty(), "{here:?}");
}

/// A peer is lost after it asked two of a part's three replicas, and the VM that had asked the peer asks
/// the third: which ones ran the part cannot be known any more.
#[rstest]
#[case::broken(AttemptEnd::Broken)]
#[case::late(AttemptEnd::Late(ms(100)))]
#[case::garbled(AttemptEnd::Garbled)]
fn a_part_that_a_lost_peer_may_have_asked_for_anywhere_goes_nowhere(#[case] end: AttemptEnd) {
    let mut w = with_three_replicas();
    w.ask("/page/x", ms(2500));
    w.end("s0-near", good(b'a'));
    w.end("vm-2", end);
    assert_eq!(asked_here(&mut w), Vec::<String>::new());
}

/// A VM asks for parts and its own peer is lost: what it says of them must not pass for all that ran.
#[test]
fn a_page_says_that_any_server_may_have_run_what_a_lost_peer_was_asked_for() {
    let mut w = with_three_replicas();
    w.tell(opened("vm-2", 16));
    let seq = arrive(&mut w, handed(&route(), &[0, 1, 2], 1));
    w.end("s0-near", good(b'a'));
    w.pass(ms(101));
    let p = whole_page(&w, seq);
    let told: Vec<_> = p
        .missing
        .iter()
        .map(|m| (m.shard, &m.possible_servers))
        .collect();
    assert_eq!(
        told,
        [
            (1, &PossibleServers::Unknown),
            (2, &PossibleServers::Unknown)
        ]
    );
}

/// A reader's page fails, and the 90 parts of it that were there are thrown away: a peer sent its page at the
/// objective with one part too few, which was held up by a server's pause and came 60 ms later.
#[test]
fn a_bundle_with_too_few_parts_waits_beyond_the_objective_and_leaves_with_the_first_enough() {
    let mut w = World::new(table(1, vec![route()])).with_pairs(&SHARDS);
    let all = handed(&route(), &[0, 1, 2], 1);
    let seq = arrive(
        &mut w,
        all.map(|h| DelegatedParts {
            parts_wanted: 2,
            ..h
        }),
    );
    w.end("s0-near", good(b'a'));
    w.pass(ms(160));
    assert!(w.ending(seq).is_none());
    w.end("s1-near", good(b'b'));
    let p = whole_page(&w, seq);
    assert_eq!((p.stamps.len(), shards_missing(p)), (2, vec![2]));
}

#[test]
fn a_bundle_with_too_few_parts_leaves_with_what_there_is_while_it_is_of_use() {
    let mut w = World::new(table(1, vec![route()])).with_pairs(&SHARDS);
    let all = handed(&route(), &[0, 1, 2], 1);
    let seq = arrive(
        &mut w,
        all.map(|h| DelegatedParts {
            parts_wanted: 2,
            ..h
        }),
    );
    w.end("s0-near", good(b'a'));
    w.pass(ms(299));
    assert!(w.ending(seq).is_none());
    w.pass(ms(2));
    assert_eq!(shards_missing(whole_page(&w, seq)), [1, 2]);
}

/// What is told to the peer: a page of three shards needs two, so that of two parts one is needed.
#[test]
fn a_peer_is_told_how_many_of_its_parts_are_needed_and_how_long_they_are_waited_for() {
    let mut w = world();
    w.tell(opened("vm-2", 16));
    w.ask("/page/x", ms(2500));
    let over = w.sent[0].delegation.clone().expect("a bundle");
    assert_eq!(over.parts_wanted, 1);
    assert_eq!((over.latest - over.on_time), ms(200));
    assert_eq!(w.sent[0].attempt_timeout, ms(150 - 14 + 200));
}
