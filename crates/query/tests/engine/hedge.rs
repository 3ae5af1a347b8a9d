//! Tests of hedges and retries and of the budget that limits them.

use std::time::Duration;

use gs_query::EngineOptions;
use gs_query::PartReply;
use gs_query::PolicyName;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::DEADLINE;
use crate::world::World;
use crate::world::brute_force;
use crate::world::group;
use crate::world::whole;

/// Creates a world that has recorded part latencies of about 2 ms.
fn with_learned_latency(options: EngineOptions) -> World {
    let mut w = World::with(options, &group(1, 2, &[(1, 4)]));
    for _ in 0..80 {
        w.arrive("urgent");
        w.now += Duration::from_millis(2);
        w.serve_all();
    }
    w
}

/// One server of four is slow. Its part is hedged at another server, so that the page is not
/// delayed.
#[test]
fn a_slow_part_is_hedged_at_another_server_and_the_slower_attempt_cancelled() {
    let mut w = with_learned_latency(EngineOptions::default());
    let seq = w.arrive("urgent");
    let slow = w.take(3);
    w.sent(&slow);
    w.now += Duration::from_millis(2);
    w.serve_all();
    w.advance(Duration::from_millis(4));
    assert_eq!(w.open.len(), 1);
    assert_ne!(w.open[0].server.name, slow.server.name);
    assert_ne!(w.open[0].attempt, slow.attempt);
    w.serve_all();
    let a = w.answer(seq);
    assert_eq!(a.hits, brute_force(1, &[0, 1, 2, 3], 5));
    assert_eq!(a.extra_attempts, 1);
    assert_eq!(w.cancelled, [slow.attempt]);
    assert_eq!(w.engine.counters().hedges_won, 1);
}

/// Every part of every lookup is slow. Hedging all of them would double the load that slows them
/// down; the budget allows a few per cent.
#[test]
fn when_everything_is_slow_hedges_stay_within_the_budget() {
    let options = EngineOptions {
        extra_ratio: 0.01,
        extra_burst: 2,
        extra_floor: 0.0,
        ..EngineOptions::default()
    };
    let mut w = with_learned_latency(options);
    let before = w.engine.counters().clone();
    for _ in 0..100 {
        w.arrive("urgent");
        let first = std::mem::take(&mut w.open);
        w.advance(Duration::from_millis(20));
        w.open.extend(first);
        w.serve_all();
    }
    let c = w.engine.counters();
    let hedges = c.hedges - before.hedges;
    let first = c.attempts - before.attempts - hedges;
    // 1% of the initial attempts, plus the budget saved up before.
    assert!(
        hedges as f64 <= first as f64 * 0.01 + 1.0,
        "{hedges} of {first}"
    );
    assert!(c.extra_refused > before.extra_refused);
}

/// Every attempt fails. Without a limit, each lookup would make four attempts per shard.
#[test]
fn when_everything_fails_retries_stay_within_the_budget() {
    let options = EngineOptions {
        extra_burst: 10,
        extra_floor: 0.0,
        ..EngineOptions::default()
    };
    let mut w = World::with(options, &group(1, 2, &[(1, 4)]));
    for _ in 0..50 {
        w.arrive("urgent");
        while let Some(d) = w.open.pop() {
            w.sent(&d);
            w.reply(&d, PartReply::Failed);
        }
    }
    let c = w.engine.counters();
    assert!(c.retries <= 11, "{} retries of {}", c.retries, c.attempts);
}

/// Guards against servers that are sent every lookup several times and reject it each time, for a
/// reason that this program does not know.
#[test]
fn when_everything_is_rejected_for_an_unknown_reason_retries_stay_within_the_budget() {
    let options = EngineOptions {
        extra_burst: 10,
        extra_floor: 0.0,
        ..EngineOptions::default()
    };
    let mut w = World::with(options, &group(1, 2, &[(1, 4)]));
    for _ in 0..50 {
        w.arrive("urgent");
        while let Some(d) = w.open.pop() {
            w.sent(&d);
            w.reply(&d, PartReply::NotSent);
        }
        // Longer than a server that could not be reached is avoided.
        w.advance(Duration::from_secs(20));
    }
    let c = w.engine.counters();
    let repeats = c.attempts - 50 * 4;
    assert!(repeats <= 11, "{repeats} repeats of {}", c.attempts);
}

#[test]
fn a_failed_attempt_is_retried_at_another_server() {
    let mut w = World::new(2, 2);
    let seq = w.arrive("complete");
    let failed = w.serve(1, PartReply::Failed);
    let retry = w.take(1);
    assert_ne!(retry.server.name, failed.server.name);
    assert_eq!(retry.attempt.attempt, 1);
    assert!(retry.budget <= failed.budget);
    w.sent(&retry);
    w.reply(&retry, whole(&retry));
    w.serve_all();
    assert_eq!(w.answer(seq).extra_attempts, 1);
}

#[test]
fn the_budget_of_a_retry_excludes_the_time_already_spent() {
    let mut w = World::new(1, 2);
    w.arrive("complete");
    let first = w.take(0);
    w.sent(&first);
    w.now += Duration::from_millis(70);
    w.reply(&first, PartReply::Failed);
    let retry = w.take(0);
    assert_eq!(retry.budget, first.budget - Duration::from_millis(70));
}

#[test]
fn the_baseline_policy_never_hedges_and_retries_once_after_a_timeout() {
    let options = EngineOptions {
        policy: PolicyName::Baseline,
        attempt_timeout: Duration::from_millis(50),
        tries_max: 2,
        ..EngineOptions::default()
    };
    let mut w = with_learned_latency(options);
    let seq = w.arrive("urgent");
    let slow = w.take(3);
    w.sent(&slow);
    w.serve_all();
    w.advance(Duration::from_millis(49));
    assert!(w.open.is_empty());
    w.advance(Duration::from_millis(1));
    assert_eq!(w.cancelled, [slow.attempt]);
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
    assert_eq!(w.engine.counters().hedges, 0);
}

#[test]
fn equal_events_and_seeds_give_equal_attempts() {
    let run = || {
        let mut w = with_learned_latency(EngineOptions::default());
        for _ in 0..20 {
            w.arrive("urgent");
            w.serve_all();
        }
        w.arrive("urgent");
        w.open
            .iter()
            .map(|d| (d.attempt.shard, d.server.name.clone()))
            .collect::<Vec<(ShardId, _)>>()
    };
    assert_eq!(run(), run());
}

/// What is known about latencies before a server becomes unresponsive.
#[derive(Clone, Copy)]
enum Learned {
    /// Nothing is known of the group yet.
    Nothing,
    /// The recorded part latencies exceed any lookup's time.
    LongTimes,
}

/// A new VM, or one that saw a partition, must not wait the whole deadline for unresponsive
/// servers.
#[rstest]
#[case::on_a_new_vm(Learned::Nothing)]
#[case::after_a_partition(Learned::LongTimes)]
fn an_unresponsive_server_leaves_time_for_its_replica(#[case] learned: Learned) {
    let mut w = World::new(2, 2);
    if matches!(learned, Learned::LongTimes) {
        for _ in 0..40 {
            w.arrive("urgent");
            let silent = std::mem::take(&mut w.open);
            w.advance(DEADLINE);
            for d in silent.iter().chain(&std::mem::take(&mut w.open)) {
                w.reply(d, PartReply::Failed);
            }
        }
        w.advance(Duration::from_secs(20));
    }
    let seq = w.arrive("urgent");
    let silent = w.take(0);
    w.sent(&silent);
    w.serve_all();
    w.advance(DEADLINE / 2);
    let other = w.take(0);
    assert_ne!(other.server.name, silent.server.name);
    w.sent(&other);
    w.reply(&other, whole(&other));
    assert!(w.answer(seq).coverage.is_complete());
}

/// Slow parts have used up the budget for hedges. A server that becomes unresponsive must not cost
/// its shard.
#[test]
fn an_unresponsive_server_is_replaced_from_the_budget_reserved_for_retries() {
    let options = EngineOptions {
        extra_ratio: 0.0,
        extra_burst: 10,
        extra_floor: 0.0,
        ..EngineOptions::default()
    };
    let mut w = with_learned_latency(options);
    let seq = w.arrive("urgent");
    let silent = w.take(3);
    w.sent(&silent);
    w.serve_all();
    w.advance(DEADLINE / 2);
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
}
