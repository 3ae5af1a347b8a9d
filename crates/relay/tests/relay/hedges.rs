//! Tests of hedges and of the budget that limits them.

use std::time::Instant;

use gs_relay::ExtraAttemptBudget;

use crate::world::World;
use crate::world::ms;
use crate::world::success;

/// A server stalls for 200 ms as a request arrives. Without a hedge, the page would miss its
/// objective.
#[test]
fn a_slow_attempt_is_hedged_well_before_the_objective() {
    let mut w = World::with_learned_latency();
    let seq = w.arrive("/page/x", ms(2500));
    w.advance(ms(44));
    assert_eq!(w.busy_servers(), ["s0-near"]);
    // 0.3 of the objective of 150 ms.
    w.advance(ms(2));
    assert_eq!(w.busy_servers(), ["s0-near", "s0-far"]);
    w.advance(ms(20));
    w.end_attempt("s0-far", success(b'b'));
    assert!(w.report(seq).expect("it has ended").took < ms(70));
}

/// A server has stalled. Requests that are still sent to it during the next 150 ms would each wait
/// for their own hedge delay.
#[test]
fn new_requests_avoid_a_stalled_server() {
    let mut w = World::with_learned_latency();
    w.arrive("/page/x", ms(2500));
    w.advance(ms(46));
    w.arrive("/page/y", ms(2500));
    let last = w.open.back().expect("an attempt");
    assert_eq!(last.server.name.as_str(), "s0-far");
}

/// Attempts were sent to a server just before its stall was detected. They are hedged immediately
/// instead of after their own hedge delays.
#[test]
fn attempts_at_a_stalled_server_are_hedged_immediately() {
    let mut w = World::with_learned_latency();
    w.arrive("/page/x", ms(2500));
    w.advance(ms(20));
    w.arrive("/page/y", ms(2500));
    w.advance(ms(26));
    let far = w.busy_servers().iter().filter(|s| **s == "s0-far").count();
    assert_eq!(far, 2, "{:?}", w.busy_servers());
}

/// All servers are slow. If every request were hedged, the additional load would keep them slow.
#[test]
fn hedges_stop_at_the_budget() {
    let mut w = World::with_learned_latency();
    let before = w.relay.counters().hedges;
    for _ in 0..500 {
        w.arrive("/page/x", ms(2500));
        w.advance(ms(100));
        while let Some(d) = w.open.front() {
            let name = d.server.name.to_string();
            w.end_attempt(&name, success(b'a'));
        }
    }
    let hedges = w.relay.counters().hedges - before;
    // In each of five windows 0.18 for each of 100 requests and 4 more, less the quarter that is
    // reserved for retries.
    assert!((20..=85).contains(&hedges), "{hedges}");
    assert!(w.relay.counters().extra_refused > 0);
}

#[test]
fn extra_attempts_before_the_window_do_not_count() {
    let mut budget = ExtraAttemptBudget::new(ms(10_000), 0.2, 1.0);
    let start = Instant::now();
    assert!(budget.try_take(start, false));
    assert!(!budget.try_take(start + ms(9000), false));
    assert!(budget.try_take(start + ms(10_600), false));
}

#[test]
fn the_budget_is_a_share_of_the_requests_with_a_reserve_for_retries() {
    let mut budget = ExtraAttemptBudget::new(ms(10_000), 0.2, 0.0);
    let now = Instant::now();
    for _ in 0..100 {
        budget.note_request(now);
    }
    let hedges = (0..100).filter(|_| budget.try_take(now, true)).count();
    let retries = (0..100).filter(|_| budget.try_take(now, false)).count();
    assert_eq!((hedges, retries), (15, 5));
}

#[test]
fn an_extra_attempt_given_back_can_be_taken_again() {
    let mut budget = ExtraAttemptBudget::new(ms(10_000), 0.0, 1.0);
    let now = Instant::now();
    assert!(budget.try_take(now, false));
    budget.give_back(now);
    assert!(budget.try_take(now, false));
    assert!(!budget.try_take(now, false));
}
