//! Verdicts, one situation each.

use std::time::Duration;

use gs_once::ClaimResult;
use gs_once::Event;
use gs_once::Message;
use gs_query::ClaimVerdict;
use gs_query::ClaimVerdict::Expired;
use gs_query::ClaimVerdict::Granted;
use gs_query::ClaimVerdict::Refused;
use gs_query::ClaimVerdict::Taken;
use gs_query::ClaimVerdict::Unknown;
use gs_types::prelude::StoreError;

use crate::world::Mood;
use crate::world::Net;
use crate::world::World;
use crate::world::vm;

const SECOND: Duration = Duration::from_secs(1);

fn verdicts(w: &World) -> Vec<ClaimVerdict> {
    w.verdicts.iter().map(|(_, v)| *v).collect()
}

#[test]
fn a_key_is_granted_once_and_taken_through_every_vm() {
    let mut w = World::new(3);
    let key = w.key(0, "a");
    for i in [0, 0, 1, 2] {
        w.ask(i, &key);
        w.run(SECOND);
    }
    assert_eq!(verdicts(&w), [Granted, Taken, Taken, Taken]);
}

/// Two copies of a renewal arrive at two VMs in the same moment. Whichever is written first runs.
#[test]
fn of_two_asks_at_once_one_is_granted() {
    let mut w = World::new(3);
    let key = w.key(0, "a");
    (0..3).for_each(|i| w.ask(i, &key));
    w.run(SECOND);
    let mut got = verdicts(&w);
    got.sort_by_key(|v| *v != Granted);
    assert_eq!(got, [Granted, Taken, Taken]);
}

/// The platform is down. Nothing was handed over, and nothing can be any more, so the caller is
/// told so at once and may come back with the same key.
#[test]
fn with_the_platform_away_an_ask_is_refused_at_once() {
    let mut w = World::new(1);
    w.mood = Mood::Away;
    let key = w.key(0, "a");
    w.ask(0, &key);
    w.run(Duration::from_millis(20));
    assert_eq!(verdicts(&w), [Refused]);
    w.mood = Mood::Well;
    w.run(SECOND);
    w.ask(0, &key);
    w.run(SECOND);
    assert_eq!(verdicts(&w), [Refused, Granted]);
}

/// The write of a claim takes effect and its answer is lost. Read back, it shows this ask's nonce.
#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    let mut w = World::new(1);
    w.mood = Mood::LosesAnswers;
    let key = w.key(0, "a");
    w.ask(0, &key);
    w.run(SECOND);
    assert_eq!(verdicts(&w), [Granted]);
}

/// The write of a claim hangs in the network, and reads fail. It may yet take effect, so that
/// "not run" would be a lie; when it lands, the key is used up without having run.
#[test]
fn a_write_that_may_yet_land_leaves_the_key_unknown() {
    let mut w = World::new(1);
    w.mood = Mood::LateAndBlind;
    let key = w.key(0, "a");
    w.ask(0, &key);
    w.run(2 * SECOND);
    assert_eq!(verdicts(&w), [Unknown]);
    w.land_late();
    w.mood = Mood::Well;
    w.run(SECOND);
    w.ask(0, &key);
    w.run(SECOND);
    assert_eq!(verdicts(&w), [Unknown, Taken]);
}

/// The bucket's writer is stopped while it has a forward. The VM that was asked writes itself after
/// a while; when the writer goes on, its own write meets the entry.
#[test]
fn a_stopped_writer_is_not_waited_for() {
    let mut w = World::new(2);
    w.run(SECOND);
    let keys: Vec<_> = (0..8).map(|n| w.key(0, &n.to_string())).collect();
    w.processes.get_mut(&1).expect("running").paused = true;
    keys.iter().for_each(|k| w.ask(0, k));
    w.run(SECOND);
    assert_eq!(verdicts(&w), [Granted; 8]);
    w.processes.get_mut(&1).expect("running").paused = false;
    w.run(2 * SECOND);
    keys.iter().for_each(|k| w.ask(1, k));
    w.run(SECOND);
    assert_eq!(verdicts(&w)[8..], [Taken; 8]);
}

/// A VM is paused after it sent the write of a claim, and goes on when the key is too old. Others
/// may have told the caller that it is expired by then, so it must not run any more.
#[test]
fn a_claim_found_granted_after_a_long_pause_is_not_used() {
    let mut w = World::new(1);
    let key = w.key(0, "a");
    w.ask(0, &key);
    w.run(Duration::from_millis(5));
    w.processes.get_mut(&0).expect("running").paused = true;
    w.run(Duration::from_millis(5));
    w.idle(200 * SECOND);
    w.processes.get_mut(&0).expect("running").paused = false;
    w.run(SECOND);
    assert_eq!(verdicts(&w), [Unknown]);
}

#[test]
fn claims_survive_the_loss_of_every_vm() {
    let mut w = World::new(3);
    let keys: Vec<_> = (0..8).map(|n| w.key(0, &n.to_string())).collect();
    keys.iter().for_each(|k| w.ask(0, k));
    w.run(SECOND);
    w.processes.clear();
    w.start(5);
    keys.iter().for_each(|k| w.ask(5, k));
    w.run(SECOND);
    assert_eq!(verdicts(&w)[..8], [Granted; 8]);
    assert_eq!(verdicts(&w)[8..], [Taken; 8]);
}

/// Long after a key was used its claim is removed. A resend then must not find it unclaimed.
#[test]
fn a_key_whose_claim_was_removed_is_expired() {
    let mut w = World::new(1);
    w.run(SECOND);
    let key = w.key(0, "a");
    w.ask(0, &key);
    w.run(SECOND);
    w.idle(300 * SECOND);
    w.run(2 * SECOND);
    assert!(w.objects.keys().all(|k| k == "claims/floor"));
    w.ask(0, &key);
    w.run(SECOND);
    assert_eq!(verdicts(&w), [Granted, Expired]);
}

/// A key's clock is far ahead. It is refused now; as it may be claimed later, it is not expired.
#[test]
fn a_key_from_the_future_is_refused() {
    let mut w = World::new(1);
    let key = w.key(-30, "a");
    w.ask(0, &key);
    w.run(SECOND);
    w.idle(40 * SECOND);
    w.ask(0, &key);
    w.run(SECOND);
    assert_eq!(verdicts(&w), [Refused, Granted]);
}

#[test]
fn without_a_network_every_vm_claims_by_itself() {
    let mut w = World::new(3);
    w.net = Net::Dead;
    let key = w.key(0, "a");
    for i in 0..3 {
        w.ask(i, &key);
        w.run(SECOND);
    }
    assert_eq!(verdicts(&w), [Granted, Taken, Taken]);
}

#[test]
fn asks_that_come_together_share_writes() {
    let mut w = World::new(0);
    w.claims_per_segment = 512;
    w.start(0);
    let keys: Vec<_> = (0..100).map(|n| w.key(0, &n.to_string())).collect();
    keys.iter().for_each(|k| w.ask(0, k));
    w.run(SECOND);
    assert_eq!(verdicts(&w), [Granted; 100]);
    // The first ask of each bucket finds it idle and goes at once; the rest follow in one write each.
    assert_eq!(w.writes, 4);
}

/// One VM's clock is minutes behind. To it a key looks young whose claim was removed long ago, and
/// the object is not there: without the floor, the lookup would run a second time.
#[test]
fn a_clock_that_is_far_behind_does_not_bring_a_key_back() {
    let mut w = World::new(1);
    w.net = Net::Dead;
    w.run(SECOND);
    let key = w.key(0, "a");
    w.ask(0, &key);
    w.run(SECOND);
    w.idle(300 * SECOND);
    w.run(SECOND);
    assert!(w.objects.keys().all(|k| k == "claims/floor"));
    w.start(1);
    w.set_clock(1, -300);
    w.ask(1, &key);
    w.run(SECOND);
    assert_eq!(verdicts(&w), [Granted, Expired]);
}

/// The bucket's writer may have written, says that it is not sure, and the network hands that over
/// twice, the second time while this VM writes itself. That write meets another and the platform
/// goes away: the writer's may still land, so "not run" would be a lie.
#[test]
fn an_unsure_writer_heard_twice_leaves_the_key_unknown() {
    let mut w = World::new(2);
    w.net = Net::Dead;
    w.run(SECOND);
    // A key whose bucket the other VM writes, so that it is forwarded.
    let keys: Vec<_> = (0..9).map(|n| w.key(0, &n.to_string())).collect();
    let mut forwarded = keys
        .iter()
        .filter_map(|k| w.forwarded(0, k).map(|id| (k, id)));
    let (key, id) = forwarded.next().expect("one of nine");
    drop(forwarded);
    let path = w.part_of(key);
    let unsure = || Event::Peer(vm(1), Message::Made(id.clone(), ClaimResult::Unsure));
    w.feed(0, unsure());
    w.feed(0, unsure());
    let result = Err(StoreError::Conflict);
    w.feed(
        0,
        Event::Wrote {
            path: path.clone(),
            result,
        },
    );
    let result = Err(StoreError::Lost);
    w.feed(0, Event::Read { path, result });
    // Its last timer was not heeded, so it wakes by itself within five seconds.
    w.run(6 * SECOND);
    assert_eq!(verdicts(&w), [Unknown]);
}
