//! Servers that break together: a lost data centre, or a poisoned lookup?

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

/// A data centre is lost, and with it two servers under a fan-out of a text never seen before. That is
/// no proof against the text: breaking together is what a cut looks like too. A server elsewhere sees it
/// alone, lives, and the page is whole; nobody is refused for half a minute.
#[test]
fn servers_that_break_together_do_not_convict_a_lookup() {
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
    assert!(w.answer(seq).coverage.is_full());
}

/// A poisoned text never seen before crashes servers here and in another data centre at once. No cut
/// looks like that, so it is refused without a canary, which could take a shard's last replica down.
#[test]
fn servers_that_break_here_and_elsewhere_convict_a_lookup() {
    let mut w = World::new(4, 2);
    // Without its near replica, shard 1 is asked in the other data centre.
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
    // It was not tried alone, so its rest is short, and its next run shows one server first.
    w.pass(Duration::from_secs(5));
    w.arrive("complete");
    assert_eq!(w.open.len(), 1);
}

/// This process is paused for a while, and the servers drop its connections. When it goes on, it
/// finds attempts broken everywhere before it finds their deadline passed. The lookups are over; they
/// must not be put into quarantine in the whole fleet for that.
#[test]
fn breaks_found_after_the_deadline_convict_nobody() {
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
    w.pass(Duration::ZERO);
    assert!(w.is_over(seq));
    assert_eq!(w.spread, []);
    assert!(w.engine.dump(w.now).suspects.is_empty());
}

/// A data centre goes: many servers break at once under a lookup that ran well a moment ago. It
/// must not be put into quarantine for that.
#[test]
fn a_proven_lookup_is_not_quarantined_when_a_data_centre_goes() {
    let mut w = World::new(6, 2);
    w.arrive("urgent");
    w.serve_all();
    let seq = w.arrive("urgent");
    let (gone, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut w.open)
        .into_iter()
        .partition(|d| d.server.data_centre == name_near());
    for d in &gone {
        crash(&mut w, d);
    }
    w.open.extend(rest);
    w.open.retain(|d| d.server.data_centre != name_near());
    let cancelled = w.cancelled.clone();
    for d in std::mem::take(&mut w.open) {
        if cancelled.contains(&d.attempt) {
            w.reply(&d, PartReply::NotSent);
        } else {
            w.sent(&d);
            w.reply(&d, whole(&d));
        }
    }
    w.pass(Duration::from_millis(60));
    w.serve_all();
    assert!(w.answer(seq).coverage.is_full());
}

fn name_near() -> DataCentre {
    name("near")
}

/// A poisoned lookup is fanned out through another VM and crashes a server of every shard. Its caller
/// sends it again at once, through this VM, before the other's word is here: it would crash the
/// replicas too. But the crash also closed this VM's connections, at that same moment.
#[test]
fn servers_lost_together_raise_suspicion_before_a_peers_word() {
    let mut w = World::new(6, 2);
    w.on(Event::Lost(server(0, 0)));
    w.on(Event::Lost(server(1, 0)));
    w.arrive("urgent");
    assert_eq!(w.open.len(), 1, "the canary alone");
    w.pass(Duration::from_secs(2));
    let before = w.open.len();
    w.arrive_with(World::request("urgent", "larch"));
    assert_eq!(w.open.len(), before + 6, "no suspicion is left");
}

#[test]
fn one_server_lost_raises_no_suspicion() {
    let mut w = World::new(6, 2);
    w.on(Event::Lost(server(0, 0)));
    w.on(Event::Lost(server(0, 0)));
    w.pass(Duration::from_millis(200));
    w.on(Event::Lost(server(1, 0)));
    w.arrive("urgent");
    assert_eq!(w.open.len(), 6);
}
