//! Tests of fan-outs: what a page contains and when it is returned.

use gs_relay::AttemptEnd;
use gs_relay::Event;
use gs_relay::FailReason;
use gs_relay::Outcome;
use gs_relay::Page;
use http::StatusCode;

use crate::world::World;
use crate::world::answered;
use crate::world::ms;
use crate::world::page_route;
use crate::world::success;
use crate::world::table;

const SHARDS: [&str; 3] = ["s0", "s1", "s2"];

fn world(coverage_min: f64) -> World {
    World::new(table(1, vec![page_route(&SHARDS, coverage_min)])).with_server_pairs(&SHARDS)
}

fn page(w: &World, seq: gs_types::prelude::LookupSeq) -> &Page {
    match &w.report(seq).expect("it has ended").outcome {
        Outcome::Page(p) => p,
        other => panic!("no page: {other:?}"),
    }
}

#[test]
fn a_complete_page_is_returned_with_its_last_part() {
    let mut w = world(0.6);
    let seq = w.arrive("/page/x", ms(2500));
    assert_eq!(w.busy_servers(), ["s0-near", "s1-near", "s2-near"]);
    w.end_attempt("s0-near", success(b'a'));
    w.end_attempt("s1-near", success(b'c'));
    assert!(w.report(seq).is_none());
    w.end_attempt("s2-near", success(b'b'));
    let p = page(&w, seq);
    assert_eq!((p.stamps.len(), p.missing.len()), (3, 0));
    let expected = [[b'c'; 16], [b'b'; 16], [b'a'; 16]].concat();
    assert_eq!(&p.body[..], expected);
}

/// The replicas of one shard stall together. A page that waited for them would be returned long
/// after the objective, although all its other parts are complete.
#[test]
fn a_page_with_enough_parts_is_returned_at_the_objective() {
    let mut w = world(0.6);
    let seq = w.arrive("/page/x", ms(2500));
    w.end_attempt("s0-near", success(b'a'));
    w.end_attempt("s1-near", success(b'b'));
    w.advance(ms(135));
    assert!(w.report(seq).is_none());
    w.advance(ms(2));
    let p = page(&w, seq);
    assert_eq!((p.stamps.len(), p.missing.len()), (2, 1));
}

#[test]
fn a_page_with_too_few_parts_waits_beyond_the_objective_until_it_has_enough() {
    let mut w = world(0.6);
    let seq = w.arrive("/page/x", ms(2500));
    w.end_attempt("s0-near", success(b'a'));
    w.advance(ms(300));
    assert!(w.report(seq).is_none());
    w.end_attempt("s1-near", success(b'b'));
    assert_eq!(page(&w, seq).missing.len(), 1);
}

/// Both replicas of two of three shards fail, so that too few parts are left for a page. The
/// request must fail immediately and not only at its deadline.
#[test]
fn a_page_that_cannot_get_enough_parts_fails_immediately() {
    let mut w = world(0.6);
    let seq = w.arrive("/page/x", ms(2500));
    // Until a server has answered, the request may be the one that breaks them, and few parts are retried.
    w.end_attempt("s2-near", success(b'a'));
    for s in ["s0", "s1"] {
        w.end_attempt(&format!("{s}-near"), AttemptEnd::Broken);
        w.end_attempt(&format!("{s}-far"), AttemptEnd::Broken);
    }
    // Failed servers are retried until the budget is used up.
    while w.report(seq).is_none() {
        let name = w.open[0].server.name.to_string();
        w.end_attempt(&name, AttemptEnd::Broken);
    }
    let outcome = &w.report(seq).expect("it has ended").outcome;
    assert!(
        matches!(outcome, Outcome::Failed(FailReason::Failed)),
        "{outcome:?}"
    );
}

/// A server answers with an error page of its own. Counted as a part, it would make the page report
/// the shard as covered.
#[test]
fn a_server_error_is_not_counted_as_a_part() {
    let mut w = world(0.6);
    let seq = w.arrive("/page/x", ms(2500));
    w.end_attempt("s0-near", answered(StatusCode::INTERNAL_SERVER_ERROR, b'z'));
    assert!(w.busy_servers().contains(&"s0-far"));
    w.end_attempt("s0-far", success(b'a'));
    w.end_attempt("s1-near", success(b'b'));
    w.end_attempt("s2-near", success(b'c'));
    let expected = [[b'c'; 16], [b'b'; 16], [b'a'; 16]].concat();
    assert_eq!(&page(&w, seq).body[..], expected);
}

/// The process is paused beyond the objective, and answers arrive meanwhile. When it continues, the
/// page must not be returned with only the first answers that are read.
#[test]
fn a_page_after_a_process_pause_contains_all_answers_received_meanwhile() {
    let mut w = world(0.6);
    let seq = w.arrive("/page/x", ms(2500));
    let attempts = std::mem::take(&mut w.open);
    w.now += ms(400);
    let ends = attempts
        .iter()
        .map(|d| Event::Ended(d.attempt, success(b'a')));
    w.on_all(ends);
    w.on(Event::Tick);
    assert_eq!(page(&w, seq).missing.len(), 0);
}
