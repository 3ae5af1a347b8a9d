//! Tests of VMs whose announcements a restored store has lost.

use std::time::Duration;
use std::time::Instant;

use gs_follow::CarriedVms;
use gs_follow::reannouncement_delay;
use gs_relay::PeerVm;
use gs_types::prelude::*;

use crate::fixtures::HERE;
use crate::fixtures::names;
use crate::fixtures::vm;

fn vms(names: &[&str]) -> Vec<PeerVm> {
    names.iter().map(|name| vm(name, HERE, 0.25)).collect()
}

/// Guards against VMs that take the shares of all others while a restored store does not list them.
#[test]
fn vms_that_a_restored_store_does_not_list_stay_known() {
    let mut carried = CarriedVms::default();
    let now = Instant::now();
    carried.complete(now, StoreEra(1), vms(&["a", "b", "c"]));
    let live = carried.complete(now, StoreEra(2), vms(&["c"]));
    assert_eq!(names(&live), ["c", "a", "b"]);
    let live = carried.complete(now + Duration::from_secs(10), StoreEra(2), vms(&["a", "c"]));
    assert_eq!(names(&live), ["a", "c", "b"]);
}

/// Guards against VMs that stay known for ever although they ended with the store's outage.
#[test]
fn a_vm_that_does_not_announce_itself_again_is_forgotten() {
    let mut carried = CarriedVms::default();
    let now = Instant::now();
    carried.complete(now, StoreEra(1), vms(&["a", "b"]));
    carried.complete(now, StoreEra(2), vms(&["a"]));
    let live = carried.complete(now + Duration::from_secs(40), StoreEra(2), vms(&["a"]));
    assert_eq!(names(&live), ["a"]);
}

/// Guards against a VM that counts as live after it was listed again and left.
#[test]
fn a_vm_that_leaves_after_it_was_listed_again_is_forgotten_at_once() {
    let mut carried = CarriedVms::default();
    let now = Instant::now();
    carried.complete(now, StoreEra(1), vms(&["a", "b"]));
    carried.complete(now, StoreEra(2), vms(&["a"]));
    carried.complete(now, StoreEra(2), vms(&["a", "b"]));
    let live = carried.complete(now, StoreEra(2), vms(&["a"]));
    assert_eq!(names(&live), ["a"]);
}

#[test]
fn a_vm_that_leaves_without_a_restore_is_forgotten_at_once() {
    let mut carried = CarriedVms::default();
    let now = Instant::now();
    carried.complete(now, StoreEra(1), vms(&["a", "b"]));
    let live = carried.complete(now, StoreEra(1), vms(&["a"]));
    assert_eq!(names(&live), ["a"]);
}

/// Guards against a fleet that writes all its announcements in one second.
#[test]
fn announcements_after_a_restore_are_spread() {
    let fleet = 300;
    let delays = (0..fleet).map(|n| {
        let vm: VmId = format!("vm-{n}").parse().expect("a name");
        reannouncement_delay(&vm, fleet)
    });
    let mut per_second = [0; 6];
    for delay in delays {
        per_second[delay.as_secs() as usize] += 1;
    }
    assert!(
        per_second.iter().all(|n| (25..=75).contains(n)),
        "{per_second:?}"
    );
}
