//! Tests of requests that may be executed at most once.

use gs_relay::AttemptEnd;
use gs_relay::Event;
use gs_relay::FailReason;
use gs_relay::Outcome;
use gs_relay::RefuseReason;
use gs_relay::RepeatPolicy;
use gs_types::prelude::*;
use http::StatusCode;
use rstest::rstest;

use crate::world::World;
use crate::world::answered;
use crate::world::ms;
use crate::world::one_route;
use crate::world::shed;
use crate::world::success;
use crate::world::table;

fn world() -> World {
    World::new(table(1, vec![one_route(RepeatPolicy::Once)])).with_server_pairs(&["desk"])
}

fn outcome(w: &World, seq: LookupSeq) -> &Outcome {
    &w.report(seq).expect("it has ended").outcome
}

/// A server executes a renewal, and its answer is lost. Sent to a second server, the renewal would
/// be executed twice, and the reader would get two invoices.
#[rstest]
#[case::broken(AttemptEnd::Broken)]
#[case::garbled(AttemptEnd::Garbled)]
#[case::late(AttemptEnd::Late(ms(8000)))]
fn a_request_that_may_have_been_executed_is_not_retried(#[case] end: AttemptEnd) {
    let mut w = world();
    let seq = w.arrive("/one/x", ms(8000));
    w.end_attempt("desk-near", end);
    assert_eq!(w.busy_servers(), Vec::<&str>::new());
    assert!(matches!(
        outcome(&w, seq),
        Outcome::Failed(FailReason::Failed)
    ));
}

#[rstest]
#[case::shed(shed())]
#[case::wrong_server(AttemptEnd::WrongServer)]
#[case::not_sent(AttemptEnd::NotSent)]
fn a_request_that_was_not_executed_is_sent_to_another_server(#[case] end: AttemptEnd) {
    let mut w = world();
    let seq = w.arrive("/one/x", ms(8000));
    w.end_attempt("desk-near", end);
    assert_eq!(w.busy_servers(), ["desk-far"]);
    w.end_attempt("desk-far", success(b'a'));
    assert!(matches!(outcome(&w, seq), Outcome::Relayed(_)));
}

#[test]
fn a_request_that_reached_no_server_is_refused_with_a_time_to_retry() {
    let mut w = world();
    let seq = w.arrive("/one/x", ms(8000));
    w.end_attempt("desk-near", AttemptEnd::NotSent);
    w.end_attempt("desk-far", AttemptEnd::NotSent);
    let Outcome::Refused(RefuseReason::Overload, Some(retry)) = outcome(&w, seq) else {
        panic!("{:?}", outcome(&w, seq));
    };
    assert!(*retry >= ms(50), "{retry:?}");
}

#[test]
fn a_request_executed_at_most_once_is_never_hedged() {
    let mut w = world();
    w.arrive("/one/x", ms(8000));
    w.advance(ms(7000));
    assert_eq!(w.busy_servers(), ["desk-near"]);
}

/// A server answers 503 to a request that it has executed. Forwarded, the 503 would promise that
/// nothing was executed, and a clerk would book the same levy again.
#[rstest]
#[case(StatusCode::SERVICE_UNAVAILABLE)]
#[case(StatusCode::TOO_MANY_REQUESTS)]
#[case(StatusCode::REQUEST_TIMEOUT)]
fn a_status_that_implies_no_execution_is_not_forwarded(#[case] status: StatusCode) {
    let mut w = world();
    let seq = w.arrive("/one/x", ms(8000));
    w.end_attempt("desk-near", answered(status, b'a'));
    assert!(matches!(
        outcome(&w, seq),
        Outcome::Failed(FailReason::Failed)
    ));
}

#[test]
fn a_server_error_is_forwarded_unchanged() {
    let mut w = world();
    let seq = w.arrive("/one/x", ms(8000));
    w.end_attempt(
        "desk-near",
        answered(StatusCode::INTERNAL_SERVER_ERROR, b'a'),
    );
    let Outcome::Relayed(answer) = outcome(&w, seq) else {
        panic!("{:?}", outcome(&w, seq));
    };
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(answer.stamp.as_deref(), Some(&b"stamp-97"[..]));
}

/// Prevents a server from continuing work for a caller that has disconnected.
#[test]
fn a_caller_disconnect_cancels_the_attempt() {
    let mut w = world();
    let seq = w.arrive("/one/x", ms(8000));
    w.on(Event::CallerDisconnected(seq));
    assert_eq!(w.cancelled, [w.open[0].attempt]);
    assert_eq!(w.relay.in_flight(), 0);
}
