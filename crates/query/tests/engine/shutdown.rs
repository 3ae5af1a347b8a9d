//! Tests of the lookups that a process has, or gets, while it shuts down.

use std::time::Duration;

use gs_query::ClaimDecision;
use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::World;
use crate::world::group;

/// The time from the beginning of a shutdown until every lookup must have its outcome; shorter than the deadlines.
const ANSWER_WITHIN: Duration = Duration::from_millis(120);

const MS: Duration = Duration::from_millis(1);

/// Begins a shutdown.
fn shut_down(w: &mut World) {
    w.on(Event::ShutDown(ANSWER_WITHIN));
}

/// Creates a world whose servers take this long for a part.
fn world_with_latency(latency: Duration) -> World {
    let mut w = World::new(1, 1);
    for _ in 0..4 {
        w.arrive("complete");
        let d = w.take(0);
        w.sent(&d);
        w.advance(latency);
        w.reply(&d, crate::world::whole(&d));
    }
    w
}

/// Prevents a lookup without an answer at the exit, whenever it arrived before the shutdown and however long its server
/// is silent.
#[rstest]
fn a_lookup_at_a_silent_server_gets_its_outcome_before_the_exit(
    #[values("urgent", "complete", "levy")] lookup: &str,
    #[values(0, 1, 40, 70)] sent_before_ms: u32,
) {
    let mut w = World::new(1, 2);
    let seq = w.arrive(lookup);
    if lookup == "levy" {
        w.on(Event::Claim(seq, ClaimDecision::Granted));
    }
    let d = w.take(0);
    w.sent(&d);
    w.advance(MS * sent_before_ms);
    shut_down(&mut w);
    w.advance(ANSWER_WITHIN - MS);
    assert!(!w.is_finished(seq), "ended sooner than it must");
    w.advance(MS);
    let outcome = w.outcome(seq);
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
    assert_eq!(w.engine.in_flight(), 0);
}

/// Prevents the same for lookups that arrive during the shutdown, at every phase of it.
#[rstest]
fn a_lookup_that_arrives_during_the_shutdown_gets_an_outcome_before_the_exit(
    #[values("urgent", "complete", "levy")] lookup: &str,
) {
    for phase in (0..=130).map(|n| MS * n) {
        let mut w = World::new(1, 2);
        shut_down(&mut w);
        w.advance(phase);
        let seq = w.arrive(lookup);
        let claimed = w.claims.contains(&seq);
        if claimed {
            w.on(Event::Claim(seq, ClaimDecision::Granted));
        }
        w.advance(ANSWER_WITHIN.saturating_sub(phase));
        assert!(w.is_finished(seq), "no outcome at phase {phase:?}");
        assert_eq!(w.engine.in_flight(), 0);
    }
}

/// Prevents a lookup whose claim may still be made from being reported as not run at the exit.
#[test]
fn a_lookup_that_waits_for_its_claim_at_the_exit_ends_as_unknown() {
    let mut w = World::new(1, 2);
    let seq = w.arrive("levy");
    shut_down(&mut w);
    w.advance(ANSWER_WITHIN);
    let Outcome::Unknown(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::ClaimsAway);
    w.on(Event::Claim(seq, ClaimDecision::Granted));
    assert!(w.open.is_empty(), "sent after its outcome");
}

/// Prevents a lookup that waits for a connection from being reported as if it might have run, and from waiting in a
/// queue that no longer knows it.
#[test]
fn a_queued_lookup_is_not_run_at_the_exit() {
    let mut w = World::new(1, 1);
    w.share_all(&group(1, 1, &[(1, 1)]), 1);
    let seqs: Vec<_> = (0..3).map(|_| w.arrive("complete")).collect();
    let sent = w.take(0);
    w.sent(&sent);
    shut_down(&mut w);
    w.advance(MS);
    w.reply(&sent, crate::world::whole(&sent));
    let next = w.take(0);
    assert_eq!(next.attempt.lookup, seqs[1], "not the first of the queue");
    w.sent(&next);
    w.advance(ANSWER_WITHIN);
    assert!(matches!(w.outcome(seqs[1]), Outcome::Unknown(_)));
    let Outcome::NotRun(r) = w.outcome(seqs[2]) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(
        (r.reason, r.retry_after.is_some()),
        (RefusalReason::TooLate, true)
    );
    w.reply(&next, PartReply::Cancelled);
    assert!(w.open.is_empty(), "sent after its outcome");
}

/// Prevents a lookup that cannot end before the exit from being sent to a server, where it may run without an answer.
#[test]
fn a_lookup_that_cannot_be_expected_to_end_before_the_exit_is_refused_at_once() {
    let mut w = world_with_latency(MS * 50);
    shut_down(&mut w);
    w.advance(ANSWER_WITHIN - MS * 60);
    let seq = w.arrive("complete");
    let Outcome::NotRun(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(
        (r.reason, r.retry_after.is_some()),
        (RefusalReason::Leaving, true)
    );
    assert!(w.open.is_empty());
}

/// Prevents an idempotency key from being used up by a claim that is made too late to send its lookup.
#[test]
fn an_at_most_once_lookup_without_time_for_its_claim_makes_none() {
    let mut w = World::new(1, 2);
    shut_down(&mut w);
    let seq = w.arrive("levy");
    assert!(w.claims.is_empty());
    let Outcome::Unknown(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(
        (r.reason, r.retry_after.is_some()),
        (RefusalReason::Leaving, true)
    );
}

/// Prevents a process that shuts down from turning callers away while it can still serve them.
#[test]
fn a_lookup_that_can_end_before_the_exit_is_served() {
    let mut w = world_with_latency(MS * 5);
    shut_down(&mut w);
    w.advance(ANSWER_WITHIN - MS * 20);
    let seq = w.arrive("complete");
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
}

/// Prevents the same for a lookup whose own deadline comes before the exit.
#[test]
fn a_lookup_whose_deadline_comes_before_the_exit_is_admitted_as_ever() {
    let mut w = World::new(1, 2);
    w.on(Event::ShutDown(Duration::from_secs(5)));
    let seq = w.arrive("levy");
    w.on(Event::Claim(seq, ClaimDecision::Granted));
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
}

/// Prevents a server from running a lookup for longer than this process can wait for it.
#[test]
fn an_attempt_during_the_shutdown_tells_its_server_the_time_that_is_left() {
    let mut w = World::new(1, 1);
    shut_down(&mut w);
    w.advance(MS * 50);
    w.arrive("complete");
    assert_eq!(w.take(0).budget, ANSWER_WITHIN - MS * 50);
}

/// Prevents a lookup from keeping the late hedge of its own deadline, after which no time is left.
#[test]
fn a_lookup_at_a_silent_server_is_hedged_within_the_time_that_is_left() {
    let mut w = World::new(1, 2);
    let seq = w.arrive("complete");
    shut_down(&mut w);
    w.advance(ANSWER_WITHIN / 4);
    assert_eq!(w.open.len(), 2, "no hedge");
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
}

/// Prevents a page that has parts from being lost because the process exits before the others are in.
#[test]
fn an_urgent_lookup_with_parts_is_answered_at_the_exit() {
    let mut w = World::new(2, 1);
    let seq = w.arrive("urgent");
    shut_down(&mut w);
    let d = w.take(0);
    w.sent(&d);
    w.reply(&d, crate::world::whole(&d));
    w.advance(ANSWER_WITHIN);
    assert_eq!(w.answer(seq).coverage.whole, 1);
}
