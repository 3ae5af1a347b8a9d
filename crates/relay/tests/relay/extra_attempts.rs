//! Tests of what counts against the budget of extra attempts, and of this VM's share of the slack
//! that all VMs divide.

use std::sync::Arc;

use gs_relay::AttemptEnd;
use gs_relay::Event;
use gs_relay::PeerVm;
use gs_relay::RelayOptions;
use gs_relay::RepeatPolicy;
use http::StatusCode;
use rstest::rstest;

use crate::world::HERE;
use crate::world::World;
use crate::world::answered;
use crate::world::entry;
use crate::world::ms;
use crate::world::one_route;
use crate::world::options;
use crate::world::page_route;
use crate::world::shed;
use crate::world::success;
use crate::world::table;
use crate::world::vm;

/// Number of servers of the service `desk`; more than the attempts that any test allows.
const SERVERS: usize = 11;

/// Number of requests that a test sends; more than the extra attempts that any test allows.
const REQUESTS: usize = 30;

/// Returns options that allow extra attempts from the slack only.
fn slack_only(slack: f64) -> RelayOptions {
    RelayOptions {
        extra_ratio: 0.0,
        extra_slack: slack,
        ..options()
    }
}

fn with_desk_servers(mut w: World) -> World {
    for n in 0..SERVERS {
        w.on(Event::Server(Arc::new(entry(
            &format!("desk-{n}"),
            "desk",
            HERE,
        ))));
    }
    w
}

fn desk_world(slack: f64) -> World {
    let routes = table(1, vec![one_route(RepeatPolicy::Safe)]);
    with_desk_servers(World::with_options(routes, slack_only(slack)))
}

/// Returns a list of `count` equally strong VMs, this one included.
fn fleet(count: usize) -> Vec<PeerVm> {
    let others = (2..=count).map(|n| vm(&format!("vm-{n}"), HERE, "hobart", 1.0));
    let own = vm("vm-1", HERE, "hobart", 1.0);
    [own].into_iter().chain(others).collect()
}

/// Passes a list of VMs to the relay, and waits until it is applied.
fn set_vms(w: &mut World, vms: Vec<PeerVm>) {
    w.on(Event::Vms(vms));
    w.advance(ms(300));
}

/// Sends a request and ends each of its attempts like this; returns the number of attempts.
fn attempts_of_request(w: &mut World, path: &str, end: &AttemptEnd) -> usize {
    w.arrive(path, ms(2500));
    let mut attempts = 0;
    while let Some(d) = w.open.pop_front() {
        attempts += 1;
        w.on(Event::Ended(d.attempt, end.clone()));
    }
    attempts
}

/// Sends requests that every server fails; returns the number of extra attempts.
fn extra_attempts(w: &mut World, path: &str) -> usize {
    let failure = answered(StatusCode::INTERNAL_SERVER_ERROR, b'f');
    let attempts = (0..REQUESTS).map(|_| attempts_of_request(w, path, &failure));
    attempts.sum::<usize>() - REQUESTS
}

/// Guards against unlimited attempts of a request at servers that could not be reached before, and
/// that one after the other reject it: each attempt arrives and counts.
#[rstest]
#[case::replaced(AttemptEnd::WrongServer)]
#[case::overloaded(shed())]
fn attempts_rejected_by_servers_that_were_unreachable_count_against_the_budget(
    #[case] end: AttemptEnd,
) {
    let mut w = desk_world(4.0);
    while w.relay.counters().attempts < SERVERS as u64 {
        attempts_of_request(&mut w, "/one/x", &AttemptEnd::NotSent);
    }
    // The backoff of each has ended.
    w.advance(ms(2000));
    let attempts = attempts_of_request(&mut w, "/one/x", &end);
    assert!((1..=3).contains(&attempts), "{attempts}");
}

/// Guards against unlimited attempts of a request at servers that were replaced.
#[test]
fn attempts_rejected_by_replaced_servers_count_against_the_budget() {
    let mut w = desk_world(4.0);
    let attempts = attempts_of_request(&mut w, "/one/x", &AttemptEnd::WrongServer);
    assert!((1..=3).contains(&attempts), "{attempts}");
}

/// Guards against a budget used up by attempts that reached no server.
#[test]
fn attempts_that_were_not_sent_are_repeated_without_the_budget() {
    let mut w = desk_world(0.0);
    let attempts = attempts_of_request(&mut w, "/one/x", &AttemptEnd::NotSent);
    assert_eq!(attempts, SERVERS);
}

/// Guards against more attempts in a window after one that waited long for an unresponsive server is
/// given back: those made meanwhile have arrived.
#[test]
fn an_attempt_that_was_not_sent_is_given_back_to_the_time_at_which_it_was_taken() {
    let routes = table(1, vec![one_route(RepeatPolicy::Once)]);
    let mut w = with_desk_servers(World::with_options(routes, slack_only(4.0)));
    let reject_last = |w: &mut World| {
        let d = w.open.pop_back().expect("an attempt");
        w.on(Event::Ended(d.attempt, shed()));
    };
    // Its second attempt waits for a connection.
    w.arrive("/one/waiting", ms(8000));
    reject_last(&mut w);
    w.advance(ms(6000));
    w.arrive("/one/rejected-twice", ms(8000));
    reject_last(&mut w);
    reject_last(&mut w);
    let waiting = w.open.pop_front().expect("an attempt");
    w.on(Event::Ended(waiting.attempt, AttemptEnd::NotSent));
    let third = w.open.pop_front().expect("an attempt");
    w.on(Event::Ended(third.attempt, success(b'a')));
    // The first attempt has left the window; the second of one request and the third of the other
    // are in it.
    w.advance(ms(5000));
    assert_eq!(attempts_of_request(&mut w, "/one/x", &shed()), 1);
}

/// Guards against a slack used twice within a window, by a process and by the one that replaces it.
#[test]
fn a_vm_that_has_just_started_uses_no_slack_for_a_window() {
    let routes = table(1, vec![one_route(RepeatPolicy::Safe)]);
    let mut w = with_desk_servers(World::just_started(routes, slack_only(20.0)));
    for _ in 0..9 {
        w.advance(ms(700));
        set_vms(&mut w, fleet(1));
        assert_eq!(extra_attempts(&mut w, "/one/x"), 0);
    }
    w.advance(ms(1300));
    assert_eq!(extra_attempts(&mut w, "/one/x"), 0, "no list since");
    set_vms(&mut w, fleet(1));
    assert_eq!(extra_attempts(&mut w, "/one/x"), 10);
}

/// Guards against many VMs that each divide the slack by too small a number.
#[test]
fn a_vm_that_knows_no_other_vms_uses_no_slack() {
    let routes = table(1, vec![one_route(RepeatPolicy::Safe)]);
    let mut w = with_desk_servers(World::without_vm_list(routes, slack_only(300.0)));
    w.advance(ms(20_000));
    assert_eq!(extra_attempts(&mut w, "/one/x"), 0);
}

/// Guards against a slack used twice within a window, by VMs that leave the list and by those that
/// stay.
#[rstest]
#[case::all_at_once(&[4])]
#[case::in_turn(&[30, 20, 10, 4])]
fn a_shorter_list_of_vms_raises_the_slack_only_after_a_window(#[case] listed: &[usize]) {
    let mut w = desk_world(45.0);
    set_vms(&mut w, fleet(36));
    w.advance(ms(10_000));
    for count in listed {
        set_vms(&mut w, fleet(*count));
    }
    assert_eq!(extra_attempts(&mut w, "/one/x"), 1);
    w.advance(ms(10_600));
    set_vms(&mut w, fleet(4));
    assert_eq!(extra_attempts(&mut w, "/one/x"), 9);
}

/// Guards against a slack used twice, by a VM that is cut off from the platform and by the others,
/// which no longer list it.
#[test]
fn a_vm_without_a_recent_list_uses_no_slack_until_a_window_after_the_next() {
    let mut w = desk_world(20.0);
    // Renewals are a minute apart, and an announcement expires after 3.5 of them.
    w.advance(ms(150_000));
    assert_eq!(extra_attempts(&mut w, "/one/x"), 0);
    set_vms(&mut w, fleet(1));
    w.advance(ms(9000));
    set_vms(&mut w, fleet(1));
    assert_eq!(extra_attempts(&mut w, "/one/x"), 0);
    w.advance(ms(1200));
    set_vms(&mut w, fleet(1));
    assert_eq!(extra_attempts(&mut w, "/one/x"), 10);
}

/// Guards against the same, by a VM whose last renewal was an interval and a poll older than its last list.
#[test]
fn a_vm_without_a_recent_list_uses_no_slack_once_the_others_may_have_expired_it() {
    let mut w = desk_world(20.0);
    // The others expire it 210 s after its last renewal, which was up to 70 s before the list.
    w.advance(ms(140_000));
    assert_eq!(extra_attempts(&mut w, "/one/x"), 0);
}

/// Guards against a fleet whose VMs each believe to be alone, as the list was empty when they
/// started and the platform has been away since.
#[test]
fn a_short_list_at_the_start_gives_no_slack_until_a_later_list_confirms_it() {
    let routes = table(1, vec![one_route(RepeatPolicy::Safe)]);
    let mut w = with_desk_servers(World::just_started(routes, slack_only(45.0)));
    w.advance(ms(20_000));
    assert_eq!(extra_attempts(&mut w, "/one/x"), 0);
    set_vms(&mut w, fleet(36));
    assert_eq!(extra_attempts(&mut w, "/one/x"), 1);
}

/// Guards against a slack that stays large although VMs have been added.
#[test]
fn a_longer_list_of_vms_lowers_the_slack_immediately() {
    let mut w = desk_world(45.0);
    set_vms(&mut w, fleet(4));
    w.advance(ms(10_000));
    set_vms(&mut w, fleet(36));
    assert_eq!(extra_attempts(&mut w, "/one/x"), 1);
}

/// Guards against a slack used twice within a window, by the VMs that ran fan-outs and by those
/// that run them now.
#[test]
fn a_vm_that_begins_to_run_fan_outs_gets_its_slack_only_after_a_window() {
    let routes = table(1, vec![page_route(&["s0"], 1.0)]);
    let mut w = World::with_options(routes, slack_only(30.0)).with_server_pairs(&["s0"]);
    let weak = vm("vm-1", HERE, "hobart", 0.1);
    let strong = vm("vm-2", HERE, "hobart", 1.0);
    set_vms(&mut w, vec![weak, strong]);
    w.advance(ms(10_000));
    set_vms(&mut w, fleet(2));
    assert_eq!(extra_attempts(&mut w, "/page/x"), 2);
    w.advance(ms(10_600));
    set_vms(&mut w, fleet(2));
    assert_eq!(extra_attempts(&mut w, "/page/x"), 10);
}
