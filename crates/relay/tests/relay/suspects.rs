//! Tests of requests that crash the servers which execute them.

use std::sync::Arc;

use gs_relay::Event;
use gs_relay::Outcome;
use gs_relay::RefuseReason;
use gs_relay::RepeatPolicy;
use gs_relay::Verdict;
use gs_relay::VerdictOrigin;
use gs_types::prelude::*;

use crate::world::HERE;
use crate::world::THERE;
use crate::world::World;
use crate::world::entry;
use crate::world::ms;
use crate::world::one_route;
use crate::world::page_route;
use crate::world::success;
use crate::world::table;

const SHARDS: [&str; 3] = ["s0", "s1", "s2"];

fn world() -> World {
    let routes = vec![page_route(&SHARDS, 0.6), one_route(RepeatPolicy::Safe)];
    World::new(table(1, routes)).with_server_pairs(&["s0", "s1", "s2", "desk"])
}

/// Passes a request to the relay and breaks each of its attempts until it ends.
fn break_all_attempts(w: &mut World, path: &str) -> LookupSeq {
    let seq = w.arrive(path, ms(2500));
    while w.report(seq).is_none() {
        let server = w.open[0].server.name.to_string();
        w.crash_under_attempt(&server);
    }
    w.open.clear();
    seq
}

fn is_quarantined(w: &World, seq: LookupSeq) -> bool {
    let outcome = w.report(seq).map(|r| &r.outcome);
    matches!(
        outcome,
        Some(Outcome::Refused(RefuseReason::Quarantined, Some(_)))
    )
}

/// Prevents a reader who repeats a search that crashes servers from taking down every shard each
/// time.
#[test]
fn a_fan_out_that_crashed_its_servers_is_refused_when_repeated() {
    let mut w = world();
    break_all_attempts(&mut w, "/page/poison");
    assert_eq!(w.quarantined.len(), 1);
    let repeat = w.arrive("/page/poison", ms(2500));
    assert!(is_quarantined(&w, repeat));
    assert!(w.open.is_empty());
    // The servers are back.
    w.advance(ms(3000));
    w.arrive("/page/other", ms(2500));
    assert!(!w.open.is_empty());
}

#[test]
fn a_request_quarantined_by_another_vm_is_refused_here() {
    let mut w = world();
    let found = w.fingerprint("/page/poison");
    let verdicts = vec![Verdict::first(found)];
    w.on(Event::Verdicts(verdicts, VerdictOrigin::Peer));
    let seq = w.arrive("/page/poison", ms(2500));
    assert!(is_quarantined(&w, seq));
}

/// Attempts of a harmless search break by chance several times, and each time the next one is
/// answered. The search must not be refused for half a minute.
#[test]
fn a_request_that_a_server_answered_is_no_suspect() {
    let mut w = world();
    for _ in 0..4 {
        let seq = w.arrive("/one/x", ms(8000));
        let first = w.busy_servers()[0].to_owned();
        w.crash_under_attempt(&first);
        let second = w.busy_servers()[0].to_owned();
        w.end_attempt(&second, success(b'a'));
        assert!(w.report(seq).is_some());
    }
    assert!(w.quarantined.is_empty());
}

/// Three servers lose connections at the same moment under a popular search, 20 ms before the
/// others answer it. It must not be refused at every VM for half a minute.
#[test]
fn a_fan_out_that_other_servers_answer_is_no_suspect() {
    let mut w = world();
    let seq = w.arrive("/page/popular", ms(2500));
    for server in ["s0-near", "s1-near", "s2-near"] {
        w.crash_under_attempt(server);
    }
    w.advance(ms(20));
    for server in ["s0-far", "s1-far", "s2-far"] {
        w.end_attempt(server, success(b'a'));
    }
    assert!(w.report(seq).is_some());
    assert_eq!(w.quarantined, []);
    let repeat = w.arrive("/page/popular", ms(2500));
    assert!(!is_quarantined(&w, repeat));
}

/// The caller of a search that crashes servers disconnects each time before it ends. The search
/// must be quarantined nevertheless.
#[test]
fn a_request_that_crashes_servers_is_quarantined_although_its_caller_disconnects() {
    let mut w = world();
    let seq = w.arrive("/page/poison", ms(2500));
    for server in ["s0-near", "s1-near", "s2-near"] {
        w.crash_under_attempt(server);
    }
    w.on(Event::CallerDisconnected(seq));
    assert_eq!(w.quarantined, [w.fingerprint("/page/poison")]);
}

#[test]
fn a_quarantine_expires() {
    let mut w = world();
    break_all_attempts(&mut w, "/page/poison");
    w.advance(ms(31_000));
    let repeat = w.arrive("/page/poison", ms(2500));
    assert!(!is_quarantined(&w, repeat));
}

/// Restarts both servers of a shard in the given incarnation.
fn restart_shard(w: &mut World, shard: &str, incarnation: u64) {
    for (name, data_centre) in [("near", HERE), ("far", THERE)] {
        let mut restarted = entry(&format!("{shard}-{name}"), shard, data_centre);
        restarted.born = Some(Incarnation(incarnation));
        w.on(Event::Server(Arc::new(restarted)));
    }
    // Backoffs after broken connections and slow start end in this time.
    w.advance(ms(3000));
}

/// Requests a page of which every attempt at `s0` breaks, while the other shards answer.
fn break_one_shard(w: &mut World, path: &str) -> LookupSeq {
    let seq = w.arrive(path, ms(2500));
    while w.report(seq).is_none() {
        let server = w.open[0].server.name.to_string();
        match server.starts_with("s0") {
            true => w.crash_under_attempt(&server),
            false => w.end_attempt(&server, success(b'a')),
        }
    }
    w.open.clear();
    seq
}

/// A search crashes the servers of one shard each time its caller repeats it. The answers of the
/// other shards must not keep it from being quarantined.
#[test]
fn a_fan_out_that_crashes_one_shard_twice_is_quarantined() {
    let mut w = world();
    break_one_shard(&mut w, "/page/poison");
    assert_eq!(w.quarantined, []);
    restart_shard(&mut w, "s0", 2);
    break_one_shard(&mut w, "/page/poison");
    assert_eq!(w.quarantined, [w.fingerprint("/page/poison")]);
}

/// The servers of one shard crash for another reason. A search must not be quarantined for that,
/// however often callers repeat it meanwhile.
#[test]
fn a_shard_that_crashes_by_itself_makes_no_suspect() {
    let mut w = world();
    for _ in 0..5 {
        break_one_shard(&mut w, "/page/popular");
    }
    assert_eq!(w.quarantined, []);
}

/// A shard crashes twice for another reason and answers a search in between. The search must not be
/// quarantined.
#[test]
fn a_shard_that_answers_between_its_crashes_makes_no_suspect() {
    let mut w = world();
    break_one_shard(&mut w, "/page/popular");
    restart_shard(&mut w, "s0", 2);
    let seq = w.arrive("/page/popular", ms(2500));
    while w.report(seq).is_none() {
        let server = w.open[0].server.name.to_string();
        w.end_attempt(&server, success(b'a'));
    }
    w.open.clear();
    restart_shard(&mut w, "s0", 3);
    break_one_shard(&mut w, "/page/popular");
    assert_eq!(w.quarantined, []);
}
