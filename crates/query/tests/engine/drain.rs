//! Tests that a draining server gets no new work.

use gs_query::EngineOptions;
use gs_query::Event;
use gs_query::Notice;
use gs_query::NoticeSource;
use gs_query::PartReply;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::World;
use crate::world::group;
use crate::world::part;
use crate::world::report;
use crate::world::server;
use crate::world::whole;

/// Creates one shard with two replicas, both in their first incarnation; replica 0 is near and
/// preferred.
fn world() -> World {
    let mut w = World::with(EngineOptions::default(), &group(1, 2, &[(1, 1)]));
    for r in 0..2 {
        w.on(Event::Report(report(server(0, r), 1, &[1])));
    }
    w
}

fn send_drain_notice(w: &mut World, incarnation: Option<u64>) {
    let notice = Notice::Drain {
        server: server(0, 0),
        incarnation: incarnation.map(Incarnation),
    };
    w.on(Event::Sign(notice, NoticeSource::Peer));
}

/// Returns the server of the next lookup, which is answered.
fn next_server(w: &mut World) -> ServerName {
    w.arrive("urgent");
    let d = w.take(0);
    w.sent(&d);
    w.now += std::time::Duration::from_millis(2);
    w.reply(&d, whole(&d));
    d.server.name.clone()
}

/// How the engine learns of the drain of replica 0.
enum Learned {
    Refused,
    ByHeader,
    ByHealth,
    ByPeer,
}

#[rstest]
#[case(Learned::Refused, true)]
#[case(Learned::ByHeader, true)]
#[case(Learned::ByHealth, true)]
#[case(Learned::ByPeer, false)]
fn the_first_drain_notice_applies_and_is_broadcast(
    #[case] learned: Learned,
    #[case] broadcast: bool,
) {
    let mut w = world();
    assert_eq!(next_server(&mut w), server(0, 0));
    match learned {
        Learned::Refused => {
            w.arrive("urgent");
            w.serve(0, PartReply::Draining);
            w.serve_all();
        }
        Learned::ByHeader => {
            w.arrive("urgent");
            let part = part(1, 0).into();
            w.serve(
                0,
                PartReply::Whole {
                    snapshot: SnapshotId(1),
                    part,
                    load: 0,
                    draining: true,
                },
            );
        }
        Learned::ByHealth => {
            let mut r = report(server(0, 0), 1, &[1]);
            r.draining = true;
            w.on(Event::Report(r));
        }
        Learned::ByPeer => send_drain_notice(&mut w, Some(1)),
    }
    for _ in 0..20 {
        assert_eq!(next_server(&mut w), server(0, 1));
    }
    let notice = Notice::Drain {
        server: server(0, 0),
        incarnation: Some(Incarnation(1)),
    };
    assert_eq!(w.notices, if broadcast { vec![notice] } else { vec![] });
}

/// The health endpoint is out of date and does not report the drain. The drain lasts until a new
/// incarnation is seen.
#[test]
fn only_a_new_incarnation_ends_a_drain() {
    let mut w = world();
    send_drain_notice(&mut w, Some(1));
    w.on(Event::Report(report(server(0, 0), 1, &[1])));
    assert_eq!(next_server(&mut w), server(0, 1));
    w.on(Event::Report(report(server(0, 0), 2, &[1])));
    let mut seen = Vec::new();
    for _ in 0..8 {
        seen.push(next_server(&mut w));
        // The new incarnation gets its share of work back over its slow start.
        w.advance(std::time::Duration::from_millis(500));
    }
    assert!(seen.contains(&server(0, 0)));
}

#[rstest]
#[case::of_an_earlier_incarnation(Some(1))]
#[case::without_an_incarnation(None)]
fn a_repeated_drain_notice_does_not_drain_the_next_incarnation(#[case] incarnation: Option<u64>) {
    let mut w = world();
    send_drain_notice(&mut w, incarnation);
    w.on(Event::Report(report(server(0, 0), 2, &[1])));
    send_drain_notice(&mut w, incarnation);
    let seen: Vec<_> = (0..8).map(|_| next_server(&mut w)).collect();
    assert!(seen.contains(&server(0, 0)));
}

/// Parts queued for a server that starts to drain are requeued to the other replica immediately.
#[test]
fn parts_queued_for_a_draining_server_are_requeued() {
    let mut w = world();
    let seqs: Vec<_> = (0..6).map(|_| w.arrive("complete")).collect();
    assert_eq!((w.open.len(), w.engine.dump(w.now).waiting), (4, 2));
    send_drain_notice(&mut w, Some(1));
    w.serve_all();
    for seq in seqs {
        assert!(w.answer(seq).coverage.is_complete());
    }
}

#[test]
fn lookups_queued_for_the_last_replica_are_refused_when_it_drains() {
    let mut w = World::new(1, 1);
    let seqs: Vec<_> = (0..3).map(|_| w.arrive("complete")).collect();
    w.on(Event::Sign(
        Notice::Drain {
            server: server(0, 0),
            incarnation: None,
        },
        NoticeSource::Platform,
    ));
    let Outcome::NotRun(r) = w.outcome(seqs[2]) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Incomplete);
    assert_eq!(r.missing[0].reason, MissReason::NoReplica);
}

/// A starting process receives a peer's drain notice before the map that declares the server. Its
/// first lookups must not be sent to that server.
#[test]
fn a_drain_notice_before_the_server_is_declared_applies() {
    let mut w = World::with(EngineOptions::default(), &group(1, 2, &[(1, 1)]));
    let notice = Notice::Drain {
        server: server(1, 0),
        incarnation: Some(Incarnation(3)),
    };
    w.on(Event::Sign(notice, NoticeSource::Peer));
    let map = group(2, 2, &[(1, 2)]);
    w.on(Event::Group(std::sync::Arc::new(map)));
    for _ in 0..4 {
        w.arrive("urgent");
        assert!(w.open.iter().all(|d| d.server.name != server(1, 0)));
        w.serve_all();
    }
}

/// A server reports that it drains before its incarnation is known here. It restarts, and a peer
/// announces the drain of the next incarnation without naming it. That is a new notice and not a
/// repetition of the server's own report.
#[test]
fn a_drain_notice_after_a_servers_own_report_is_not_a_repetition() {
    let mut w = World::with(EngineOptions::default(), &group(1, 2, &[(1, 1)]));
    w.arrive("urgent");
    let d = w.take(0);
    w.sent(&d);
    w.reply(&d, PartReply::Draining);
    w.serve_all();
    let drained = d.server.name.clone();
    w.on(Event::Report(report(drained.clone(), 1, &[1])));
    w.on(Event::Report(report(drained.clone(), 2, &[1])));
    let notice = Notice::Drain {
        server: drained.clone(),
        incarnation: None,
    };
    w.on(Event::Sign(notice, NoticeSource::Peer));
    // The other replica drains too, so that it cannot take the work instead.
    let other = (0..2).map(|r| server(0, r)).find(|s| *s != drained);
    let notice = Notice::Drain {
        server: other.expect("another replica"),
        incarnation: Some(Incarnation(1)),
    };
    w.on(Event::Sign(notice, NoticeSource::Peer));
    w.arrive("urgent");
    assert!(w.open.is_empty());
}
