//! Lookups that crash the servers that run them.

use std::time::Duration;

use gs_query::Dispatch;
use gs_query::Event;
use gs_query::PartReply;
use gs_query::Sign;
use gs_query::SignSource;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::World;
use crate::world::name;
use crate::world::report;
use crate::world::server;
use crate::world::whole;

fn fingerprint(lookup: &str) -> Fingerprint {
    World::request(lookup, "pine").fingerprint()
}

fn quarantine(w: &mut World, crashes: u32, rest: Duration) {
    let sign = Sign::Quarantine {
        fingerprint: fingerprint("urgent"),
        crashes,
        rest,
    };
    w.on(Event::Sign(sign, SignSource::Peer));
}

/// Breaks an attempt as a crash does.
fn crash(w: &mut World, d: &Dispatch) {
    w.sent(d);
    w.reply(d, PartReply::Broken);
}

/// A poisoned lookup is fanned out. The first server crashes; all other attempts are stopped
/// before they run, and one server alone gets it next. When that crashes too, the lookup is refused,
/// here and by every peer, and nobody else sees it.
#[test]
fn at_most_one_further_server_sees_a_suspect() {
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
    let told = |crashes, rest| Sign::Quarantine {
        fingerprint: fingerprint("urgent"),
        crashes,
        rest,
    };
    assert_eq!(
        w.spread,
        [told(1, Duration::ZERO), told(2, Duration::from_secs(30))]
    );
}

#[test]
fn a_resend_of_a_quarantined_lookup_is_refused_at_once() {
    let mut w = World::new(3, 1);
    quarantine(&mut w, 2, Duration::from_secs(30));
    w.pass(Duration::from_secs(10));
    let seq = w.arrive("urgent");
    let Outcome::NotRun(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Quarantined);
    assert_eq!(r.retry_after, Some(Duration::from_secs(20)));
    assert!(w.open.is_empty());
}

/// The caller resends its poisoned lookup while the first is still being tried on one server.
#[test]
fn while_a_suspect_is_tried_its_resends_are_refused() {
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

/// A server dies by itself under a harmless lookup. The canary's answer clears the lookup, the
/// rest of the fan-out follows, and the page is whole.
#[test]
fn a_harmless_lookup_is_cleared_by_its_canary_and_answered_whole() {
    let mut w = World::new(4, 2);
    let seq = w.arrive("complete");
    let first = w.take(2);
    crash(&mut w, &first);
    for d in std::mem::take(&mut w.open) {
        w.reply(&d, PartReply::NotSent);
    }
    assert_eq!(w.open.len(), 1);
    w.serve_all();
    assert!(w.answer(seq).coverage.is_full());
    assert!(matches!(
        w.spread.last(),
        Some(Sign::Quarantine { crashes: 0, .. })
    ));
    assert!(w.engine.dump(w.now).suspects.is_empty());
}

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
        Sign::Drain {
            server: server(1, 0),
            incarnation: None,
        },
        SignSource::Peer,
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
        Sign::Drain {
            server: server(1, 0),
            incarnation: None,
        },
        SignSource::Peer,
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

/// A server dies under a lookup that another shard has answered already. A poisoned lookup crashes
/// each server that runs it, so this one is harmless: no canary, only a retry of the lost part.
#[test]
fn a_lookup_that_a_server_survived_is_no_suspect() {
    let mut w = World::new(3, 2);
    let seq = w.arrive("urgent");
    let ok = w.take(0);
    w.sent(&ok);
    w.reply(&ok, whole(&ok));
    let broken = w.take(1);
    crash(&mut w, &broken);
    assert!(w.cancelled.is_empty());
    w.serve_all();
    assert!(w.answer(seq).coverage.is_full());
    assert_eq!(w.spread, []);
}

#[test]
fn under_a_peers_suspicion_a_lookup_shows_one_server_first() {
    let mut w = World::new(5, 1);
    quarantine(&mut w, 1, Duration::ZERO);
    let early = w.arrive("urgent");
    assert!(w.is_over(early), "left to the peer's canary at first");
    w.pass(Duration::from_secs(2));
    let seq = w.arrive("urgent");
    assert_eq!(w.open.len(), 1);
    w.serve_all();
    assert!(w.answer(seq).coverage.is_full());
}

/// A quarantine somewhere raises suspicion: variants of the poisoned text may follow. A lookup
/// never seen before shows one server first; one that ran well just now does not.
#[test]
fn while_suspicion_is_up_only_unproven_lookups_get_a_canary() {
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
fn a_peers_quarantine_stops_the_lookup_here() {
    let mut w = World::new(3, 1);
    let seq = w.arrive("urgent");
    quarantine(&mut w, 2, Duration::from_secs(30));
    let Outcome::Unknown(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Quarantined);
    assert_eq!(w.cancelled.len(), 3);
}

/// The crashed servers restart. Their new runs are served again at once, and owe nothing to the
/// failures of the old.
#[test]
fn a_crashed_server_is_back_with_its_new_run() {
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
    assert!(w.answer(seq).coverage.is_full());
    let failures: u32 = w
        .engine
        .dump(w.now)
        .servers
        .iter()
        .map(|s| s.failures)
        .sum();
    assert_eq!(failures, 0);
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

/// A server dies by itself under a popular lookup, and the VM that saw it tells its suspicion. The
/// lookup ran well here a moment ago, so it must not be refused by the whole fleet for that.
#[test]
fn a_peers_suspicion_does_not_stop_a_lookup_that_just_ran_well_here() {
    let mut w = World::new(3, 1);
    w.arrive("urgent");
    w.serve_all();
    quarantine(&mut w, 1, Duration::ZERO);
    let seq = w.arrive("urgent");
    assert_eq!(w.open.len(), 3);
    w.serve_all();
    assert!(w.answer(seq).coverage.is_full());
    quarantine(&mut w, 2, Duration::from_secs(30));
    let seq = w.arrive("urgent");
    let Outcome::NotRun(r) = w.outcome(seq) else {
        panic!("{:?}", w.answers);
    };
    assert_eq!(r.reason, RefusalReason::Quarantined);
}

/// A text that ran well until now begins to crash servers, as their index or program changed. Its
/// fan-out breaks a server of each shard. A retry of the first one at once would take that shard's
/// last replica down too; it waits a moment for what the other shards say.
#[test]
fn a_lost_part_of_a_proven_lookup_waits_for_the_other_parts_before_its_retry() {
    let mut w = World::new(3, 2);
    w.arrive("urgent");
    w.serve_all();
    let seq = w.arrive("urgent");
    let first = w.take(0);
    crash(&mut w, &first);
    assert_eq!(w.open.len(), 2, "retried before the others were heard");
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

/// The other side of it: one server dies by itself under a proven lookup. Its part is asked for
/// again as soon as another part is in, or after a few milliseconds.
#[rstest]
#[case::after_another_part(true)]
#[case::after_a_moment(false)]
fn a_lost_part_of_a_proven_lookup_is_retried_soon(#[case] another_comes: bool) {
    let mut w = World::new(3, 2);
    w.arrive("urgent");
    w.serve_all();
    let seq = w.arrive("urgent");
    let lost = w.take(0);
    crash(&mut w, &lost);
    if another_comes {
        let d = w.take(1);
        w.sent(&d);
        w.reply(&d, whole(&d));
    } else {
        w.pass(Duration::from_millis(10));
    }
    assert!(w.open.iter().any(|d| d.attempt.shard == ShardId(0)));
    w.serve_all();
    assert!(w.answer(seq).coverage.is_full());
}

/// Suspicion is up, and every shard but one has lost a replica already. A canary that crashed its
/// server would leave any of those shards without one for everybody; so it goes to the one that has
/// a replica to spare, and the next canary not to the shard whose server it just crashed.
#[test]
fn a_canary_goes_where_a_replica_can_be_spared() {
    let mut w = World::new(6, 2);
    quarantine(&mut w, 2, Duration::from_secs(30));
    for s in (0..6).filter(|s| *s != 4) {
        w.on(Event::Sign(
            Sign::Drain {
                server: server(s, 0),
                incarnation: None,
            },
            SignSource::Peer,
        ));
    }
    w.arrive_with(World::request("urgent", "variant"));
    let canary = w.open.remove(0);
    assert_eq!(canary.attempt.shard, ShardId(4));
    crash(&mut w, &canary);
    let second = w.open.remove(0);
    assert_ne!(second.attempt.shard, ShardId(4));
}

/// VMs that hear each other's signs at once, and servers that crash on every attempt they get.
struct Fleet {
    vms: Vec<World>,
    crashed: Vec<ServerName>,
}

impl Fleet {
    fn new(vms: usize, shards: u32) -> Self {
        Self {
            vms: (0..vms).map(|_| World::new(shards, 3)).collect(),
            crashed: Vec::new(),
        }
    }

    /// Tells every sign to every other VM.
    fn gossip(&mut self) {
        for n in 0..self.vms.len() {
            for sign in std::mem::take(&mut self.vms[n].spread) {
                for (other, w) in self.vms.iter_mut().enumerate() {
                    if other != n {
                        w.on(Event::Sign(sign.clone(), SignSource::Peer));
                    }
                }
            }
        }
    }

    /// Every attempt under way that was not cancelled reaches its server, which crashes.
    fn crash_all(&mut self) {
        for n in 0..self.vms.len() {
            let w = &mut self.vms[n];
            while let Some(d) = w.open.pop() {
                if w.cancelled.contains(&d.attempt) {
                    w.reply(&d, PartReply::NotSent);
                    continue;
                }
                crash(w, &d);
                self.crashed.push(d.server.name.clone());
            }
        }
        self.gossip();
    }

    fn pass(&mut self, by: Duration) {
        for w in &mut self.vms {
            w.pass(by);
        }
        self.gossip();
    }
}

/// A caller sends a poisoned lookup again and again, each time to another VM. Two servers crash,
/// one under the first run and one under the canary; every later resend is refused at once.
#[test]
fn a_poisoned_lookup_resent_through_every_vm_crashes_two_servers() {
    let mut f = Fleet::new(3, 1);
    for n in 0..60 {
        f.vms[n % 3].arrive("book");
        f.crash_all();
        f.pass(Duration::from_millis(100));
    }
    f.crashed.sort();
    f.crashed.dedup();
    assert_eq!(f.crashed.len(), 2, "{:?}", f.crashed);
}

/// A poisoned lookup over many shards has crashed servers, and suspicion is up in the fleet. The
/// next poisoned text, seen for the first time, is shown to two servers one after the other and to
/// no more, at whichever VMs it is resent.
#[test]
fn under_suspicion_a_new_poisoned_fan_out_crashes_at_most_two_servers() {
    let mut f = Fleet::new(3, 8);
    f.vms[0].arrive("urgent");
    f.crash_all();
    f.crash_all();
    f.pass(Duration::from_secs(1));
    f.crashed.clear();
    for n in 0..60 {
        f.vms[n % 3].arrive_with(World::request("urgent", "another"));
        f.crash_all();
        f.pass(Duration::from_millis(100));
    }
    f.crashed.sort();
    f.crashed.dedup();
    assert!((1..=2).contains(&f.crashed.len()), "{:?}", f.crashed);
}
