//! Tests of the signs by which the end of a server is seen, and of what is taken back if it lives.

use std::time::Duration;

use gs_query::Action;
use gs_query::Dispatch;
use gs_query::Event;
use gs_query::Notice;
use gs_query::PartReply;
use gs_types::prelude::*;
use rstest::rstest;

use super::crash;
use super::fingerprint;
use super::quarantine;
use crate::world::DEADLINE;
use crate::world::World;
use crate::world::report;
use crate::world::server;
use crate::world::whole;

/// The most servers that a lookup may crash before it is refused.
const CRASHES_MAX: usize = 3;

const QUARANTINE: Duration = Duration::from_secs(30);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns a group of one shard whose servers have reported their first incarnation.
fn world(replicas: u32) -> World {
    let mut w = World::new(1, replicas);
    for r in 0..replicas {
        w.on(Event::Report(report(server(0, r), 1, &[1])));
    }
    w
}

/// Sends a lookup and returns it with its attempt.
fn send(w: &mut World, query: &str) -> Option<(LookupSeq, Dispatch)> {
    let seq = w.arrive_with(World::request("book", query));
    let d = w.open.pop()?;
    w.sent(&d);
    Some((seq, d))
}

/// Sends a lookup whose caller disconnects while a server has it.
fn send_and_leave(w: &mut World, query: &str) -> Option<Dispatch> {
    let (seq, d) = send(w, query)?;
    w.advance(ms(20));
    w.on(Event::Gone(seq));
    w.reply(&d, PartReply::Cancelled);
    Some(d)
}

fn refuse(w: &mut World, d: &Dispatch) {
    w.on(Event::Refused(d.server.name.clone()));
}

fn accept(w: &mut World, d: &Dispatch) {
    w.on(Event::Accepted(d.server.name.clone(), Duration::ZERO));
}

/// Returns for how long the lookup is refused on arrival.
fn refused_for(w: &mut World, query: &str) -> Option<Duration> {
    let seq = w.arrive_with(World::request("book", query));
    match w.answers.iter().find(|(s, _)| *s == seq) {
        Some((_, Outcome::NotRun(r))) if r.reason == RefusalReason::Quarantined => r.retry_after,
        _ => None,
    }
}

fn is_quarantine(notice: &Notice) -> bool {
    matches!(notice, Notice::Quarantine { .. })
}

fn is_checked(actions: &[Action], d: &Dispatch) -> bool {
    actions.contains(&Action::Check(d.server.name.clone()))
}

/// Returns how many servers a lookup crashes if `end` ends each attempt before its server.
fn crashes_after(end: impl Fn(&mut World, LookupSeq, &Dispatch)) -> usize {
    let mut w = world(8);
    let mut crashes = 0;
    for _ in 0..20 {
        if let Some((seq, d)) = send(&mut w, "pine") {
            end(&mut w, seq, &d);
            w.open.clear();
            w.advance(ms(20));
            w.on(Event::Lost(d.server.name.clone()));
            refuse(&mut w, &d);
            crashes += 1;
        }
        w.advance(ms(400));
    }
    crashes
}

/// Prevents a lookup from crashing server after server because its attempts end before the servers do.
#[rstest]
#[case::cancelled(PartReply::Cancelled)]
#[case::late(PartReply::Late)]
#[case::garbled(PartReply::Garbled)]
fn a_lookup_whose_attempts_end_before_the_servers_is_quarantined(#[case] reply: PartReply) {
    let crashes = crashes_after(|w, seq, d| {
        w.advance(ms(20));
        w.on(Event::Gone(seq));
        w.reply(d, reply.clone());
    });
    assert!((2..=CRASHES_MAX).contains(&crashes), "{crashes} crashes");
}

/// Prevents a crash from going unnoticed because its lookup had ended at the deadline before.
#[test]
fn an_attempt_that_outlives_its_lookup_counts() {
    let crashes = crashes_after(|w, _, d| {
        w.advance(DEADLINE);
        w.reply(d, PartReply::Broken);
    });
    assert!((2..=CRASHES_MAX).contains(&crashes), "{crashes} crashes");
}

/// Prevents a server that starts again before a connection is refused from hiding its crash.
#[test]
fn a_new_incarnation_is_the_end_of_the_one_before() {
    let mut w = world(2);
    for n in 2..4 {
        let d = send_and_leave(&mut w, "pine").expect("an attempt");
        w.advance(ms(300));
        w.on(Event::Report(report(d.server.name.clone(), n, &[1])));
        w.advance(ms(300));
    }
    assert!(refused_for(&mut w, "pine").is_some());
}

/// Prevents a lookup from counting as a suspect of a crash that came long after its server had dropped it.
#[test]
fn a_crash_long_after_a_cancelled_attempt_does_not_count() {
    let mut w = world(8);
    for _ in 0..2 * CRASHES_MAX {
        let d = send_and_leave(&mut w, "pine").expect("an attempt");
        w.advance(ms(2500));
        accept(&mut w, &d);
        w.advance(ms(100));
        refuse(&mut w, &d);
        w.advance(ms(100));
    }
    assert_eq!(w.notices, []);
}

/// Prevents a crash that is seen late from counting although a server has executed the lookup since.
#[test]
fn an_execution_after_a_crash_clears_it_although_the_crash_is_seen_later() {
    let mut w = world(8);
    for _ in 0..2 * CRASHES_MAX {
        let d = send_and_leave(&mut w, "pine").expect("an attempt");
        w.on(Event::Lost(d.server.name.clone()));
        w.advance(ms(10));
        let (_, other) = send(&mut w, "pine").expect("an attempt");
        w.reply(&other, whole(&other));
        w.advance(ms(10));
        refuse(&mut w, &d);
    }
    assert_eq!(w.notices, []);
}

/// Prevents harmless lookups whose callers leave from being refused because servers crash one after the other.
#[test]
fn crashes_under_different_cancelled_lookups_prove_nothing() {
    let mut w = world(8);
    for n in 0..40 {
        let query = format!("query {n}");
        if let Some(d) = send_and_leave(&mut w, &query) {
            refuse(&mut w, &d);
        }
        w.advance(ms(300));
    }
    let is_refused = |n: &&Notice| matches!(n, Notice::Quarantine { rest, .. } if *rest > ms(0));
    assert_eq!(w.notices.iter().filter(is_refused).count(), 0);
}

/// Prevents a lookup that two servers had at the same time from being refused because both crash together.
#[test]
fn servers_that_end_together_are_no_repetition() {
    let mut w = world(8);
    let all: Vec<_> = (0..3).filter_map(|_| send(&mut w, "pine")).collect();
    assert_ne!(all[0].1.server.name, all[2].1.server.name);
    w.advance(ms(20));
    for (seq, d) in &all {
        w.on(Event::Gone(*seq));
        w.reply(d, PartReply::Cancelled);
    }
    for (_, d) in &all {
        refuse(&mut w, d);
    }
    assert!(refused_for(&mut w, "pine").is_none_or(|rest| rest < QUARANTINE));
}

/// Prevents one crash from counting twice, when its connection breaks and when the server is found to have ended.
#[test]
fn an_end_that_is_seen_twice_counts_once() {
    let mut w = world(8);
    let (_, first) = send(&mut w, "pine").expect("an attempt");
    w.reply(&first, PartReply::Broken);
    refuse(&mut w, &first);
    refuse(&mut w, &first);
    w.on(Event::Report(report(first.server.name.clone(), 2, &[1])));
    let canary = w.take(0);
    crash(&mut w, &canary);
    refuse(&mut w, &canary);
    w.on(Event::Report(report(canary.server.name.clone(), 2, &[1])));
    assert_eq!(refused_for(&mut w, "pine"), Some(QUARANTINE));
}

/// Prevents a harmless lookup from being refused for half a minute because two servers that live reset its connections
/// before they could be checked.
#[test]
fn a_quarantine_is_lifted_when_the_servers_accept_connections() {
    let mut w = world(8);
    let (_, first) = send(&mut w, "pine").expect("an attempt");
    w.reply(&first, PartReply::Broken);
    let canary = w.take(0);
    crash(&mut w, &canary);
    assert_eq!(refused_for(&mut w, "pine"), Some(QUARANTINE));
    accept(&mut w, &first);
    assert_eq!(refused_for(&mut w, "pine"), None);
    accept(&mut w, &canary);
    let cleared = Notice::Quarantine {
        fingerprint: World::request("book", "pine").fingerprint(),
        crashes: 0,
        rest: Duration::ZERO,
    };
    assert_eq!(w.notices.last(), Some(&cleared));
}

/// Prevents a server that lives from lifting the quarantine of a lookup that crashed others.
#[test]
fn a_connection_accepted_after_a_proved_quarantine_does_not_lift_it() {
    let mut w = world(8);
    for _ in 0..2 {
        let d = send_and_leave(&mut w, "pine").expect("an attempt");
        refuse(&mut w, &d);
        accept(&mut w, &d);
        w.advance(ms(100));
    }
    assert!(refused_for(&mut w, "pine").is_some());
}

/// Prevents a server that lives here from clearing what a peer knows against a lookup.
#[test]
fn evidence_of_peers_outlasts_a_connection_that_was_reset() {
    let mut w = World::new(3, 2);
    quarantine(&mut w, 1, Duration::ZERO);
    w.advance(ms(1500));
    w.arrive("urgent");
    let canary = w.open.pop().expect("the canary");
    crash(&mut w, &canary);
    accept(&mut w, &canary);
    let cleared = |n: &Notice| {
        let Notice::Quarantine {
            fingerprint: of,
            crashes,
            ..
        } = n
        else {
            return false;
        };
        *of == fingerprint("urgent") && *crashes == 0
    };
    assert!(!w.notices.iter().any(cleared));
}

/// Prevents the crash from going unnoticed at a VM whose only connection was the cancelled one.
#[rstest]
#[case::connected(true)]
#[case::not_connected(false)]
fn a_server_is_checked_after_a_cancelled_attempt_unless_it_is_connected(#[case] connected: bool) {
    let mut w = world(2);
    let (seq, d) = send(&mut w, "pine").expect("an attempt");
    if connected {
        w.on(Event::Connection(d.server.name.clone(), true));
    }
    w.on(Event::Gone(seq));
    let cancelled = PartReply::Cancelled;
    let actions = w.on(Event::Reply(d.attempt.clone(), cancelled));
    assert_eq!(is_checked(&actions, &d), !connected);
    if connected {
        let lost = w.on(Event::Lost(d.server.name.clone()));
        assert!(is_checked(&lost, &d));
    }
}

/// Prevents a server that neither accepts nor refuses connections from being left unchecked, or checked for ever.
#[test]
fn a_check_without_a_result_is_repeated() {
    let mut w = world(2);
    let d = send_and_leave(&mut w, "pine").expect("an attempt");
    let mut checks = 0;
    for _ in 0..200 {
        w.now += ms(100);
        checks += usize::from(is_checked(&w.on(Event::Tick), &d));
    }
    assert!((10..=16).contains(&checks), "{checks}");
}

/// Prevents the planned end of a server from counting against the lookups that were cancelled at it.
#[test]
fn the_end_of_a_draining_server_is_no_crash() {
    let mut w = world(3);
    for _ in 0..2 {
        let (seq, d) = send(&mut w, "pine").expect("an attempt");
        let mut draining = report(d.server.name.clone(), 1, &[1]);
        draining.draining = true;
        w.on(Event::Report(draining));
        w.on(Event::Gone(seq));
        w.reply(&d, PartReply::Cancelled);
        refuse(&mut w, &d);
    }
    assert_eq!(refused_for(&mut w, "pine"), None);
    assert_eq!(w.notices.iter().filter(|n| is_quarantine(n)).count(), 0);
}

/// Prevents a canary whose caller leaves from counting as sent together with the attempt before it.
#[test]
fn a_canary_whose_caller_leaves_before_the_crash_is_a_repetition() {
    let mut w = world(8);
    let (seq, first) = send(&mut w, "pine").expect("an attempt");
    w.advance(ms(5));
    w.reply(&first, PartReply::Broken);
    refuse(&mut w, &first);
    let canary = w.take(0);
    w.sent(&canary);
    w.advance(ms(5));
    w.on(Event::Gone(seq));
    w.reply(&canary, PartReply::Cancelled);
    w.advance(ms(5));
    refuse(&mut w, &canary);
    assert_eq!(refused_for(&mut w, "pine"), Some(QUARANTINE));
}
