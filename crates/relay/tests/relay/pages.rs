//! Fan-outs: what a page holds, and when it goes out.

use gs_relay::AttemptEnd;
use gs_relay::Event;
use gs_relay::FailReason;
use gs_relay::Outcome;
use gs_relay::Page;
use http::StatusCode;

use crate::world::World;
use crate::world::answered;
use crate::world::good;
use crate::world::ms;
use crate::world::page_route;
use crate::world::table;

const SHARDS: [&str; 3] = ["s0", "s1", "s2"];

fn world(coverage_min: f64) -> World {
    World::new(table(1, vec![page_route(&SHARDS, coverage_min)])).with_pairs(&SHARDS)
}

fn page(w: &World, seq: gs_types::prelude::LookupSeq) -> &Page {
    match &w.ending(seq).expect("it has ended").outcome {
        Outcome::Page(p) => p,
        other => panic!("no page: {other:?}"),
    }
}

#[test]
fn a_whole_page_goes_out_with_its_last_part() {
    let mut w = world(0.6);
    let seq = w.ask("/page/x", ms(2500));
    assert_eq!(w.busy(), ["s0-near", "s1-near", "s2-near"]);
    w.end("s0-near", good(b'a'));
    w.end("s1-near", good(b'c'));
    assert!(w.ending(seq).is_none());
    w.end("s2-near", good(b'b'));
    let p = page(&w, seq);
    assert_eq!((p.stamps.len(), p.missing.len()), (3, 0));
    let expected = [[b'c'; 16], [b'b'; 16], [b'a'; 16]].concat();
    assert_eq!(&p.body[..], expected);
}

/// A reader gets a page too late for the send window, although all but one of its parts were there.
/// One shard's replicas pause together; the page would wait for them far beyond the objective.
#[test]
fn a_page_with_parts_enough_goes_out_at_the_objective() {
    let mut w = world(0.6);
    let seq = w.ask("/page/x", ms(2500));
    w.end("s0-near", good(b'a'));
    w.end("s1-near", good(b'b'));
    w.pass(ms(135));
    assert!(w.ending(seq).is_none());
    w.pass(ms(2));
    let p = page(&w, seq);
    assert_eq!((p.stamps.len(), p.missing.len()), (2, 1));
}

#[test]
fn a_page_with_too_few_parts_waits_beyond_the_objective_and_goes_out_with_the_first_enough() {
    let mut w = world(0.6);
    let seq = w.ask("/page/x", ms(2500));
    w.end("s0-near", good(b'a'));
    w.pass(ms(300));
    assert!(w.ending(seq).is_none());
    w.end("s1-near", good(b'b'));
    assert_eq!(page(&w, seq).missing.len(), 1);
}

/// An auditor waits the whole deadline out for a page that cannot come any more.
/// Both replicas of two of three shards fail; it is known at once that too few parts are left.
#[test]
fn a_page_that_cannot_come_fails_at_once() {
    let mut w = world(0.6);
    let seq = w.ask("/page/x", ms(2500));
    for s in ["s0", "s1"] {
        w.end(&format!("{s}-near"), AttemptEnd::Broken);
        w.end(&format!("{s}-far"), AttemptEnd::Broken);
    }
    // Failed servers are asked once more, as long as the budget lasts.
    while w.ending(seq).is_none() {
        let again = w
            .sent
            .iter()
            .find(|d| !d.server.name.as_str().starts_with("s2"));
        let name = again.expect("an attempt").server.name.to_string();
        w.end(&name, AttemptEnd::Broken);
    }
    let outcome = &w.ending(seq).expect("it has ended").outcome;
    assert!(
        matches!(outcome, Outcome::Failed(FailReason::Failed)),
        "{outcome:?}"
    );
}

/// A page counts a shard as covered whose server answered with an error page of its own.
#[test]
fn a_servers_failure_is_no_part() {
    let mut w = world(0.6);
    let seq = w.ask("/page/x", ms(2500));
    w.end("s0-near", answered(StatusCode::INTERNAL_SERVER_ERROR, b'z'));
    assert!(w.busy().contains(&"s0-far"));
    w.end("s0-far", good(b'a'));
    w.end("s1-near", good(b'b'));
    w.end("s2-near", good(b'c'));
    let expected = [[b'c'; 16], [b'b'; 16], [b'a'; 16]].concat();
    assert_eq!(&page(&w, seq).body[..], expected);
}

/// A page lacks shards whose answers had come: the VM stood still beyond the objective, and the first answers that it
/// looked at afterwards made the page up.
#[test]
fn a_page_after_a_stand_still_holds_every_answer_that_had_come() {
    let mut w = world(0.6);
    let seq = w.ask("/page/x", ms(2500));
    let attempts = std::mem::take(&mut w.sent);
    w.now += ms(400);
    let ends = attempts.iter().map(|d| Event::Ended(d.attempt, good(b'a')));
    w.tell_together(ends);
    w.tell(Event::Tick);
    assert_eq!(page(&w, seq).missing.len(), 0);
}
