//! Tests that each caller gets the answer to its own request.

use std::time::Duration;

use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::World;
use crate::world::brute_force;
use crate::world::name;
use crate::world::whole;

/// A reply is duplicated. Counted twice, it would report a shard as answered that never replied.
#[test]
fn a_duplicate_reply_counts_once() {
    let mut w = World::new(3, 1);
    let seq = w.arrive("urgent");
    let d = w.serve(0, PartReply::Failed);
    let first = w.take(1);
    w.sent(&first);
    w.reply(&first, whole(&first));
    w.reply(&first, whole(&first));
    w.reply(&d, whole(&d));
    w.open.clear();
    w.advance(Duration::from_millis(199));
    let a = w.answer(seq);
    assert_eq!(a.coverage.whole, 1);
    assert_eq!(a.hits, brute_force(1, &[1], 5));
}

#[rstest]
#[case::other_vm("vm-2", 7)]
#[case::earlier_incarnation("vm-1", 6)]
fn a_reply_to_another_processs_attempt_is_dropped(#[case] vm: &str, #[case] incarnation: u64) {
    let mut w = World::new(1, 1);
    let seq = w.arrive("urgent");
    let mut d = w.take(0);
    w.sent(&d);
    d.attempt.vm = name(vm);
    d.attempt.incarnation = Incarnation(incarnation);
    w.reply(&d, whole(&d));
    assert!(!w.is_finished(seq));
    assert_eq!(w.engine.counters().stray_replies, 1);
}

/// The replies of two concurrent lookups arrive in reverse order. Each page must contain only the
/// parts of its own attempts, which are identified by their ids.
#[test]
fn replies_of_two_lookups_in_any_order_reach_their_lookups() {
    let mut w = World::new(2, 1);
    let a = w.arrive("urgent");
    let b = w.arrive("urgent");
    let open = std::mem::take(&mut w.open);
    for d in open.iter().rev() {
        w.sent(d);
        w.reply(d, whole(d));
    }
    assert_eq!(w.answer(a).hits, brute_force(1, &[0, 1], 5));
    assert_eq!(w.answer(b).hits, brute_force(1, &[0, 1], 5));
}

#[test]
fn a_reply_after_the_answer_only_frees_the_connection() {
    let mut w = World::new(1, 1);
    let seq = w.arrive("urgent");
    let d = w.take(0);
    w.sent(&d);
    w.advance(Duration::from_millis(199));
    assert!(w.is_finished(seq));
    assert_eq!(w.engine.dump(w.now).servers[0].in_flight, 1);
    w.reply(&d, whole(&d));
    assert_eq!(w.engine.dump(w.now).servers[0].in_flight, 0);
    assert_eq!(w.answers.len(), 1);
}

#[test]
fn a_disconnected_caller_gets_no_answer_and_its_attempts_are_cancelled() {
    let mut w = World::new(2, 1);
    let seq = w.arrive("urgent");
    w.on(Event::Gone(seq));
    assert_eq!(w.cancelled.len(), 2);
    assert_eq!((w.answers.len(), w.engine.in_flight()), (0, 0));
}
