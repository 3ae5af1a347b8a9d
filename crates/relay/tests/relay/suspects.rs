//! Requests that crash the servers which run them.

use std::sync::Arc;

use gs_relay::AttemptEnd;
use gs_relay::Event;
use gs_relay::Outcome;
use gs_relay::RefuseReason;
use gs_relay::Repeat;
use gs_types::prelude::*;

use crate::world::HERE;
use crate::world::THERE;
use crate::world::World;
use crate::world::entry;
use crate::world::good;
use crate::world::ms;
use crate::world::one_route;
use crate::world::page_route;
use crate::world::table;

const SHARDS: [&str; 3] = ["s0", "s1", "s2"];

fn world() -> World {
    let routes = vec![page_route(&SHARDS, 0.6), one_route(Repeat::Safe)];
    World::new(table(1, routes)).with_pairs(&["s0", "s1", "s2", "desk"])
}

/// Breaks every attempt of a request until it ends.
fn break_all(w: &mut World, path: &str) -> LookupSeq {
    let seq = w.ask(path, ms(2500));
    while w.ending(seq).is_none() {
        let server = w.sent[0].server.name.to_string();
        w.end(&server, AttemptEnd::Broken);
    }
    w.sent.clear();
    seq
}

fn is_quarantined(w: &World, seq: LookupSeq) -> bool {
    let outcome = w.ending(seq).map(|e| &e.outcome);
    matches!(
        outcome,
        Some(Outcome::Refused(RefuseReason::Quarantined, Some(_)))
    )
}

/// Every shard is lost again each time a reader repeats the one search that crashes its servers.
#[test]
fn a_fan_out_that_broke_its_servers_is_refused_when_it_comes_again() {
    let mut w = world();
    break_all(&mut w, "/page/poison");
    assert_eq!(w.quarantined.len(), 1);
    let again = w.ask("/page/poison", ms(2500));
    assert!(is_quarantined(&w, again));
    assert!(w.sent.is_empty());
    w.ask("/page/other", ms(2500));
    assert!(!w.sent.is_empty());
}

#[test]
fn what_another_vm_found_is_refused_here() {
    let mut w = world();
    let found = w.fingerprint("/page/poison");
    w.tell(Event::Quarantined(vec![found]));
    let seq = w.ask("/page/poison", ms(2500));
    assert!(is_quarantined(&w, seq));
}

/// A reader's search is refused for half a minute although it harms nobody: two connections broke under
/// it by chance, and a third answered.
#[test]
fn a_request_that_a_server_answered_is_no_suspect() {
    let mut w = world();
    for _ in 0..4 {
        let seq = w.ask("/one/x", ms(8000));
        let first = w.busy()[0].to_owned();
        w.end(&first, AttemptEnd::Broken);
        let second = w.busy()[0].to_owned();
        w.end(&second, good(b'a'));
        assert!(w.ending(seq).is_some());
    }
    assert!(w.quarantined.is_empty());
}

/// A popular search is refused for half a minute at every VM: three servers lost connections in the same moment,
/// before any of the others had had the time to answer. They did so 20 ms later.
#[test]
fn a_fan_out_that_other_servers_answer_is_no_suspect() {
    let mut w = world();
    let seq = w.ask("/page/popular", ms(2500));
    for server in ["s0-near", "s1-near", "s2-near"] {
        w.end(server, AttemptEnd::Broken);
    }
    w.pass(ms(20));
    for server in ["s0-far", "s1-far", "s2-far"] {
        w.end(server, good(b'a'));
    }
    assert!(w.ending(seq).is_some());
    assert_eq!(w.quarantined, []);
    let again = w.ask("/page/popular", ms(2500));
    assert!(!is_quarantined(&w, again));
}

/// A search that crashes servers is sent by a caller that hangs up each time, and is never found out.
#[test]
fn a_caller_that_hangs_up_does_not_hide_what_its_request_broke() {
    let mut w = world();
    let seq = w.ask("/page/poison", ms(2500));
    for server in ["s0-near", "s1-near", "s2-near"] {
        w.end(server, AttemptEnd::Broken);
    }
    w.tell(Event::CallerDisconnected(seq));
    assert_eq!(w.quarantined, [w.fingerprint("/page/poison")]);
}

#[test]
fn it_is_let_go_after_a_while() {
    let mut w = world();
    break_all(&mut w, "/page/poison");
    w.pass(ms(31_000));
    let again = w.ask("/page/poison", ms(2500));
    assert!(!is_quarantined(&w, again));
}

/// Starts both servers of a shard again; `run` tells this run of theirs from others.
fn start_again(w: &mut World, shard: &str, run: u64) {
    for (name, place) in [("near", HERE), ("far", THERE)] {
        let mut again = entry(&format!("{shard}-{name}"), shard, place);
        again.born = Some(Incarnation(run));
        w.tell(Event::Server(Arc::new(again)));
    }
    // Rests after broken connections and warming are over.
    w.pass(ms(3000));
}

/// Asks for a page; every attempt at `s0` breaks, the other shards answer.
fn break_one_shard(w: &mut World, path: &str) -> LookupSeq {
    let seq = w.ask(path, ms(2500));
    while w.ending(seq).is_none() {
        let server = w.sent[0].server.name.to_string();
        let end = if server.starts_with("s0") {
            AttemptEnd::Broken
        } else {
            good(b'a')
        };
        w.end(&server, end);
    }
    w.sent.clear();
    seq
}

/// Guards against a search that crashes the servers of one shard each time that a caller repeats it, as the other
/// shards answer it.
#[test]
fn a_fan_out_that_breaks_one_shard_again_is_refused() {
    let mut w = world();
    break_one_shard(&mut w, "/page/poison");
    assert_eq!(w.quarantined, []);
    start_again(&mut w, "s0", 2);
    break_one_shard(&mut w, "/page/poison");
    assert_eq!(w.quarantined, [w.fingerprint("/page/poison")]);
}

/// Guards against a search that is refused since the servers of one shard crashed by themselves, however often
/// callers ask for it meanwhile.
#[test]
fn a_shard_that_crashes_by_itself_makes_no_suspect() {
    let mut w = world();
    for _ in 0..5 {
        break_one_shard(&mut w, "/page/popular");
    }
    assert_eq!(w.quarantined, []);
}

/// Guards against a search that is refused since a shard crashed twice by itself, though it has answered between.
#[test]
fn a_shard_that_answers_between_its_crashes_makes_no_suspect() {
    let mut w = world();
    break_one_shard(&mut w, "/page/popular");
    start_again(&mut w, "s0", 2);
    let seq = w.ask("/page/popular", ms(2500));
    while w.ending(seq).is_none() {
        let server = w.sent[0].server.name.to_string();
        w.end(&server, good(b'a'));
    }
    w.sent.clear();
    start_again(&mut w, "s0", 3);
    break_one_shard(&mut w, "/page/popular");
    assert_eq!(w.quarantined, []);
}
