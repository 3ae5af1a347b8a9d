//! Tests of shards whose servers are unresponsive.

use std::time::Duration;

use gs_query::PartReply;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::DEADLINE;
use crate::world::World;
use crate::world::whole;

/// The time after which a refused caller may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What detects first that an attempt's time is over.
#[derive(Clone, Copy, PartialEq)]
enum Noticed {
    ByTimer,
    ByShell,
}

/// Creates a world whose shard 1 did not reply to a complete lookup by its deadline.
fn world_with_silent_shard(replicas: u32, noticed: Noticed) -> World {
    let mut w = World::new(2, replicas);
    w.arrive("complete");
    let answered = w.open[0].clone();
    w.serve(0, whole(&answered));
    let mut silent = Vec::new();
    for _ in 0..3 {
        for d in std::mem::take(&mut w.open) {
            w.sent(&d);
            silent.push(d);
        }
        w.advance(DEADLINE / 4);
    }
    w.now += DEADLINE / 4;
    if noticed == Noticed::ByShell {
        silent.iter().for_each(|d| w.reply(d, PartReply::Late));
    }
    w.advance(Duration::ZERO);
    w
}

fn refusal(w: &World, seq: LookupSeq) -> Refusal {
    match w.outcome(seq) {
        Outcome::NotRun(r) => r,
        other => panic!("not refused: {other:?}"),
    }
}

/// Prevents callers from waiting for their whole deadline for shards in a partitioned data centre.
#[rstest]
fn a_lookup_that_needs_an_unresponsive_shard_is_refused_at_once(
    #[values(1, 2)] replicas: u32,
    #[values(Noticed::ByTimer, Noticed::ByShell)] noticed: Noticed,
) {
    let mut w = world_with_silent_shard(replicas, noticed);
    let seq = w.arrive("complete");
    let r = refusal(&w, seq);
    let missing = MissingShard {
        shard: ShardId(1),
        reason: MissReason::Late,
    };
    assert_eq!(r.reason, RefusalReason::Incomplete);
    assert_eq!(
        (r.missing, r.retry_after),
        (vec![missing], Some(RETRY_AFTER))
    );
    assert!(w.open.is_empty(), "{:?}", w.open);
}

/// Prevents a shard from staying refused once its servers are back: one lookup per second tries
/// them.
#[test]
fn one_lookup_per_second_tries_an_unresponsive_shard() {
    let mut w = world_with_silent_shard(1, Noticed::ByTimer);
    w.advance(RETRY_AFTER);
    let tried = w.arrive("complete");
    assert_eq!(w.open.len(), 2);
    let meanwhile = w.arrive("complete");
    refusal(&w, meanwhile);
    w.serve_all();
    w.answer(tried);
    let after = w.arrive("complete");
    w.serve_all();
    w.answer(after);
}

/// Prevents urgent lookups from being refused for a shard that they do not need.
#[test]
fn an_urgent_lookup_is_sent_despite_an_unresponsive_shard() {
    let mut w = world_with_silent_shard(1, Noticed::ByTimer);
    let seq = w.arrive("urgent");
    assert_eq!(w.open.len(), 2);
    w.serve_all();
    w.answer(seq);
}

/// Prevents lookups from being refused for a server that is slow but responsive.
#[test]
fn a_shard_that_answers_another_lookup_is_responsive() {
    let mut w = World::new(1, 1);
    w.arrive("complete");
    let slow = w.take(0);
    w.sent(&slow);
    w.advance(DEADLINE / 2);
    let other = w.arrive("complete");
    w.serve_all();
    w.answer(other);
    w.advance(DEADLINE / 2);
    w.arrive("complete");
    assert_eq!(w.open.len(), 1);
}
