//! Tests of lookups that were executed successfully before a server crashed under them.

use std::time::Duration;

use gs_query::Event;
use gs_types::prelude::*;
use rstest::rstest;

use super::crash;
use super::quarantine;
use crate::world::World;
use crate::world::report;
use crate::world::server;
use crate::world::whole;

/// A server fails under a lookup that another shard has answered. A poisoned lookup crashes each
/// server that executes it, so this one is harmless: there is no canary, only a retry of the failed
/// part.
#[test]
fn a_lookup_that_a_server_executed_without_crashing_is_not_a_suspect() {
    let mut w = World::new(3, 2);
    let seq = w.arrive("urgent");
    let ok = w.take(0);
    w.sent(&ok);
    w.reply(&ok, whole(&ok));
    let broken = w.take(1);
    crash(&mut w, &broken);
    assert!(w.cancelled.is_empty());
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
    assert_eq!(w.notices, []);
}

/// The crashed servers restart. Their new incarnations are used immediately, without the failures
/// of the old ones.
#[test]
fn a_crashed_server_is_used_again_in_its_new_incarnation() {
    let mut w = World::new(1, 2);
    for r in 0..2 {
        w.on(Event::Report(report(server(0, r), 1, &[1])));
    }
    w.arrive("book");
    let first = w.take(0);
    crash(&mut w, &first);
    let second = w.take(0);
    crash(&mut w, &second);
    for r in 0..2 {
        w.on(Event::Report(report(server(0, r), 2, &[1])));
    }
    let seq = w.arrive_with(World::request("urgent", "other"));
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
    let failures: u32 = w
        .engine
        .dump(w.now)
        .servers
        .iter()
        .map(|s| s.failures)
        .sum();
    assert_eq!(failures, 0);
}

/// A server fails by itself under a popular lookup, and the VM that saw it announces its suspicion.
/// The lookup succeeded here recently, so it must not be refused.
#[test]
fn a_peers_suspicion_does_not_stop_a_lookup_that_succeeded_here_recently() {
    let mut w = World::new(3, 1);
    w.arrive("urgent");
    w.serve_all();
    quarantine(&mut w, 1, Duration::ZERO);
    let seq = w.arrive("urgent");
    assert_eq!(w.open.len(), 3);
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
    quarantine(&mut w, 2, Duration::from_secs(30));
    let seq = w.arrive("urgent");
    let Outcome::NotRun(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Quarantined);
}

/// A lookup that succeeded until now begins to crash servers, as their index or program changed.
/// Its fan-out crashes a server of each shard. An immediate retry of the first part would crash
/// that shard's last replica too, so it waits for the results of the other shards.
#[test]
fn a_failed_part_of_a_proven_lookup_waits_for_the_other_parts_before_its_retry() {
    let mut w = World::new(3, 2);
    w.arrive("urgent");
    w.serve_all();
    let seq = w.arrive("urgent");
    let first = w.take(0);
    crash(&mut w, &first);
    assert_eq!(w.open.len(), 2, "retried before the other parts");
    for d in std::mem::take(&mut w.open) {
        crash(&mut w, &d);
    }
    assert_eq!(w.open.len(), 1, "the canary alone");
    let canary = w.open.remove(0);
    crash(&mut w, &canary);
    let Outcome::Unknown(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Quarantined);
}

/// A server fails by itself under a proven lookup. Its part is retried as soon as another part
/// arrives, or after 10 ms.
#[rstest]
#[case::after_another_part(true)]
#[case::after_ten_milliseconds(false)]
fn a_failed_part_of_a_proven_lookup_is_retried_soon(#[case] another_arrives: bool) {
    let mut w = World::new(3, 2);
    w.arrive("urgent");
    w.serve_all();
    let seq = w.arrive("urgent");
    let failed = w.take(0);
    crash(&mut w, &failed);
    if another_arrives {
        let d = w.take(1);
        w.sent(&d);
        w.reply(&d, whole(&d));
    } else {
        w.advance(Duration::from_millis(10));
    }
    assert!(w.open.iter().any(|d| d.attempt.shard == ShardId(0)));
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
}
