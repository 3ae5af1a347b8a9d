//! Tests that the end of a server counts against the requests that it had, and nothing else does.

use std::sync::Arc;
use std::time::Duration;

use gs_relay::AttemptEnd;
use gs_relay::CrashReport;
use gs_relay::Event;
use gs_relay::ExecutedServices;
use gs_relay::Observation;
use gs_relay::Outcome;
use gs_relay::RefuseReason;
use gs_relay::RepeatPolicy;
use gs_relay::Route;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::HERE;
use crate::world::World;
use crate::world::entry;
use crate::world::ms;
use crate::world::one_route;
use crate::world::page_route;
use crate::world::success;
use crate::world::table;

/// The path of the request that crashes servers, or is suspected of it.
const PATH: &str = "/one/x";

/// The path of a fan-out.
const PAGE: &str = "/page/x";

const SHARDS: [&str; 3] = ["s0", "s1", "s2"];

/// How many servers a request may crash before it is refused.
const CRASHES: usize = 3;

fn world() -> World {
    let mut w = World::new(table(1, vec![one_route(RepeatPolicy::Safe)]));
    (0..8).for_each(|n| start_server(&mut w, n));
    w
}

fn page_world() -> World {
    World::new(table(1, vec![page_route(&SHARDS, 0.6)])).with_server_pairs(&SHARDS)
}

fn start_server(w: &mut World, n: usize) {
    let started = entry(&format!("desk-{n}"), "desk", HERE);
    w.on(Event::Server(Arc::new(started)));
}

fn is_quarantined(w: &mut World, path: &str) -> bool {
    let seq = w.arrive(path, ms(8000));
    let outcome = w.report(seq).map(|r| &r.outcome);
    matches!(
        outcome,
        Some(Outcome::Refused(RefuseReason::Quarantined, _))
    )
}

/// Sends a request and returns it with the server that has it.
fn send(w: &mut World, path: &str) -> (LookupSeq, ServerName) {
    w.open.clear();
    let seq = w.arrive(path, ms(8000));
    (seq, w.open[0].server.name.clone())
}

/// Sends a request whose caller disconnects while a server has it.
fn send_and_leave(w: &mut World) -> ServerName {
    let (seq, server) = send(w, PATH);
    w.advance(ms(60));
    w.on(Event::CallerDisconnected(seq));
    w.end_attempt(server.as_str(), AttemptEnd::Cancelled);
    server
}

/// Opens a connection to a server, as after each check of one that runs.
fn accept(w: &mut World, server: &ServerName) {
    w.on(Event::Opened(server.clone(), ms(1)));
}

/// Ends a server: its connections close and its address refuses new ones.
fn end_server(w: &mut World, server: &ServerName) {
    w.on(Event::Closed(server.clone()));
    w.advance(ms(1));
    w.on(Event::Refused(server.clone()));
}

/// Sends a request whose caller disconnects, and ends the server that had it a moment later.
fn crash_after_leaving(w: &mut World) {
    let server = send_and_leave(w);
    w.advance(ms(1));
    accept(w, &server);
    w.advance(ms(60));
    end_server(w, &server);
    w.advance(ms(500));
}

/// Sends a request; the servers reset the connection of each attempt and accept the next one.
fn reset_all_attempts(w: &mut World, path: &str) {
    let (seq, _) = send(w, path);
    while w.report(seq).is_none() {
        let server = w.open[0].server.name.clone();
        w.end_attempt(server.as_str(), AttemptEnd::Broken);
        w.on(Event::Closed(server.clone()));
        w.advance(ms(2));
        accept(w, &server);
    }
    w.advance(ms(700));
}

/// Prevents a request from crashing server after server because its callers leave before each crash.
#[test]
fn a_request_whose_callers_leave_before_the_crash_is_quarantined() {
    let mut w = world();
    for _ in 0..CRASHES {
        crash_after_leaving(&mut w);
    }
    assert!(is_quarantined(&mut w, PATH));
}

/// Prevents the crash from going unnoticed at a VM whose only connection was the cancelled one.
#[test]
fn a_server_without_connection_is_checked_after_a_cancelled_attempt() {
    let mut w = world();
    for _ in 0..CRASHES {
        let server = send_and_leave(&mut w);
        assert_eq!(w.checked.last(), Some(&server));
        w.advance(ms(1));
        w.on(Event::Refused(server));
        w.advance(ms(500));
    }
    assert!(is_quarantined(&mut w, PATH));
}

/// Prevents a request that ends its server after the attempt timed out from being sent to server after server.
#[rstest]
#[case(AttemptEnd::Late(ms(60)))]
#[case(AttemptEnd::Garbled)]
fn an_attempt_that_ended_before_its_server_counts(#[case] end: AttemptEnd) {
    let mut w = world();
    for _ in 0..CRASHES {
        let (_, server) = send(&mut w, PATH);
        accept(&mut w, &server);
        w.advance(ms(60));
        w.end_attempt(server.as_str(), end.clone());
        w.advance(ms(60));
        end_server(&mut w, &server);
        w.advance(ms(500));
    }
    assert!(is_quarantined(&mut w, PATH));
}

/// Prevents a crash from going unnoticed because the request had been answered with a failure before it.
#[test]
fn an_attempt_that_outlives_its_request_counts() {
    let mut w = world();
    for _ in 0..CRASHES {
        w.open.clear();
        let seq = w.arrive(PATH, ms(400));
        let server = w.open[0].server.name.clone();
        w.advance(ms(420));
        assert!(w.report(seq).is_some());
        w.end_attempt(server.as_str(), AttemptEnd::Broken);
        end_server(&mut w, &server);
        w.advance(ms(500));
    }
    assert!(is_quarantined(&mut w, PATH));
}

/// Prevents a harmless request from being refused for half a minute because servers that live reset its connections.
#[test]
fn a_connection_reset_by_a_server_that_lives_is_no_crash() {
    let mut w = world();
    for _ in 0..8 {
        reset_all_attempts(&mut w, PATH);
    }
    assert_eq!(w.quarantined, []);
    assert!(!is_quarantined(&mut w, PATH));
}

/// Prevents a harmless fan-out from being refused because the servers of all its shards reset its connections at once.
#[test]
fn a_fan_out_reset_by_servers_that_live_is_no_suspect() {
    let mut w = page_world();
    for _ in 0..3 {
        reset_all_attempts(&mut w, PAGE);
    }
    assert_eq!(w.quarantined, []);
}

/// Prevents a request from counting as a suspect of a crash that came long after its server had dropped it.
#[test]
fn a_crash_long_after_a_cancelled_attempt_does_not_count() {
    let mut w = world();
    for _ in 0..2 * CRASHES {
        let server = send_and_leave(&mut w);
        accept(&mut w, &server);
        w.advance(ms(3000));
        end_server(&mut w, &server);
        w.advance(ms(100));
    }
    assert_eq!(w.quarantined, []);
}

/// Prevents a crash that is seen late from counting although a server has executed the request since.
#[test]
fn an_execution_after_a_crash_clears_it_although_the_crash_is_seen_later() {
    let mut w = world();
    for _ in 0..2 * CRASHES {
        let (seq, first) = send(&mut w, PATH);
        w.end_attempt(first.as_str(), AttemptEnd::Broken);
        w.advance(ms(10));
        let second = w.open[0].server.name.clone();
        w.end_attempt(second.as_str(), success(b'a'));
        assert!(w.report(seq).is_some());
        w.advance(ms(200));
        w.on(Event::Refused(first));
        w.advance(ms(500));
    }
    assert_eq!(w.quarantined, []);
}

/// Prevents an answer from clearing a crash that came after it.
#[test]
fn an_execution_before_a_crash_does_not_clear_it() {
    let mut w = world();
    let services = ExecutedServices::AllBut(Vec::new());
    let report = CrashReport {
        request: w.fingerprint(PATH),
        observation: Observation::Executed(services, 10),
    };
    w.on(Event::CrashReported(report));
    for _ in 0..CRASHES {
        crash_after_leaving(&mut w);
    }
    assert!(is_quarantined(&mut w, PATH));
}

/// Prevents a second trial on probation while the server of the first, whose caller has left, may still crash.
#[test]
fn a_trial_whose_caller_leaves_lasts_until_its_server_has_outlived_it() {
    let mut w = world();
    for _ in 0..CRASHES {
        let server = send_and_leave(&mut w);
        end_server(&mut w, &server);
        w.advance(ms(500));
    }
    w.advance(ms(31_000));
    w.quarantined.clear();
    let server = send_and_leave(&mut w);
    accept(&mut w, &server);
    assert!(is_quarantined(&mut w, PATH));
    w.advance(ms(50));
    end_server(&mut w, &server);
    assert_eq!(w.quarantined, [w.fingerprint(PATH)]);
}

/// Prevents a server that starts again within the time of a check from hiding its crash.
#[test]
fn a_new_incarnation_is_the_end_of_the_one_before() {
    let mut w = world();
    for n in 0..CRASHES as u64 {
        let (_, server) = send(&mut w, PATH);
        w.end_attempt(server.as_str(), AttemptEnd::Broken);
        let mut restarted = entry(server.as_str(), "desk", HERE);
        restarted.born = Some(Incarnation(2 + n));
        w.on(Event::Server(Arc::new(restarted)));
        w.advance(ms(700));
    }
    assert!(is_quarantined(&mut w, PATH));
}

/// Prevents harmless requests whose callers leave from being refused because servers crash one after the other.
#[test]
fn many_crashes_under_different_cancelled_requests_prove_nothing() {
    let mut w = world();
    for n in 0..40 {
        let path = format!("/one/{n}");
        let (seq, server) = send(&mut w, &path);
        w.advance(ms(20));
        w.on(Event::CallerDisconnected(seq));
        w.end_attempt(server.as_str(), AttemptEnd::Cancelled);
        end_server(&mut w, &server);
        w.advance(ms(300));
    }
    assert_eq!(w.quarantined, []);
}

/// Prevents the checks of servers from making a fan-out's callers who leave cost a connection for each of its parts.
#[test]
fn a_server_that_is_still_connected_is_not_checked_after_a_cancelled_attempt() {
    let mut w = page_world();
    for shard in SHARDS {
        let server: ServerName = format!("{shard}-near").parse().expect("a name");
        accept(&mut w, &server);
        accept(&mut w, &server);
    }
    let (seq, _) = send(&mut w, PAGE);
    w.on(Event::CallerDisconnected(seq));
    while let Some(server) = w.open.front().map(|d| d.server.name.clone()) {
        w.end_attempt(server.as_str(), AttemptEnd::Cancelled);
        w.on(Event::Closed(server));
    }
    assert_eq!(w.checked, Vec::<ServerName>::new());
}

/// Prevents a server that neither accepts nor refuses connections from being left unchecked.
#[test]
fn a_check_without_a_result_is_repeated() {
    let mut w = world();
    let server = send_and_leave(&mut w);
    w.advance(ms(1500));
    let checks = w.checked.iter().filter(|s| **s == server).count();
    assert!((3..=4).contains(&checks), "{checks}");
    w.advance(ms(60_000));
    let all = w.checked.len();
    w.advance(ms(60_000));
    assert_eq!(w.checked.len(), all);
}

/// Prevents the routes' own kind from mattering: a request that may run only once counts in the same way.
#[test]
fn a_request_that_runs_once_counts_in_the_same_way() {
    let route = Route {
        servers_max: 1,
        ..one_route(RepeatPolicy::Once)
    };
    let mut w = World::new(table(1, vec![route]));
    (0..8).for_each(|n| start_server(&mut w, n));
    for _ in 0..CRASHES {
        let server = send_and_leave(&mut w);
        end_server(&mut w, &server);
        w.advance(ms(500));
    }
    assert!(is_quarantined(&mut w, PATH));
}

/// The time of a packet to the server, one way.
const ONE_WAY: Duration = Duration::from_millis(12);

/// The longest time from the end of a server to its being seen here, if each check has a result.
const SEEN_WITHIN: Duration = Duration::from_millis(50);

/// The same if a check has none: the interval at which checks are repeated, 400 ms, and a round trip.
const SEEN_AFTER_LOST_CHECK_WITHIN: Duration = Duration::from_millis(450);

/// Returns the time from the end of a server to its being seen, if it ends this long after its caller has left, and
/// the first checks have no result.
fn seen_after(phase: Duration, mut lost_checks: usize) -> Duration {
    let mut w = world();
    let server = send_and_leave(&mut w);
    let ends_at = w.now + phase;
    let mut checks = 0;
    let mut events: Vec<(std::time::Instant, Event)> = Vec::new();
    while w.relay.counters().crashes == 0 {
        let started = w.checked.len() - checks;
        checks += started;
        for _ in 0..started {
            if lost_checks > 0 {
                lost_checks -= 1;
                continue;
            }
            let answered_at = w.now + ONE_WAY;
            let answer = match answered_at < ends_at {
                true => Event::Opened(server.clone(), 2 * ONE_WAY),
                false => Event::Refused(server.clone()),
            };
            events.push((answered_at + ONE_WAY, answer));
            if answered_at < ends_at {
                events.push((ends_at + ONE_WAY, Event::Closed(server.clone())));
            }
        }
        w.advance(ms(1));
        let now = w.now;
        let due: Vec<_> = events.extract_if(.., |(at, _)| *at <= now).collect();
        due.into_iter().for_each(|(_, event)| w.on(event));
        assert!(w.now < ends_at + ms(5000), "the end is not seen");
    }
    w.now.saturating_duration_since(ends_at)
}

/// Prevents the end of a server from being seen too late for the other VMs to learn of it in time, at some phase of the
/// crash, the check and the caller's leaving.
#[rstest]
#[case::each_check_has_a_result(0, SEEN_WITHIN)]
#[case::a_check_is_lost(1, SEEN_AFTER_LOST_CHECK_WITHIN)]
fn the_end_of_a_server_is_seen_in_time_at_each_phase(
    #[case] lost_checks: usize,
    #[case] within: Duration,
) {
    for phase in (0..1900).step_by(7) {
        let seen = seen_after(ms(phase), lost_checks);
        assert!(seen <= within, "{seen:?} at a phase of {phase} ms");
    }
}
