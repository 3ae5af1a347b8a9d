//! Tests of several servers whose connections break together: a lost data centre or a poisoned
//! lookup.

use std::time::Duration;

use gs_query::Event;
use gs_query::Notice;
use gs_query::NoticeSource;
use gs_query::PartReply;
use gs_types::prelude::*;

use super::crash;
use crate::world::World;
use crate::world::name;
use crate::world::server;
use crate::world::whole;

/// A data centre fails, and with it two servers under a fan-out of a query not seen before. That is
/// no proof against the query, since a partition looks the same. A server elsewhere executes it
/// alone without crashing, so the page is complete and the query is not refused for the 30 s of a
/// quarantine.
#[test]
fn servers_crashing_in_one_data_centre_do_not_quarantine_a_lookup() {
    let mut w = World::new(4, 2);
    let seq = w.arrive("complete");
    let (first, second) = (w.take(0), w.take(1));
    w.sent(&second);
    crash(&mut w, &first);
    w.reply(&second, PartReply::Broken);
    for d in std::mem::take(&mut w.open) {
        w.reply(&d, PartReply::NotSent);
    }
    assert_eq!(w.open.len(), 1, "the canary alone");
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
}

/// A poisoned query not seen before crashes servers in this and another data centre at once. No
/// partition looks like that, so it is refused without a canary, which could crash a shard's last
/// replica.
#[test]
fn servers_crashing_in_two_data_centres_quarantine_a_lookup() {
    let mut w = World::new(4, 2);
    // Without its near replica, shard 1 is queried in the other data centre.
    w.on(Event::Sign(
        Notice::Drain {
            server: server(1, 0),
            incarnation: None,
        },
        NoticeSource::Peer,
    ));
    let seq = w.arrive("complete");
    let (near, far) = (w.take(0), w.take(1));
    assert_ne!(near.server.data_centre, far.server.data_centre);
    w.sent(&far);
    crash(&mut w, &near);
    w.reply(&far, PartReply::Broken);
    let Outcome::Unknown(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Quarantined);
    w.open.retain(|d| !w.cancelled.contains(&d.attempt));
    assert!(w.open.is_empty());
    // It had no canary, so its quarantine is short, and its next submission starts with one.
    w.advance(Duration::from_secs(5));
    w.arrive("complete");
    assert_eq!(w.open.len(), 1);
}

/// This process is paused, and the servers drop its connections. When it resumes, it finds the
/// attempts broken everywhere before the deadline's timer is processed. The lookups are past their
/// deadlines and must not be quarantined.
#[test]
fn broken_attempts_found_after_the_deadline_quarantine_no_lookup() {
    let mut w = World::new(4, 2);
    w.on(Event::Sign(
        Notice::Drain {
            server: server(1, 0),
            incarnation: None,
        },
        NoticeSource::Peer,
    ));
    let seq = w.arrive("complete");
    let open = std::mem::take(&mut w.open);
    for d in &open {
        w.sent(d);
    }
    w.now += Duration::from_secs(9);
    for d in &open {
        w.reply(d, PartReply::Broken);
    }
    w.advance(Duration::ZERO);
    assert!(w.is_finished(seq));
    assert_eq!(w.notices, []);
    assert!(w.engine.dump(w.now).suspects.is_empty());
}

/// A data centre fails, and many servers break at once under a lookup that succeeded recently. It
/// must not be quarantined.
#[test]
fn a_proven_lookup_is_not_quarantined_when_a_data_centre_fails() {
    let mut w = World::new(6, 2);
    w.arrive("urgent");
    w.serve_all();
    let seq = w.arrive("urgent");
    let (lost, others): (Vec<_>, Vec<_>) = std::mem::take(&mut w.open)
        .into_iter()
        .partition(|d| d.server.data_centre == near());
    for d in &lost {
        crash(&mut w, d);
    }
    w.open.extend(others);
    w.open.retain(|d| d.server.data_centre != near());
    let cancelled = w.cancelled.clone();
    for d in std::mem::take(&mut w.open) {
        if cancelled.contains(&d.attempt) {
            w.reply(&d, PartReply::NotSent);
        } else {
            w.sent(&d);
            w.reply(&d, whole(&d));
        }
    }
    w.advance(Duration::from_millis(60));
    w.serve_all();
    assert!(w.answer(seq).coverage.is_complete());
}

fn near() -> DataCentre {
    name("near")
}

/// A poisoned lookup, fanned out through another VM, crashes a server of every shard. Its caller
/// retries it through this VM before the other VM's notice arrives, which would crash the other
/// replicas too. The crash also closed this VM's connections at the same moment.
#[test]
fn connections_lost_together_raise_suspicion_before_a_peers_notice() {
    let mut w = World::new(6, 2);
    w.on(Event::Lost(server(0, 0)));
    w.on(Event::Lost(server(1, 0)));
    w.arrive("urgent");
    assert_eq!(w.open.len(), 1, "the canary alone");
    w.advance(Duration::from_secs(2));
    let before = w.open.len();
    w.arrive_with(World::request("urgent", "larch"));
    assert_eq!(w.open.len(), before + 6, "suspicion is still raised");
}

#[test]
fn connections_lost_separately_raise_no_suspicion() {
    let mut w = World::new(6, 2);
    w.on(Event::Lost(server(0, 0)));
    w.on(Event::Lost(server(0, 0)));
    w.advance(Duration::from_millis(200));
    w.on(Event::Lost(server(1, 0)));
    w.arrive("urgent");
    assert_eq!(w.open.len(), 6);
}
