//! Tests that attempts in flight never exceed this VM's share of a server's connections.

use std::time::Duration;

use gs_query::Action;
use gs_query::EngineOptions;
use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;

use crate::world::World;
use crate::world::group;
use crate::world::report;
use crate::world::server;
use crate::world::whole;

#[test]
fn parts_above_the_connection_share_are_queued_by_deadline() {
    let mut w = World::new(1, 1);
    let seqs: Vec<_> = (0..4).map(|_| w.arrive("urgent")).collect();
    assert_eq!(w.open.len(), 2);
    let first = w.take(0);
    w.sent(&first);
    w.reply(&first, whole(&first));
    let lookups: Vec<_> = w.open.iter().map(|d| d.attempt.lookup).collect();
    assert_eq!(lookups, [seqs[1], seqs[2]]);
}

#[test]
fn a_cancelled_attempt_holds_its_connection_until_the_driver_reports_its_end() {
    let mut w = World::new(1, 1);
    w.share_all(&group(1, 1, &[(1, 1)]), 1);
    w.arrive("urgent");
    let d = w.take(0);
    w.sent(&d);
    w.advance(Duration::from_millis(199));
    assert_eq!(w.cancelled.len(), 1);
    w.arrive("urgent");
    assert!(w.open.is_empty());
    w.reply(&d, PartReply::Cancelled);
    assert_eq!(w.open.len(), 1);
}

/// An I/O driver (shell) that never reports an attempt's end must not occupy the server's
/// connections forever.
#[test]
fn an_attempt_whose_end_is_never_reported_releases_its_connection() {
    let mut w = World::new(1, 1);
    w.share_all(&group(1, 1, &[(1, 1)]), 1);
    w.arrive("urgent");
    w.open.clear();
    w.advance(Duration::from_millis(199));
    w.advance(Duration::from_secs(3));
    w.arrive("urgent");
    assert_eq!(w.open.len(), 1);
}

#[test]
fn a_larger_share_dispatches_queued_parts() {
    let mut w = World::new(1, 1);
    for _ in 0..5 {
        w.arrive("urgent");
    }
    assert_eq!(w.open.len(), 2);
    w.share_all(&group(1, 1, &[(1, 1)]), 4);
    assert_eq!(w.open.len(), 4);
}

#[test]
fn the_connection_share_is_kept_open() {
    let mut w = World::new(1, 1);
    let out = w.on(Event::Shares(vec![(server(0, 0), Connections(3))]));
    assert!(out.contains(&Action::Warm(server(0, 0), Connections(3))));
}

/// A server that has just started gets one attempt at a time at first.
#[test]
fn a_new_incarnation_of_a_server_goes_through_slow_start() {
    let mut w = World::with(EngineOptions::default(), &group(1, 1, &[(1, 1)]));
    w.share_all(&group(1, 1, &[(1, 1)]), 4);
    w.on(Event::Report(report(server(0, 0), 1, &[1])));
    w.on(Event::Report(report(server(0, 0), 2, &[1])));
    for _ in 0..4 {
        w.arrive("urgent");
    }
    assert_eq!(w.open.len(), 1);
    w.serve_all();
    w.advance(Duration::from_secs(4));
    for _ in 0..4 {
        w.arrive("urgent");
    }
    assert_eq!(w.open.len(), 4);
}

#[test]
fn a_server_that_sheds_is_not_retried_before_its_retry_after() {
    let mut w = World::new(1, 1);
    let seq = w.arrive("urgent");
    w.serve(
        0,
        PartReply::Shed {
            retry_after: Duration::from_millis(30),
        },
    );
    w.advance(Duration::from_millis(29));
    assert!(w.open.is_empty());
    w.advance(Duration::from_millis(1));
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
}

/// Every attempt at both replicas fails. One is ejected; the other is still queried, so that a
/// wrong signal cannot remove every server of a service.
#[test]
fn failing_servers_are_ejected_but_never_all_of_a_service() {
    let mut w = World::with(EngineOptions::default(), &group(1, 2, &[(1, 1)]));
    for _ in 0..12 {
        w.arrive("urgent");
        while !w.open.is_empty() {
            w.serve(0, PartReply::Failed);
        }
    }
    let states: Vec<_> = w
        .engine
        .dump(w.now)
        .servers
        .iter()
        .map(|s| s.state.clone())
        .collect();
    assert_eq!(states.iter().filter(|s| *s == "set-aside").count(), 1);
    w.arrive("urgent");
    assert_eq!(w.open.len(), 1);
}

/// A poisoned lookup crashes both replicas of a shard, which are back within the deadline of
/// another lookup in flight. Until then each attempt fails immediately; the lookup must not use up
/// its tries on these failures.
#[test]
fn a_part_waits_for_replicas_that_are_down_briefly() {
    let mut w = World::new(1, 2);
    let seq = w.arrive("complete");
    for _ in 0..12 {
        while let Some(d) = w.open.pop() {
            w.reply(&d, PartReply::NotSent);
        }
        w.advance(Duration::from_millis(10));
    }
    assert!(!w.is_finished(seq));
    let tries = w.engine.counters().attempts;
    assert!(tries < 12, "{tries} tries at servers that are down");
    for _ in 0..4 {
        w.advance(Duration::from_millis(10));
        w.serve_all();
    }
    assert!(w.answer(seq).coverage.is_complete());
}
