//! Tests of the requests that a process has, or gets, while it shuts down.

use std::time::Duration;

use gs_relay::AttemptEnd;
use gs_relay::Event;
use gs_relay::FailReason;
use gs_relay::Outcome;
use gs_relay::RefuseReason;
use gs_relay::RepeatPolicy;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::HERE;
use crate::world::World;
use crate::world::ms;
use crate::world::one_route;
use crate::world::page_route;
use crate::world::success;
use crate::world::table;
use crate::world::vm;

/// The time from the beginning of a shutdown until every request must have its final response.
const ANSWER_AFTER: Duration = ms_const(5400);

/// How long a caller waits, which is longer than the shutdown takes.
const CALLER_TIMEOUT: Duration = ms_const(8000);

const fn ms_const(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Creates a world with a service of two servers behind `/one/`.
fn world(repeat: RepeatPolicy) -> World {
    let mut w = World::new(table(1, vec![one_route(repeat)])).with_server_pairs(&["desk"]);
    w.advance(ms(300));
    w
}

/// Begins a shutdown.
fn shut_down(w: &mut World) {
    w.on(Event::ShutDown(w.now + ANSWER_AFTER));
}

fn outcome(w: &World, seq: LookupSeq) -> Option<&Outcome> {
    w.report(seq).map(|r| &r.outcome)
}

/// Prevents a request without an answer at the exit, whenever it arrived before the shutdown and however long its
/// server is silent.
#[rstest]
fn a_request_at_a_silent_server_gets_its_final_response_before_the_exit(
    #[values(RepeatPolicy::Once, RepeatPolicy::Safe)] repeat: RepeatPolicy,
    #[values(0, 1, 700, 2000)] sent_before_ms: u64,
) {
    let mut w = world(repeat);
    let seq = w.arrive("/one/x", CALLER_TIMEOUT);
    w.advance(ms(sent_before_ms));
    shut_down(&mut w);
    w.advance(ANSWER_AFTER - ms(1));
    assert!(outcome(&w, seq).is_none(), "ended sooner than it must");
    w.advance(ms(1));
    let outcome = outcome(&w, seq);
    assert!(
        matches!(outcome, Some(Outcome::Failed(FailReason::Late))),
        "{outcome:?}"
    );
    assert_eq!(w.relay.in_flight(), 0);
}

/// Prevents the same for requests that arrive during the shutdown, at every phase of it.
#[rstest]
fn a_request_that_arrives_during_the_shutdown_gets_a_final_response_before_the_exit(
    #[values(RepeatPolicy::Once, RepeatPolicy::Safe)] repeat: RepeatPolicy,
) {
    for phase in (0..=60).map(|n| ms(n * 100)) {
        let mut w = world(repeat);
        shut_down(&mut w);
        let answer_by = w.now + ANSWER_AFTER;
        w.advance(phase);
        let seq = w.arrive("/one/x", CALLER_TIMEOUT);
        w.advance(answer_by.saturating_duration_since(w.now));
        assert!(w.report(seq).is_some(), "no answer at phase {phase:?}");
        assert_eq!(w.relay.in_flight(), 0);
    }
}

/// Prevents a request that waits for a server from being answered as if it might have run.
#[test]
fn a_request_that_was_not_sent_is_refused_as_not_executed_at_the_exit() {
    let mut w =
        World::new(table(1, vec![one_route(RepeatPolicy::Once)])).with_server_pairs(&["desk"]);
    let seqs: Vec<_> = (0..300)
        .map(|_| w.arrive("/one/x", CALLER_TIMEOUT))
        .collect();
    let sent: Vec<_> = w.open.iter().map(|d| d.attempt.lookup).collect();
    assert!(sent.len() < seqs.len(), "none waits");
    shut_down(&mut w);
    w.advance(ANSWER_AFTER);
    for seq in seqs {
        let is_refused = matches!(outcome(&w, seq), Some(Outcome::Refused(..)));
        assert_eq!(
            is_refused,
            !sent.contains(&seq),
            "{seq} {:?}",
            outcome(&w, seq)
        );
    }
}

/// Prevents a request that cannot end before the exit from being sent to a server, where it may run without an answer.
#[rstest]
#[case::once(RepeatPolicy::Once)]
#[case::safe(RepeatPolicy::Safe)]
fn a_request_that_cannot_be_expected_to_end_before_the_exit_is_refused_at_once(
    #[case] repeat: RepeatPolicy,
) {
    let mut w = world(repeat);
    for _ in 0..40 {
        w.arrive("/one/x", CALLER_TIMEOUT);
        w.advance(ms(900));
        while let Some(server) = w.busy_servers().first().map(|s| (*s).to_owned()) {
            w.end_attempt(&server, success(b'a'));
        }
    }
    shut_down(&mut w);
    w.advance(ANSWER_AFTER - ms(500));
    let open = w.open.len();
    let seq = w.arrive("/one/x", CALLER_TIMEOUT);
    let outcome = outcome(&w, seq);
    assert!(
        matches!(
            outcome,
            Some(Outcome::Refused(RefuseReason::ShuttingDown, Some(_)))
        ),
        "{outcome:?}"
    );
    assert_eq!(w.open.len(), open);
}

/// Prevents a process that shuts down from turning callers away while it can still serve them.
#[test]
fn a_request_that_can_end_before_the_exit_is_served() {
    let mut w = world(RepeatPolicy::Once);
    shut_down(&mut w);
    w.advance(ms(4000));
    let seq = w.arrive("/one/x", CALLER_TIMEOUT);
    w.advance(ms(20));
    let server = w.busy_servers()[0].to_owned();
    w.end_attempt(&server, success(b'a'));
    assert!(matches!(outcome(&w, seq), Some(Outcome::Relayed(_))));
}

/// Prevents a server from running a request for longer than this process can wait for it.
#[test]
fn a_request_sent_during_the_shutdown_tells_servers_the_time_that_is_left() {
    let mut w = world(RepeatPolicy::Safe);
    shut_down(&mut w);
    w.advance(ms(3000));
    w.arrive("/one/x", CALLER_TIMEOUT);
    let left = ANSWER_AFTER - ms(3000);
    assert!(w.open.iter().all(|d| d.time_left <= left));
    assert!(!w.open.is_empty());
}

/// Prevents a page that has enough parts from failing because the process exits before the others are in.
#[test]
fn a_page_with_enough_parts_is_delivered_at_the_exit() {
    let shards = ["s0", "s1"];
    let mut w = World::new(table(1, vec![page_route(&shards, 0.5)])).with_server_pairs(&shards);
    shut_down(&mut w);
    w.advance(ANSWER_AFTER - ms(100));
    let seq = w.arrive("/page/x", ms(2500));
    w.advance(ms(10));
    let server = w.busy_servers()[0].to_owned();
    w.end_attempt(&server, success(b'a'));
    w.advance(ms(90));
    assert!(matches!(outcome(&w, seq), Some(Outcome::Page(_))));
}

/// Prevents an answer from being lost that arrives together with the last moment of the process.
#[test]
fn a_failed_attempt_at_the_last_moment_still_gets_a_final_response() {
    let mut w = world(RepeatPolicy::Safe);
    let seq = w.arrive("/one/x", CALLER_TIMEOUT);
    shut_down(&mut w);
    w.advance(ANSWER_AFTER - ms(1));
    let server = w.busy_servers()[0].to_owned();
    w.end_attempt(&server, AttemptEnd::Broken);
    w.advance(ms(1));
    assert!(w.report(seq).is_some());
}

/// Prevents a caller from being sent to another VM that is stopping too, or from being held off while others serve.
#[rstest]
#[case::others_serve(true)]
#[case::all_are_stopped(false)]
fn a_refused_caller_is_told_when_a_vm_can_serve_it(#[case] is_other_announced: bool) {
    let mut w = world(RepeatPolicy::Safe);
    let mut vms = vec![vm("vm-1", HERE, "hobart", 1.0)];
    if is_other_announced {
        vms.push(vm("vm-2", HERE, "hobart", 1.0));
    }
    w.on(Event::Vms(vms));
    shut_down(&mut w);
    w.advance(ANSWER_AFTER);
    let seq = w.arrive("/one/x", CALLER_TIMEOUT);
    let Some(Outcome::Refused(RefuseReason::ShuttingDown, Some(retry))) = outcome(&w, seq) else {
        panic!("{:?}", outcome(&w, seq));
    };
    assert_eq!(*retry < ms(100), is_other_announced, "{retry:?}");
}
