//! Tests of requests that wait for a server.

use gs_relay::Event;
use gs_relay::Outcome;
use gs_relay::RefuseReason;
use gs_relay::RepeatPolicy;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::World;
use crate::world::ms;
use crate::world::one_route;
use crate::world::page_route;
use crate::world::table;

/// Sends requests until one waits for a server, as all of this VM's attempts at the servers are unanswered.
fn arrive_until_one_waits(w: &mut World, path: &str, caller_timeout_ms: u64) -> LookupSeq {
    for _ in 0..1000 {
        let in_flight = w.open.len();
        let seq = w.arrive(path, ms(caller_timeout_ms));
        if w.open.len() == in_flight {
            assert!(w.report(seq).is_none(), "{:?}", w.report(seq));
            return seq;
        }
    }
    panic!("no request waits");
}

fn assert_refused(w: &World, seq: LookupSeq) {
    let outcome = w.report(seq).map(|r| &r.outcome);
    assert!(
        matches!(
            outcome,
            Some(Outcome::Refused(RefuseReason::Overload, Some(_)))
        ),
        "{outcome:?}"
    );
}

/// Prevents a caller from waiting without an answer behind requests of a longer timeout, while all servers of the
/// service are silent.
#[rstest]
#[case::once(RepeatPolicy::Once)]
#[case::safe(RepeatPolicy::Safe)]
fn a_request_that_waits_for_a_server_is_refused_at_its_timeout(#[case] repeat: RepeatPolicy) {
    let mut w = World::new(table(1, vec![one_route(repeat)])).with_server_pairs(&["desk"]);
    arrive_until_one_waits(&mut w, "/one/x", 8000);
    let seq = w.arrive("/one/x", ms(1000));
    w.advance(ms(1000));
    assert_refused(&w, seq);
}

/// Prevents the same for a page none of whose parts has a free server.
#[test]
fn a_page_that_waits_for_servers_is_refused_at_its_timeout() {
    let shards = ["s0"];
    let mut w = World::new(table(1, vec![page_route(&shards, 1.0)])).with_server_pairs(&shards);
    let seq = arrive_until_one_waits(&mut w, "/page/x", 1000);
    w.advance(ms(1000));
    assert!(w.report(seq).is_some());
}

/// Prevents a request from waiting until its timeout for a server that has left.
#[test]
fn a_request_that_waits_for_servers_that_are_removed_is_refused_at_once() {
    let mut w =
        World::new(table(1, vec![one_route(RepeatPolicy::Once)])).with_server_pairs(&["desk"]);
    let seq = arrive_until_one_waits(&mut w, "/one/x", 8000);
    for server in ["desk-near", "desk-far"] {
        w.on(Event::EntryMissing(server.parse().expect("a name")));
    }
    w.advance(ms(2000));
    assert_refused(&w, seq);
}
