//! Tests that a refusal is `not-run` only if nothing was executed.

use std::time::Duration;

use gs_query::EngineOptions;
use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::World;
use crate::world::group;

/// Returns the name of a lookup's outcome.
fn outcome_name(w: &World, seq: LookupSeq) -> &'static str {
    match w.outcome(seq) {
        Outcome::Answered(_) => "answered",
        Outcome::NotRun(_) => "not-run",
        Outcome::Unknown(_) => "unknown",
    }
}

#[rstest]
#[case::draining(PartReply::Draining, "not-run")]
#[case::no_snapshot(PartReply::NoSnapshot { holds: Default::default() }, "not-run")]
#[case::failed(PartReply::Failed, "unknown")]
#[case::broken(PartReply::Broken, "unknown")]
fn a_lookup_is_not_run_only_if_its_attempt_was_not_executed(
    #[case] reply: PartReply,
    #[case] expected: &str,
) {
    let options = EngineOptions {
        tries_max: 1,
        ..EngineOptions::default()
    };
    let mut w = World::with(options, &group(1, 1, &[(1, 1)]));
    let seq = w.arrive("complete");
    w.serve(0, reply);
    assert_eq!(outcome_name(&w, seq), expected);
}

/// The deadline passes while an attempt is dispatched but not reported as sent. The I/O driver
/// (shell) may be sending its first byte at that moment, so it may be executed.
#[test]
fn an_attempt_not_reported_as_sent_by_the_driver_may_have_run() {
    let mut w = World::new(1, 1);
    let seq = w.arrive("complete");
    w.advance(Duration::from_millis(199));
    assert_eq!(outcome_name(&w, seq), "unknown");
}

#[test]
fn a_lookup_that_was_only_queued_is_not_run() {
    let mut w = World::new(1, 1);
    w.share_all(&group(1, 1, &[(1, 1)]), 0);
    let seq = w.arrive("urgent");
    assert!(w.open.is_empty());
    w.advance(Duration::from_millis(199));
    let Outcome::NotRun(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::TooLate);
    assert!(r.retry_after.is_some());
}

#[test]
fn a_leaving_process_refuses_new_lookups_and_finishes_those_in_flight() {
    let mut w = World::new(2, 1);
    let old = w.arrive("complete");
    w.on(Event::Leave);
    let new = w.arrive("complete");
    let Outcome::NotRun(r) = w.outcome(new) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Leaving);
    w.serve_all();
    assert_eq!(outcome_name(&w, old), "answered");
    assert_eq!(w.engine.in_flight(), 0);
}

#[test]
fn lookups_that_cannot_end_in_time_are_refused_as_overload() {
    let mut w = World::new(1, 1);
    // A latency of 50 ms per part makes the expected queueing time exceed the deadline.
    for _ in 0..4 {
        w.arrive("complete");
        let d = w.take(0);
        w.sent(&d);
        w.advance(Duration::from_millis(50));
        w.reply(&d, crate::world::whole(&d));
    }
    let seqs: Vec<_> = (0..12).map(|_| w.arrive("complete")).collect();
    let refused: Vec<_> = seqs.iter().filter(|s| w.is_finished(**s)).collect();
    assert!(!refused.is_empty(), "nothing refused");
    assert!(refused.len() < 11, "all but one refused");
    for seq in refused {
        let Outcome::NotRun(r) = w.outcome(*seq) else {
            panic!("{:?}", w.answers);
        };
        assert_eq!(r.reason, RefusalReason::Overload);
        assert!(r.retry_after.is_some());
    }
}

#[test]
fn a_deadline_of_zero_is_refused_and_nothing_is_sent() {
    let mut w = World::new(1, 1);
    let mut req = World::request("urgent", "pine");
    req.deadline = Some(Duration::ZERO);
    let seq = w.arrive_with(req);
    assert_eq!(outcome_name(&w, seq), "not-run");
    assert!(w.open.is_empty());
}

#[rstest]
#[case::zero_tries_max(EngineOptions { tries_max: 0, ..Default::default() }, "tries_max")]
#[case::zero_lookups_max(EngineOptions { lookups_max: 0, ..Default::default() }, "lookups_max")]
#[case::not_a_number(EngineOptions { extra_ratio: f64::NAN, ..Default::default() }, "extra_ratio")]
#[case::hedge_quantile_of_one(EngineOptions { hedge_quantile: 1.0, ..Default::default() }, "hedge_quantile")]
fn an_option_out_of_range_is_named(#[case] options: EngineOptions, #[case] named: &str) {
    let e = options.check().expect_err("out of range");
    assert_eq!(
        e.to_string(),
        format!("`{named}` is out of range (step: check engine options)")
    );
}

/// A failed attempt is reported after the deadline but before the timer that ends the lookup,
/// because the process was paused. No further attempt may be made, since its answer could not be
/// used.
#[test]
fn no_attempt_is_made_after_the_deadline() {
    let mut w = World::new(1, 2);
    let seq = w.arrive("complete");
    let d = w.take(0);
    w.sent(&d);
    w.now += Duration::from_millis(300);
    w.reply(&d, PartReply::Failed);
    assert!(w.open.is_empty());
    assert_eq!(outcome_name(&w, seq), "unknown");
}
