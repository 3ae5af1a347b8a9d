//! Whom a VM follows.

use std::time::Duration;
use std::time::Instant;

use gs_follow::ASKERS;
use gs_follow::Source;
use gs_follow::Sources;
use gs_relay::PeerVm;

use crate::world::HERE;
use crate::world::equals;
use crate::world::id;
use crate::world::names;
use crate::world::place;

fn sources(me: &str) -> Sources {
    Sources::new(id(me), place(HERE))
}

/// A VM that knows of `count` equal ones.
fn among(me: &str, count: usize, now: Instant) -> Sources {
    let mut s = sources(me);
    s.set_vms(now, &equals(count));
    s
}

/// The VM that is followed, `register` for none.
fn followed(s: &Sources) -> &str {
    match s.source() {
        Source::Undecided => "undecided",
        Source::Register => "register",
        Source::Peer(vm) => vm.name.as_str(),
    }
}

fn peer(s: &Sources) -> PeerVm {
    match s.source() {
        Source::Peer(vm) => vm.clone(),
        other => panic!("follows {other}"),
    }
}

#[test]
fn two_ask_and_share_the_others() {
    let now = Instant::now();
    let all = equals(40);
    let mut followers = [0; ASKERS];
    for (n, vm) in all.iter().enumerate() {
        let s = among(vm.name.as_str(), 40, now);
        match followed(&s) {
            "register" => assert!(n < ASKERS, "{n} asks"),
            "vm-00" => followers[0] += 1,
            "vm-01" => followers[1] += 1,
            other => panic!("{n} follows {other}"),
        }
    }
    assert!(followers.iter().all(|f| *f >= 10), "{followers:?}");
}

/// Guards against a VM that waits for a list of VMs without end.
#[test]
fn a_vm_that_knows_nobody_asks_by_itself() {
    let mut s = sources("vm-09");
    assert_eq!(followed(&s), "undecided");
    s.decide();
    assert_eq!(followed(&s), "register");
}

/// Guards against followers without a source after both askers are killed: the next two ask.
#[test]
fn the_next_ask_where_both_askers_fail() {
    let now = Instant::now();
    let lost = [id("vm-00"), id("vm-01")];
    let with_loss = |me: &str| {
        let mut s = among(me, 9, now);
        lost.iter().for_each(|name| s.failed(now, name));
        s
    };
    assert_eq!(followed(&with_loss("vm-02")), "register");
    assert_eq!(followed(&with_loss("vm-03")), "vm-02");
    assert_eq!(followed(&with_loss("vm-08")), "vm-02");
}

/// Guards against a VM that is cut off from all others and hears of nothing, though the register answers it.
#[test]
fn a_vm_that_no_candidate_answers_asks_by_itself() {
    let now = Instant::now();
    let mut s = among("vm-08", 9, now);
    for _ in 0..4 {
        let name = peer(&s).name;
        s.failed(now, &name);
    }
    assert_eq!(followed(&s), "register");
    assert!(s.to_ask(now).is_empty());
}

/// Guards against a fleet that goes on asking by itself for good after a failure.
#[test]
fn a_peer_that_failed_is_asked_again_later_each_time() {
    let mut now = Instant::now();
    let mut s = among("vm-02", 9, now);
    let mut waits = Vec::new();
    for _ in 0..7 {
        s.failed(now, &id("vm-00"));
        s.failed(now, &id("vm-01"));
        assert_eq!(followed(&s), "register");
        let begun = now;
        while s.to_ask(now).is_empty() {
            now += Duration::from_millis(500);
        }
        waits.push((now - begun).as_secs());
    }
    assert_eq!(waits, [2, 4, 8, 16, 32, 32, 32]);
}

/// Guards against a herd: all VMs turn to the register at the end of an outage, a moment before their askers
/// have regained it.
#[test]
fn one_answer_of_the_register_is_not_yet_a_reason_to_ask_it() {
    let now = Instant::now();
    let mut s = among("vm-08", 9, now);
    let askers: Vec<PeerVm> = s.to_ask(now).into_iter().take(ASKERS).collect();
    assert!(!s.in_touch_alone(now, &askers));
    assert_ne!(followed(&s), "register");
}

/// Guards against a VM that follows askers which the register turns away while it answers this one.
#[test]
fn a_vm_that_alone_is_in_touch_asks_by_itself() {
    let now = Instant::now();
    let mut s = among("vm-08", 9, now);
    let all = s.to_ask(now);
    assert_eq!(all.len(), 4, "{:?}", names(&all));
    assert!(!s.in_touch_alone(now, &all));
    assert!(s.in_touch_alone(now, &all));
    assert_eq!(followed(&s), "register");
}

#[test]
fn a_peer_in_touch_is_followed_and_forgiven() {
    let now = Instant::now();
    let mut s = among("vm-08", 9, now);
    let first = peer(&s);
    s.failed(now, &first.name);
    assert_ne!(peer(&s), first);
    assert!(s.in_touch(&first, &[]));
    assert_eq!(peer(&s), first);
}

/// Guards against a VM that follows one which is no candidate and so does not ask.
#[test]
fn a_vm_that_is_no_candidate_is_not_followed() {
    let now = Instant::now();
    let mut s = among("vm-08", 9, now);
    let before = peer(&s);
    s.in_touch(&equals(9)[7], &[]);
    assert_eq!(peer(&s), before);
}

/// Guards against a change of source, and a call to the register each, at every look at the list of VMs.
#[test]
fn a_list_that_changes_little_keeps_the_source() {
    let now = Instant::now();
    let mut s = among("vm-08", 9, now);
    let before = peer(&s);
    s.set_vms(now, &equals(30));
    assert_eq!(peer(&s), before);
}

/// The two askers of a VM that follows the first.
fn askers_of(s: &Sources) -> [PeerVm; ASKERS] {
    let all = s.to_ask(Instant::now());
    [all[0].clone(), all[1].clone()]
}

/// Guards against followers that gather at the first asker to regain the register after an outage.
#[test]
fn an_asker_has_until_the_next_look_to_regain_the_register() {
    let mut s = among("vm-08", 9, Instant::now());
    let [followed, other] = askers_of(&s);
    s.none_in_touch();
    assert!(!s.in_touch(&other, std::slice::from_ref(&followed)));
    assert_eq!(peer(&s), followed);
    assert!(s.in_touch(&followed, &[]));
    assert_eq!(peer(&s), followed);
}

/// Guards against followers of an asker that stays cut from the register after an outage.
#[test]
fn an_asker_that_stays_out_of_touch_after_an_outage_is_left() {
    let mut s = among("vm-08", 9, Instant::now());
    let [followed, other] = askers_of(&s);
    s.none_in_touch();
    assert!(!s.in_touch(&other, std::slice::from_ref(&followed)));
    assert!(s.in_touch(&other, &[followed]));
    assert_eq!(peer(&s), other);
}

/// Guards against changes that come late to the followers of an asker which alone is cut from the register.
#[test]
fn an_asker_that_alone_is_out_of_touch_is_left_at_once() {
    let mut s = among("vm-08", 9, Instant::now());
    let [followed, other] = askers_of(&s);
    assert!(s.in_touch(&other, &[followed]));
    assert_eq!(peer(&s), other);
}

/// Guards against a VM without a source that waits for peers which it does not follow.
#[test]
fn a_vm_that_asks_by_itself_follows_the_first_peer_in_touch() {
    let now = Instant::now();
    let mut s = among("vm-08", 9, now);
    let [first, second] = askers_of(&s);
    let all = s.to_ask(now);
    all.iter().for_each(|vm| s.failed(now, &vm.name));
    s.none_in_touch();
    assert!(s.in_touch(&second, &[first]));
    assert_eq!(peer(&s), second);
}
