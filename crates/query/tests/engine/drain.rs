//! A leaving server gets no new work.

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

/// One shard on two replicas, both in their first run; replica 0 is near and taken first.
fn world() -> World {
    let mut w = World::with(EngineOptions::default(), &group(1, 2, &[(1, 1)]));
    for r in 0..2 {
        w.on(Event::Report(report(server(0, r), 1, &[1])));
    }
    w
}

fn sign(w: &mut World, incarnation: Option<u64>) {
    let sign = Notice::Drain {
        server: server(0, 0),
        incarnation: incarnation.map(Incarnation),
    };
    w.on(Event::Sign(sign, NoticeSource::Peer));
}

/// The server that the next lookup goes to; it is answered.
fn next_server(w: &mut World) -> ServerName {
    w.arrive("urgent");
    let d = w.take(0);
    w.sent(&d);
    w.now += std::time::Duration::from_millis(2);
    w.reply(&d, whole(&d));
    d.server.name.clone()
}

/// How the drain of replica 0 is learned.
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
fn the_first_sign_of_a_drain_counts_and_is_spread(#[case] learned: Learned, #[case] spread: bool) {
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
        Learned::ByPeer => sign(&mut w, Some(1)),
    }
    for _ in 0..20 {
        assert_eq!(next_server(&mut w), server(0, 1));
    }
    let told = Notice::Drain {
        server: server(0, 0),
        incarnation: Some(Incarnation(1)),
    };
    assert_eq!(w.spread, if spread { vec![told] } else { vec![] });
}

/// The health endpoint lags and still says "not draining". The mark holds until a new run shows.
#[test]
fn only_a_new_run_ends_a_drain() {
    let mut w = world();
    sign(&mut w, Some(1));
    w.on(Event::Report(report(server(0, 0), 1, &[1])));
    assert_eq!(next_server(&mut w), server(0, 1));
    w.on(Event::Report(report(server(0, 0), 2, &[1])));
    let mut seen = Vec::new();
    for _ in 0..8 {
        seen.push(next_server(&mut w));
        // The new run is cold and gets its work back over the time of its slow start.
        w.pass(std::time::Duration::from_millis(500));
    }
    assert!(seen.contains(&server(0, 0)));
}

#[rstest]
#[case::of_an_earlier_run(Some(1))]
#[case::without_a_run(None)]
fn a_sign_told_again_does_not_drain_the_next_run(#[case] run: Option<u64>) {
    let mut w = world();
    sign(&mut w, run);
    w.on(Event::Report(report(server(0, 0), 2, &[1])));
    sign(&mut w, run);
    let seen: Vec<_> = (0..8).map(|_| next_server(&mut w)).collect();
    assert!(seen.contains(&server(0, 0)));
}

/// Parts wait for the connections of a server that then drains. They move to its peer at once.
#[test]
fn parts_that_wait_for_a_draining_server_move_on() {
    let mut w = world();
    let seqs: Vec<_> = (0..6).map(|_| w.arrive("complete")).collect();
    assert_eq!((w.open.len(), w.engine.dump(w.now).waiting), (4, 2));
    sign(&mut w, Some(1));
    w.serve_all();
    for seq in seqs {
        assert!(w.answer(seq).coverage.is_full());
    }
}

#[test]
fn when_the_last_replica_drains_what_waits_for_it_is_refused_at_once() {
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

/// A process starts: its peers' gossip of a drain arrives before the map that declares the server.
/// Its first lookups must not go to the leaving server for that. Found by the fuzzer.
#[test]
fn a_drain_told_before_the_server_is_declared_counts() {
    let mut w = World::with(EngineOptions::default(), &group(1, 2, &[(1, 1)]));
    let sign = Notice::Drain {
        server: server(1, 0),
        incarnation: Some(Incarnation(3)),
    };
    w.on(Event::Sign(sign, NoticeSource::Peer));
    let map = group(2, 2, &[(1, 2)]);
    w.on(Event::Group(std::sync::Arc::new(map)));
    for _ in 0..4 {
        w.arrive("urgent");
        assert!(w.open.iter().all(|d| d.server.name != server(1, 0)));
        w.serve_all();
    }
}

/// A server says itself that it drains before its run is known here. It restarts, and a peer tells
/// of the drain of the next run without naming it. That is the first such sign, and no echo of the
/// server's own word. Found by the fuzzer in a longer run.
#[test]
fn a_servers_own_word_does_not_make_a_later_sign_an_echo() {
    let mut w = World::with(EngineOptions::default(), &group(1, 2, &[(1, 1)]));
    w.arrive("urgent");
    let d = w.take(0);
    w.sent(&d);
    w.reply(&d, PartReply::Draining);
    w.serve_all();
    let drained = d.server.name.clone();
    w.on(Event::Report(report(drained.clone(), 1, &[1])));
    w.on(Event::Report(report(drained.clone(), 2, &[1])));
    let sign = Notice::Drain {
        server: drained.clone(),
        incarnation: None,
    };
    w.on(Event::Sign(sign, NoticeSource::Peer));
    // The other replica goes too, so that nothing else can keep work away from this one.
    let other = (0..2).map(|r| server(0, r)).find(|s| *s != drained);
    let sign = Notice::Drain {
        server: other.expect("another replica"),
        incarnation: Some(Incarnation(1)),
    };
    w.on(Event::Sign(sign, NoticeSource::Peer));
    w.arrive("urgent");
    assert!(w.open.is_empty());
}
