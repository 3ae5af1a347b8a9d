//! Tests of at-most-once lookups: the claim comes first, then a single attempt.

use std::time::Duration;

use gs_query::ClaimDecision;
use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::World;
use crate::world::whole;

/// Creates an at-most-once lookup whose claim is granted, on a group of one shard with two
/// replicas.
fn world_with_claim() -> (World, LookupSeq) {
    let mut w = World::new(1, 2);
    let seq = w.arrive("levy");
    assert!(w.open.is_empty(), "sent before the claim");
    assert_eq!(w.claims, [seq]);
    w.on(Event::Claim(seq, ClaimDecision::Granted));
    (w, seq)
}

#[test]
fn an_at_most_once_lookup_is_sent_after_its_claim_is_granted() {
    let (mut w, seq) = world_with_claim();
    assert_eq!(w.open.len(), 1);
    assert!(w.open[0].once);
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
}

/// Without the claim it is unknown whether an earlier submission under the key was executed, so
/// none of these refusals may be `not-run`: the caller would retry with a new key and cause a
/// second execution.
#[rstest]
#[case(ClaimDecision::Taken, RefusalReason::AlreadyClaimed, false)]
#[case(ClaimDecision::Expired, RefusalReason::KeyExpired, false)]
#[case(ClaimDecision::Unknown, RefusalReason::ClaimsAway, true)]
#[case(ClaimDecision::Refused, RefusalReason::ClaimsAway, true)]
fn without_a_granted_claim_nothing_is_sent(
    #[case] decision: ClaimDecision,
    #[case] reason: RefusalReason,
    #[case] retry: bool,
) {
    let mut w = World::new(1, 2);
    let seq = w.arrive("levy");
    w.on(Event::Claim(seq, decision));
    assert!(w.open.is_empty());
    let Outcome::Unknown(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!((r.reason, r.retry_after.is_some()), (reason, retry));
}

/// A retry reaches a VM that is leaving while the first submission is executed through another VM.
#[test]
fn a_resend_refused_on_arrival_is_not_reported_as_not_run() {
    let mut w = World::new(1, 2);
    w.on(Event::Leave);
    let seq = w.arrive("levy");
    let Outcome::Unknown(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Leaving);
}

/// The server crashes, fails or is slow after it got the request. A second attempt could be a
/// second execution, so there is none, and the outcome is `unknown`.
#[rstest]
#[case(PartReply::Broken)]
#[case(PartReply::Garbled)]
#[case(PartReply::Failed)]
#[case(PartReply::Cancelled)]
fn an_at_most_once_lookup_is_never_retried_after_it_was_sent(#[case] reply: PartReply) {
    let (mut w, seq) = world_with_claim();
    w.serve(0, reply);
    assert!(w.open.is_empty());
    let Outcome::Unknown(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Failed);
}

/// The server refused the lookup and did not execute it. The key is used up, as the claim was
/// granted to this lookup; nothing was or can be executed under it, so the caller may retry with a
/// new key.
#[rstest]
#[case(PartReply::Shed { retry_after: Duration::from_millis(5) })]
#[case(PartReply::Draining)]
fn a_refusal_by_the_server_is_not_run_without_retry_after(#[case] reply: PartReply) {
    let (mut w, seq) = world_with_claim();
    w.serve(0, reply);
    assert!(w.open.is_empty());
    let Outcome::NotRun(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.retry_after, None);
}

#[test]
fn an_attempt_that_was_not_sent_may_be_retried_at_another_server() {
    let (mut w, seq) = world_with_claim();
    let d = w.take(0);
    w.reply(&d, PartReply::NotSent);
    assert_eq!(w.open.len(), 1);
    assert_ne!(w.open[0].server.name, d.server.name);
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
}

#[test]
fn an_at_most_once_lookup_is_never_hedged() {
    let (mut w, _) = world_with_claim();
    let d = w.take(0);
    w.sent(&d);
    for _ in 0..18 {
        w.advance(Duration::from_millis(10));
    }
    assert!(w.open.is_empty());
}

/// The claim is decided only after the caller's deadline. The lookup has ended by then and must not
/// be sent.
#[test]
fn a_claim_granted_too_late_sends_nothing() {
    let mut w = World::new(1, 1);
    let seq = w.arrive("levy");
    w.advance(Duration::from_millis(199));
    let Outcome::Unknown(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::ClaimsAway);
    w.on(Event::Claim(seq, ClaimDecision::Granted));
    assert!(w.open.is_empty());
}

/// The caller disconnects while its lookup is at a server. Cancelling it would leave unknown
/// whether it was executed, so it continues.
#[test]
fn an_at_most_once_lookup_continues_when_the_caller_disconnects() {
    let (mut w, seq) = world_with_claim();
    let d = w.take(0);
    w.sent(&d);
    w.on(Event::Gone(seq));
    assert!(w.cancelled.is_empty());
    w.reply(&d, whole(&d));
    assert!(w.answers.is_empty());
}
