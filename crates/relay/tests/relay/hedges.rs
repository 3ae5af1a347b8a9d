//! Second attempts beside slow ones, and the budget that bounds them.

use std::time::Instant;

use gs_relay::ExtraAttemptBudget;

use crate::world::World;
use crate::world::good;
use crate::world::ms;

/// A page misses its objective because one server paused for 200 ms as the request came in.
#[test]
fn a_slow_attempt_is_made_again_elsewhere_well_before_the_objective() {
    let mut w = World::learned();
    let seq = w.ask("/page/x", ms(2500));
    w.pass(ms(44));
    assert_eq!(w.busy(), ["s0-near"]);
    // 0.3 of the objective of 150 ms.
    w.pass(ms(2));
    assert_eq!(w.busy(), ["s0-near", "s0-far"]);
    w.pass(ms(20));
    w.end("s0-far", good(b'b'));
    assert!(w.ending(seq).expect("it has ended").took < ms(70));
}

/// Every page of the next 150 ms waits its own hedge delay out at a server that is known to pause.
#[test]
fn once_a_server_is_found_to_pause_the_next_requests_go_elsewhere() {
    let mut w = World::learned();
    w.ask("/page/x", ms(2500));
    w.pass(ms(46));
    w.ask("/page/y", ms(2500));
    let last = w.sent.back().expect("an attempt");
    assert_eq!(last.server.name.as_str(), "s0-far");
}

/// The attempts sent to a server just before its pause was noticed each wait their own delay out.
#[test]
fn what_waits_at_a_server_found_to_pause_is_made_again_at_once() {
    let mut w = World::learned();
    w.ask("/page/x", ms(2500));
    w.pass(ms(20));
    w.ask("/page/y", ms(2500));
    w.pass(ms(26));
    let far = w.busy().iter().filter(|s| **s == "s0-far").count();
    assert_eq!(far, 2, "{:?}", w.busy());
}

/// Servers that are slow everywhere get every request twice, and stay slow for it.
#[test]
fn hedges_stop_at_the_budget() {
    let mut w = World::learned();
    let before = w.relay.counters().hedges;
    for _ in 0..500 {
        w.ask("/page/x", ms(2500));
        w.pass(ms(100));
        while let Some(d) = w.sent.front() {
            let name = d.server.name.to_string();
            w.end(&name, good(b'a'));
        }
    }
    let hedges = w.relay.counters().hedges - before;
    // In each of five windows 0.18 for each of 100 requests and 4 besides, less the quarter that is
    // kept for retries.
    assert!((20..=85).contains(&hedges), "{hedges}");
    assert!(w.relay.counters().extra_refused > 0);
}

#[test]
fn a_window_forgets_what_has_left_it() {
    let mut b = ExtraAttemptBudget::new(ms(10_000), 0.2, 1.0);
    let start = Instant::now();
    assert!(b.take(start, false));
    assert!(!b.take(start + ms(9000), false));
    assert!(b.take(start + ms(10_600), false));
}

#[test]
fn a_window_allows_its_share_of_the_requests_and_keeps_some_for_retries() {
    let mut b = ExtraAttemptBudget::new(ms(10_000), 0.2, 0.0);
    let now = Instant::now();
    for _ in 0..100 {
        b.note_request(now);
    }
    let hedges = (0..100).filter(|_| b.take(now, true)).count();
    let retries = (0..100).filter(|_| b.take(now, false)).count();
    assert_eq!((hedges, retries), (15, 5));
}

#[test]
fn what_was_given_back_can_be_taken_again() {
    let mut b = ExtraAttemptBudget::new(ms(10_000), 0.0, 1.0);
    let now = Instant::now();
    assert!(b.take(now, false));
    b.give_back();
    assert!(b.take(now, false));
    assert!(!b.take(now, false));
}
