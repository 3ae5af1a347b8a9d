//! Tests of suspects, canaries and quarantine.

use std::time::Duration;

use gs_query::Event;
use gs_query::Notice;
use gs_query::NoticeSource;
use gs_query::PartReply;
use gs_types::prelude::*;

use super::crash;
use super::fingerprint;
use super::quarantine;
use crate::world::World;
use crate::world::server;

/// A poisoned lookup is fanned out and crashes the first server. All other attempts are cancelled
/// before they are executed, and a single server gets the lookup next. When that crashes too, the
/// lookup is refused by this VM and every peer, and no further server gets it.
#[test]
fn at_most_one_further_server_executes_a_suspect() {
    let mut w = World::new(6, 2);
    let seq = w.arrive("urgent");
    let first = w.take(0);
    crash(&mut w, &first);
    assert_eq!(w.cancelled.len(), 5);
    for d in std::mem::take(&mut w.open) {
        w.reply(&d, PartReply::NotSent);
    }
    assert_eq!(w.open.len(), 1, "the canary alone");
    let canary = w.open.remove(0);
    assert_ne!(canary.server.name, first.server.name);
    crash(&mut w, &canary);
    assert!(w.open.is_empty());
    let Outcome::Unknown(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Quarantined);
    let notice = |crashes, rest| Notice::Quarantine {
        fingerprint: fingerprint("urgent"),
        crashes,
        rest,
    };
    assert_eq!(
        w.notices,
        [
            notice(1, Duration::ZERO),
            notice(2, Duration::from_secs(30))
        ]
    );
}

#[test]
fn a_resend_of_a_quarantined_lookup_is_refused_at_once() {
    let mut w = World::new(3, 1);
    quarantine(&mut w, 2, Duration::from_secs(30));
    w.advance(Duration::from_secs(10));
    let seq = w.arrive("urgent");
    let Outcome::NotRun(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Quarantined);
    assert_eq!(r.retry_after, Some(Duration::from_secs(20)));
    assert!(w.open.is_empty());
}

/// The caller retries its poisoned lookup while the first submission's canary is in flight.
#[test]
fn resends_of_a_suspect_are_refused_while_its_canary_is_in_flight() {
    let mut w = World::new(4, 2);
    w.arrive("urgent");
    let first = w.take(0);
    crash(&mut w, &first);
    let resend = w.arrive("urgent");
    let Outcome::NotRun(r) = w.outcome(resend) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Quarantined);
}

/// A server fails by itself under a harmless lookup. The canary's part clears the lookup, the rest
/// of the fan-out follows, and the page is complete.
#[test]
fn a_harmless_lookup_is_cleared_by_its_canary_and_answered_completely() {
    let mut w = World::new(4, 2);
    let seq = w.arrive("complete");
    let first = w.take(2);
    crash(&mut w, &first);
    for d in std::mem::take(&mut w.open) {
        w.reply(&d, PartReply::NotSent);
    }
    assert_eq!(w.open.len(), 1);
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
    assert!(matches!(
        w.notices.last(),
        Some(Notice::Quarantine { crashes: 0, .. })
    ));
    assert!(w.engine.dump(w.now).suspects.is_empty());
}

#[test]
fn a_lookup_suspected_by_a_peer_starts_with_a_canary() {
    let mut w = World::new(5, 1);
    quarantine(&mut w, 1, Duration::ZERO);
    let early = w.arrive("urgent");
    assert!(w.is_finished(early), "not refused during the peer's canary");
    w.advance(Duration::from_secs(2));
    let seq = w.arrive("urgent");
    assert_eq!(w.open.len(), 1);
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
}

/// A quarantine on any VM raises suspicion, since variants of the poisoned query may follow. A
/// lookup not seen before starts with a canary; one that succeeded recently does not.
#[test]
fn under_suspicion_only_unproven_lookups_get_a_canary() {
    let mut w = World::new(5, 1);
    w.arrive_with(World::request("urgent", "known"));
    w.serve_all();
    quarantine(&mut w, 2, Duration::from_secs(30));
    w.arrive_with(World::request("urgent", "known"));
    assert_eq!(w.open.len(), 5);
    w.serve_all();
    w.arrive_with(World::request("urgent", "variant"));
    assert_eq!(w.open.len(), 1);
}

#[test]
fn a_peers_quarantine_ends_the_lookup_in_flight() {
    let mut w = World::new(3, 1);
    let seq = w.arrive("urgent");
    quarantine(&mut w, 2, Duration::from_secs(30));
    let Outcome::Unknown(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Quarantined);
    assert_eq!(w.cancelled.len(), 3);
}

/// Suspicion is raised, and every shard but one has lost a replica. A canary that crashes its
/// server would leave any of those shards without a replica, so it is sent to the shard that has
/// one to spare; the next canary avoids the shard whose server just crashed.
#[test]
fn a_canary_is_sent_to_a_shard_with_a_spare_replica() {
    let mut w = World::new(6, 2);
    quarantine(&mut w, 2, Duration::from_secs(30));
    for s in (0..6).filter(|s| *s != 4) {
        w.on(Event::Sign(
            Notice::Drain {
                server: server(s, 0),
                incarnation: None,
            },
            NoticeSource::Peer,
        ));
    }
    w.arrive_with(World::request("urgent", "variant"));
    let canary = w.open.remove(0);
    assert_eq!(canary.attempt.shard, ShardId(4));
    crash(&mut w, &canary);
    let second = w.open.remove(0);
    assert_ne!(second.attempt.shard, ShardId(4));
}
