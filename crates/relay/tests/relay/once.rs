//! Requests that may run at most once.

use gs_relay::AttemptEnd;
use gs_relay::Event;
use gs_relay::FailReason;
use gs_relay::Outcome;
use gs_relay::RefuseReason;
use gs_relay::Repeat;
use gs_types::prelude::*;
use http::StatusCode;
use rstest::rstest;

use crate::world::World;
use crate::world::answered;
use crate::world::good;
use crate::world::ms;
use crate::world::one_route;
use crate::world::shed;
use crate::world::table;

fn world() -> World {
    World::new(table(1, vec![one_route(Repeat::Once)])).with_pairs(&["desk"])
}

fn outcome(w: &World, seq: LookupSeq) -> &Outcome {
    &w.ending(seq).expect("it has ended").outcome
}

/// A reader gets two invoices: the first server ran the renewal and its answer was lost, and the
/// renewal was sent to a second one.
#[rstest]
#[case::broken(AttemptEnd::Broken)]
#[case::garbled(AttemptEnd::Garbled)]
#[case::late(AttemptEnd::Late(ms(8000)))]
fn what_may_have_run_is_not_sent_again(#[case] end: AttemptEnd) {
    let mut w = world();
    let seq = w.ask("/one/x", ms(8000));
    w.end("desk-near", end);
    assert_eq!(w.busy(), Vec::<&str>::new());
    assert!(matches!(
        outcome(&w, seq),
        Outcome::Failed(FailReason::Failed)
    ));
}

#[rstest]
#[case::shed(shed())]
#[case::wrong_server(AttemptEnd::WrongServer)]
#[case::not_sent(AttemptEnd::NotSent)]
fn what_did_not_run_is_sent_to_another_server(#[case] end: AttemptEnd) {
    let mut w = world();
    let seq = w.ask("/one/x", ms(8000));
    w.end("desk-near", end);
    assert_eq!(w.busy(), ["desk-far"]);
    w.end("desk-far", good(b'a'));
    assert!(matches!(outcome(&w, seq), Outcome::Relayed(_)));
}

#[test]
fn what_no_server_took_is_refused_with_a_time_to_come_back() {
    let mut w = world();
    let seq = w.ask("/one/x", ms(8000));
    w.end("desk-near", AttemptEnd::NotSent);
    w.end("desk-far", AttemptEnd::NotSent);
    let Outcome::Refused(RefuseReason::Overload, Some(retry)) = outcome(&w, seq) else {
        panic!("{:?}", outcome(&w, seq));
    };
    assert!(*retry >= ms(50), "{retry:?}");
}

#[test]
fn it_is_never_hedged() {
    let mut w = world();
    w.ask("/one/x", ms(8000));
    w.pass(ms(7000));
    assert_eq!(w.busy(), ["desk-near"]);
}

/// A clerk is told that a levy was not booked, and books it again: a server answered 503 to a request
/// that it had run, and the 503 was handed on, which promises that nothing ran.
#[rstest]
#[case(StatusCode::SERVICE_UNAVAILABLE)]
#[case(StatusCode::TOO_MANY_REQUESTS)]
#[case(StatusCode::REQUEST_TIMEOUT)]
fn a_servers_promise_that_it_did_not_make_is_not_handed_on(#[case] status: StatusCode) {
    let mut w = world();
    let seq = w.ask("/one/x", ms(8000));
    w.end("desk-near", answered(status, b'a'));
    assert!(matches!(
        outcome(&w, seq),
        Outcome::Failed(FailReason::Failed)
    ));
}

#[test]
fn a_servers_own_failure_is_handed_on_unchanged() {
    let mut w = world();
    let seq = w.ask("/one/x", ms(8000));
    w.end(
        "desk-near",
        answered(StatusCode::INTERNAL_SERVER_ERROR, b'a'),
    );
    let Outcome::Relayed(answer) = outcome(&w, seq) else {
        panic!("{:?}", outcome(&w, seq));
    };
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(answer.stamp.as_deref(), Some(&b"stamp-97"[..]));
}

/// A server goes on with work for a caller that has hung up.
#[test]
fn a_caller_that_hangs_up_stops_its_work() {
    let mut w = world();
    let seq = w.ask("/one/x", ms(8000));
    w.tell(Event::CallerDisconnected(seq));
    assert_eq!(w.cancelled, [w.sent[0].attempt]);
    assert_eq!(w.relay.in_flight(), 0);
}
