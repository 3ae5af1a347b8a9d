//! Tests of the choice of the source of a VM.

use std::time::Duration;
use std::time::Instant;

use gs_follow::DIRECT_VMS;
use gs_follow::RegisterSource;
use gs_follow::SourceSelector;
use gs_relay::PeerVm;

use crate::fixtures::HERE;
use crate::fixtures::data_centre;
use crate::fixtures::equal_vms;
use crate::fixtures::id;
use crate::fixtures::names;

fn selector(me: &str) -> SourceSelector {
    SourceSelector::new(id(me), data_centre(HERE))
}

/// Returns the selector of a VM that knows of `count` equal VMs.
fn selector_among(me: &str, count: usize, now: Instant) -> SourceSelector {
    let mut s = selector(me);
    s.set_vms(now, &equal_vms(count));
    s
}

/// Returns the name of the VM that is followed, or the name of another source.
fn followed(s: &SourceSelector) -> &str {
    match s.source() {
        RegisterSource::Undecided => "undecided",
        RegisterSource::Register => "register",
        RegisterSource::Peer(vm) => vm.name.as_str(),
    }
}

fn peer(s: &SourceSelector) -> PeerVm {
    match s.source() {
        RegisterSource::Peer(vm) => vm.clone(),
        other => panic!("follows {other}"),
    }
}

#[test]
fn two_vms_query_the_register_and_share_the_followers() {
    let now = Instant::now();
    let all = equal_vms(40);
    let mut followers = [0; DIRECT_VMS];
    for (n, vm) in all.iter().enumerate() {
        let s = selector_among(vm.name.as_str(), 40, now);
        match followed(&s) {
            "register" => assert!(n < DIRECT_VMS, "VM {n} queries the register"),
            "vm-00" => followers[0] += 1,
            "vm-01" => followers[1] += 1,
            other => panic!("VM {n} follows {other}"),
        }
    }
    assert!(followers.iter().all(|f| *f >= 10), "{followers:?}");
}

/// A VM must not wait for a list of VMs without end.
#[test]
fn a_vm_that_knows_no_others_queries_the_register() {
    let mut s = selector("vm-09");
    assert_eq!(followed(&s), "undecided");
    s.default_to_register();
    assert_eq!(followed(&s), "register");
}

/// Followers must not stay without a source after both direct VMs are killed: the next two take over.
#[test]
fn the_next_candidates_take_over_from_failed_direct_vms() {
    let now = Instant::now();
    let failed = [id("vm-00"), id("vm-01")];
    let with_failures = |me: &str| {
        let mut s = selector_among(me, 9, now);
        failed.iter().for_each(|name| s.on_peer_failed(now, name));
        s
    };
    assert_eq!(followed(&with_failures("vm-02")), "register");
    assert_eq!(followed(&with_failures("vm-03")), "vm-02");
    assert_eq!(followed(&with_failures("vm-08")), "vm-02");
}

/// A VM that is partitioned from all others but not from the register must query it, rather than receive nothing.
#[test]
fn a_vm_that_no_candidate_answers_queries_the_register() {
    let now = Instant::now();
    let mut s = selector_among("vm-08", 9, now);
    for _ in 0..4 {
        let name = peer(&s).name;
        s.on_peer_failed(now, &name);
    }
    assert_eq!(followed(&s), "register");
    assert!(s.peers_to_query(now).is_empty());
}

/// A fleet must not query the register directly for ever after a failure of the direct VMs.
#[test]
fn the_backoff_of_a_failed_peer_doubles_up_to_a_limit() {
    let mut now = Instant::now();
    let mut s = selector_among("vm-02", 9, now);
    let mut backoffs_s = Vec::new();
    for _ in 0..7 {
        s.on_peer_failed(now, &id("vm-00"));
        s.on_peer_failed(now, &id("vm-01"));
        assert_eq!(followed(&s), "register");
        let start = now;
        while s.peers_to_query(now).is_empty() {
            now += Duration::from_millis(500);
        }
        backoffs_s.push((now - start).as_secs());
    }
    assert_eq!(backoffs_s, [2, 4, 8, 16, 32, 32, 32]);
}

/// Prevents a thundering herd at the end of an outage: all VMs would query the register a moment before their
/// direct VMs reconnect to it.
#[test]
fn a_vm_that_alone_is_connected_keeps_its_source_at_first() {
    let now = Instant::now();
    let mut s = selector_among("vm-08", 9, now);
    let direct_vms: Vec<PeerVm> = s.peers_to_query(now).into_iter().take(DIRECT_VMS).collect();
    assert!(!s.on_only_self_connected(now, &direct_vms));
    assert_ne!(followed(&s), "register");
}

/// A VM must not keep following direct VMs that the register rejects while it answers this VM.
#[test]
fn a_vm_that_alone_stays_connected_queries_the_register() {
    let now = Instant::now();
    let mut s = selector_among("vm-08", 9, now);
    let all = s.peers_to_query(now);
    assert_eq!(all.len(), 4, "{:?}", names(&all));
    assert!(!s.on_only_self_connected(now, &all));
    assert!(s.on_only_self_connected(now, &all));
    assert_eq!(followed(&s), "register");
}

#[test]
fn a_failed_peer_that_reconnects_is_followed_again() {
    let now = Instant::now();
    let mut s = selector_among("vm-08", 9, now);
    let first = peer(&s);
    s.on_peer_failed(now, &first.name);
    assert_ne!(peer(&s), first);
    assert!(s.on_peer_connected(&first, &[]));
    assert_eq!(peer(&s), first);
}

/// A VM must not follow one that is no candidate, as that one does not query the register.
#[test]
fn a_vm_that_is_no_candidate_is_not_followed() {
    let now = Instant::now();
    let mut s = selector_among("vm-08", 9, now);
    let before = peer(&s);
    s.on_peer_connected(&equal_vms(9)[7], &[]);
    assert_eq!(peer(&s), before);
}

/// The source must not change at every poll of the list of VMs, as each change costs a call to the register.
#[test]
fn a_list_that_changes_little_keeps_the_source() {
    let now = Instant::now();
    let mut s = selector_among("vm-08", 9, now);
    let before = peer(&s);
    s.set_vms(now, &equal_vms(30));
    assert_eq!(peer(&s), before);
}

/// Returns the two direct VMs of a VM that follows the first of them.
fn direct_vms_of(s: &SourceSelector) -> [PeerVm; DIRECT_VMS] {
    let all = s.peers_to_query(Instant::now());
    [all[0].clone(), all[1].clone()]
}

/// Followers must not all move to the direct VM that reconnects to the register first after an outage.
#[test]
fn a_direct_vm_has_until_the_next_check_to_reconnect_to_the_register() {
    let mut s = selector_among("vm-08", 9, Instant::now());
    let [followed, other] = direct_vms_of(&s);
    s.on_no_peer_connected();
    assert!(!s.on_peer_connected(&other, std::slice::from_ref(&followed)));
    assert_eq!(peer(&s), followed);
    assert!(s.on_peer_connected(&followed, &[]));
    assert_eq!(peer(&s), followed);
}

/// A direct VM that stays partitioned from the register after an outage must lose its followers.
#[test]
fn a_direct_vm_that_stays_disconnected_after_an_outage_loses_its_followers() {
    let mut s = selector_among("vm-08", 9, Instant::now());
    let [followed, other] = direct_vms_of(&s);
    s.on_no_peer_connected();
    assert!(!s.on_peer_connected(&other, std::slice::from_ref(&followed)));
    assert!(s.on_peer_connected(&other, &[followed]));
    assert_eq!(peer(&s), other);
}

/// Changes must not reach followers late when their direct VM alone is partitioned from the register.
#[test]
fn a_direct_vm_that_alone_is_disconnected_loses_its_followers_immediately() {
    let mut s = selector_among("vm-08", 9, Instant::now());
    let [followed, other] = direct_vms_of(&s);
    assert!(s.on_peer_connected(&other, &[followed]));
    assert_eq!(peer(&s), other);
}

/// A VM that follows nobody must follow the first peer that reconnects, not wait for another one that is still
/// disconnected.
#[test]
fn a_vm_that_follows_nobody_follows_the_first_peer_that_reconnects() {
    let now = Instant::now();
    let mut s = selector_among("vm-08", 9, now);
    let [first, second] = direct_vms_of(&s);
    let all = s.peers_to_query(now);
    all.iter().for_each(|vm| s.on_peer_failed(now, &vm.name));
    s.on_no_peer_connected();
    assert!(s.on_peer_connected(&second, &[first]));
    assert_eq!(peer(&s), second);
}
