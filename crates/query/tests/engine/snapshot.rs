//! Tests that a page contains parts of one snapshot only.

use std::sync::Arc;
use std::time::Duration;

use gs_query::EngineOptions;
use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;

use crate::world::World;
use crate::world::brute_force;
use crate::world::group;
use crate::world::holds;
use crate::world::part;
use crate::world::report;
use crate::world::server;
use crate::world::whole;

/// Creates two snapshots of three shards; every replica reports that it holds both.
fn two_snapshots() -> World {
    let mut w = World::with(EngineOptions::default(), &group(1, 2, &[(1, 3), (2, 3)]));
    for s in 0..3 {
        for r in 0..2 {
            w.on(Event::Report(report(server(s, r), 1, &[1, 2])));
        }
    }
    w
}

fn report_held(w: &mut World, s: u32, held: &[u64]) {
    for r in 0..2 {
        w.on(Event::Report(report(server(s, r), 1, held)));
    }
}

#[test]
fn the_newest_snapshot_that_every_shard_holds_is_pinned() {
    let mut w = two_snapshots();
    w.arrive("urgent");
    assert!(w.open.iter().all(|d| d.snapshot == SnapshotId(2)));
    w.open.clear();
    report_held(&mut w, 1, &[1]);
    w.arrive("urgent");
    assert_eq!(w.open.len(), 3);
    assert!(w.open.iter().all(|d| d.snapshot == SnapshotId(1)));
}

#[test]
fn a_lookup_is_refused_without_a_snapshot_at_its_minimum() {
    let mut w = two_snapshots();
    report_held(&mut w, 1, &[1]);
    let mut req = World::request("complete", "pine");
    req.floor = Some(SnapshotId(2));
    let seq = w.arrive_with(req.clone());
    let Outcome::NotRun(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Incomplete);
    req.floor = Some(SnapshotId(3));
    let seq = w.arrive_with(req);
    let Outcome::NotRun(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::NoSnapshot);
}

/// A server replies from another snapshot than the pinned one. Its hits do not fit the other parts,
/// so the part is discarded and another replica is queried.
#[test]
fn a_part_from_another_snapshot_is_discarded() {
    let mut w = two_snapshots();
    let seq = w.arrive("urgent");
    let other = PartReply::Whole {
        snapshot: SnapshotId(1),
        part: Arc::new(part(1, 0)),
        load: 0,
        draining: false,
    };
    w.serve(0, other);
    assert_eq!(w.engine.counters().wrong_snapshot, 1);
    w.serve_all();
    assert_eq!(w.answer(seq).hits, brute_force(2, &[0, 1, 2], 5));
}

/// The replicas drop the snapshot that a lookup is pinned to. It restarts on the other one, and no
/// part of the first is in its page.
#[test]
fn a_lookup_whose_snapshot_is_dropped_restarts_on_another() {
    let mut w = two_snapshots();
    let seq = w.arrive("complete");
    w.serve(0, PartReply::NoSnapshot { holds: holds(&[1]) });
    let d = w.take(1);
    w.sent(&d);
    w.reply(&d, whole(&d));
    w.serve(0, PartReply::NoSnapshot { holds: holds(&[1]) });
    assert_eq!(w.engine.counters().restarts, 1);
    w.open.retain(|d| d.snapshot == SnapshotId(1));
    w.serve_all();
    let a = w.answer(seq);
    assert_eq!(a.snapshot, SnapshotId(1));
    assert_eq!(a.hits, brute_force(1, &[0, 1, 2], 5));
}

#[test]
fn a_late_part_of_the_dropped_snapshot_is_discarded_after_the_restart() {
    let mut w = two_snapshots();
    let seq = w.arrive("urgent");
    let old = w.take(2);
    w.sent(&old);
    w.serve(0, PartReply::NoSnapshot { holds: holds(&[1]) });
    w.serve(0, PartReply::NoSnapshot { holds: holds(&[1]) });
    w.reply(&old, whole(&old));
    w.open.retain(|d| d.snapshot == SnapshotId(1));
    assert_eq!(w.open.len(), 3);
    w.serve_all();
    assert_eq!(w.answer(seq).hits, brute_force(1, &[0, 1, 2], 5));
}

#[test]
fn without_another_snapshot_the_shard_is_reported_missing() {
    let mut w = World::new(2, 1);
    let seq = w.arrive("urgent");
    w.serve(1, PartReply::NoSnapshot { holds: holds(&[]) });
    w.serve_all();
    let missing = MissingShard {
        shard: ShardId(1),
        reason: MissReason::SnapshotGone,
    };
    assert_eq!(w.answer(seq).coverage.missing, [missing]);
}

#[test]
fn a_repartition_changes_the_shards_of_later_lookups_only() {
    let mut w = World::new(2, 1);
    let before = w.arrive("urgent");
    let map = group(2, 1, &[(1, 2), (2, 5)]);
    w.on(Event::Group(Arc::new(map.clone())));
    w.share_all(&map, 2);
    for s in 0..5 {
        w.on(Event::Report(report(server(s, 0), 1, &[1, 2])));
    }
    let after = w.arrive("urgent");
    w.serve_all();
    assert_eq!(w.answer(before).hits, brute_force(1, &[0, 1], 5));
    assert_eq!(w.answer(after).hits, brute_force(2, &[0, 1, 2, 3, 4], 5));
}

#[test]
fn an_older_map_or_configuration_is_ignored() {
    let mut w = World::with(EngineOptions::default(), &group(5, 1, &[(1, 2)]));
    w.on(Event::Group(Arc::new(group(4, 1, &[(1, 1)]))));
    let mut old = crate::world::config(0);
    old.fronts.clear();
    w.on(Event::Config(Arc::new(old)));
    let seq = w.arrive("urgent");
    w.serve_all();
    assert_eq!(w.answer(seq).coverage.shards, 2);
}

/// A health endpoint reports a snapshot that the server itself reported as dropped: the snapshot is
/// not requested again.
#[test]
fn a_servers_reply_about_its_snapshots_outweighs_its_health_endpoint() {
    let mut w = two_snapshots();
    w.arrive("urgent");
    w.serve(0, PartReply::NoSnapshot { holds: holds(&[1]) });
    w.serve(0, PartReply::NoSnapshot { holds: holds(&[1]) });
    w.open.clear();
    report_held(&mut w, 0, &[1, 2]);
    w.advance(Duration::from_millis(10));
    w.open.clear();
    w.arrive("urgent");
    assert!(w.open.iter().all(|d| d.snapshot == SnapshotId(1)));
}

/// A lookup's canary clears it, and its fan-out finds that a shard's snapshot was dropped. The
/// lookup restarts on a snapshot with fewer shards; the fan-out of the old one must not continue
/// over the new shards, which would panic.
#[test]
fn a_restart_on_fewer_shards_ends_the_fan_out_of_the_old_snapshot() {
    let mut w = World::with(EngineOptions::default(), &group(1, 2, &[(1, 2), (2, 5)]));
    let notice = gs_query::Notice::Quarantine {
        fingerprint: Fingerprint(9),
        crashes: 2,
        rest: Duration::from_secs(5),
    };
    w.on(Event::Sign(notice, gs_query::NoticeSource::Peer));
    let seq = w.arrive("urgent");
    let canary = w.open.remove(0);
    assert_eq!((canary.snapshot, w.open.len()), (SnapshotId(2), 0));
    for s in (0..5).filter(|s| ShardId(*s) != canary.attempt.shard) {
        report_held(&mut w, s, &[1]);
    }
    w.sent(&canary);
    w.reply(&canary, whole(&canary));
    w.open.retain(|d| d.snapshot == SnapshotId(1));
    w.serve_all();
    assert_eq!(w.answer(seq).hits, brute_force(1, &[0, 1], 5));
}
