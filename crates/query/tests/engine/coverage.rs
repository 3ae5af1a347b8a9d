//! Tests of a page's coverage and of when it is returned.

use std::time::Duration;

use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::World;
use crate::world::brute_force;
use crate::world::name;
use crate::world::server;
use crate::world::whole;

#[rstest]
#[case("urgent")]
#[case("complete")]
fn a_page_of_all_shards_equals_the_brute_force_page(#[case] lookup: &str) {
    let mut w = World::new(7, 2);
    let seq = w.arrive(lookup);
    w.serve_all();
    let a = w.answer(seq);
    assert_eq!(a.hits, brute_force(1, &[0, 1, 2, 3, 4, 5, 6], 5));
    assert_eq!((a.coverage.shards, a.coverage.whole, a.matched), (7, 7, 14));
    assert_eq!(a.coverage.missing, []);
    assert!(!a.ended_early);
}

/// A shard's server does not reply. The page is still returned by the deadline and names the
/// missing shard.
#[test]
fn an_urgent_lookup_returns_the_parts_received_by_its_deadline() {
    let mut w = World::new(3, 1);
    let seq = w.arrive("urgent");
    for shard in [0, 2] {
        let d = w.take(shard);
        w.sent(&d);
        w.reply(&d, whole(&d));
    }
    w.advance(Duration::from_millis(150));
    assert!(!w.is_finished(seq));
    w.advance(Duration::from_millis(49));
    let a = w.answer(seq);
    assert_eq!(a.hits, brute_force(1, &[0, 2], 5));
    let missing = MissingShard {
        shard: ShardId(1),
        reason: MissReason::Late,
    };
    assert_eq!(a.coverage.missing, [missing]);
    assert_eq!(w.cancelled.len(), 1);
}

#[test]
fn an_urgent_lookup_without_any_part_is_refused_instead_of_an_empty_page() {
    let mut w = World::new(2, 1);
    let seq = w.arrive("urgent");
    for shard in 0..2 {
        let d = w.take(shard);
        w.sent(&d);
    }
    w.advance(Duration::from_millis(199));
    let Outcome::Unknown(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Incomplete);
    assert_eq!(r.missing.len(), 2);
}

/// A complete lookup loses one shard's only replica while it runs. It is refused with the shard's
/// number as soon as that is known, since its caller relies on a complete page.
#[test]
fn a_complete_lookup_is_refused_naming_the_missing_shards() {
    let mut w = World::new(3, 1);
    let seq = w.arrive("complete");
    w.serve(
        0,
        PartReply::Whole {
            snapshot: SnapshotId(1),
            part: crate::world::part(1, 0).into(),
            load: 0,
            draining: false,
        },
    );
    w.serve(1, PartReply::Broken);
    let Outcome::Unknown(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Incomplete);
    let failed = r.missing.iter().find(|m| m.shard == ShardId(1));
    assert_eq!(failed.map(|m| m.reason), Some(MissReason::Failed));
    assert!(r.retry_after.is_some());
}

#[test]
fn a_complete_lookup_is_not_started_while_a_shard_has_no_replica() {
    let mut w = World::new(3, 1);
    w.on(Event::Sign(
        gs_query::Notice::Drain {
            server: server(1, 0),
            incarnation: None,
        },
        gs_query::NoticeSource::Peer,
    ));
    let seq = w.arrive("complete");
    let Outcome::NotRun(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Incomplete);
    let missing = MissingShard {
        shard: ShardId(1),
        reason: MissReason::NoReplica,
    };
    assert_eq!(r.missing, [missing]);
    assert!(w.open.is_empty());
}

#[test]
fn an_urgent_lookup_continues_without_a_shard_that_has_no_replica() {
    let mut w = World::new(3, 1);
    w.on(Event::Sign(
        gs_query::Notice::Drain {
            server: server(1, 0),
            incarnation: None,
        },
        gs_query::NoticeSource::Peer,
    ));
    let seq = w.arrive("urgent");
    w.serve_all();
    let a = w.answer(seq);
    assert_eq!((a.coverage.shards, a.coverage.whole), (3, 2));
    assert_eq!(a.coverage.missing[0].reason, MissReason::NoReplica);
}

#[test]
fn a_lookup_with_enough_parts_ends_early_and_reports_it() {
    let mut w = World::new(4, 1);
    let seq = w.arrive("handful");
    for shard in [0, 1] {
        let d = w.take(shard);
        w.sent(&d);
        w.reply(&d, whole(&d));
    }
    let a = w.answer(seq);
    assert!(a.ended_early);
    assert_eq!(a.hits, brute_force(1, &[0, 1], 5));
    let reasons: Vec<_> = a.coverage.missing.iter().map(|m| m.reason).collect();
    assert_eq!(reasons, [MissReason::EndedEarly; 2]);
    assert_eq!(w.cancelled.len(), 2);
}

#[test]
fn a_keyed_lookup_queries_only_the_shard_of_its_key() {
    let mut w = World::new(5, 1);
    let seq = w.arrive("book");
    let shard = gs_query::shard_of_key("franchise-9", 5).expect("a shard");
    assert_eq!(w.open.len(), 1);
    assert_eq!(w.open[0].attempt.shard, shard);
    w.serve_all();
    let a = w.answer(seq);
    assert_eq!((a.coverage.shards, a.coverage.whole), (1, 1));
    assert_eq!(a.hits, brute_force(1, &[shard.0], 5));
}

#[rstest]
#[case::keyed_without_key("book", None, RefusalReason::BadRequest)]
#[case::unknown("nothing", None, RefusalReason::NoSuchLookup)]
fn an_invalid_request_is_refused_without_retry_after(
    #[case] lookup: &str,
    #[case] key: Option<&str>,
    #[case] reason: RefusalReason,
) {
    let mut w = World::new(2, 1);
    let mut req = World::request("urgent", "pine");
    req.lookup = name(lookup);
    req.key = key.map(Into::into);
    let seq = w.arrive_with(req);
    assert_eq!(w.outcome(seq), Outcome::NotRun(Refusal::new(reason, None)));
}
