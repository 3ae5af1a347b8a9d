//! Tests of the views that VMs have of each other.

use std::time::Duration;

use gs_member::VmState;

use crate::world::PlatformMode;
use crate::world::World;
use crate::world::vm;

fn fleet(n: u8) -> World {
    let mut w = World::new(&[25]);
    (0..n).for_each(|i| w.start(i));
    w.run(Duration::from_secs(5));
    w
}

fn state(w: &World, of: u8, by: u8) -> Option<VmState> {
    let view = w.processes[&by].m.view();
    let found = view.vms.iter().find(|v| v.entry.vm == vm(of));
    found.map(|v| v.state)
}

#[test]
fn every_vm_sees_every_other_alive() {
    let w = fleet(9);
    for by in 0..9 {
        assert_eq!(w.processes[&by].m.view().live_vms().count(), 9);
    }
}

/// A paused VM does not answer lookups. The other VMs must mark it as unreachable within seconds,
/// and as alive again once it answers.
#[test]
fn a_paused_vm_becomes_unreachable_and_alive_again() {
    let mut w = fleet(9);
    w.processes.get_mut(&4).expect("running").paused = true;
    w.run(Duration::from_secs(7));
    assert_eq!(state(&w, 4, 0), Some(VmState::Unreachable));
    w.processes.get_mut(&4).expect("running").paused = false;
    w.run(Duration::from_secs(7));
    assert_eq!(state(&w, 4, 0), Some(VmState::Alive));
}

#[test]
fn a_leaving_vm_holds_no_duty_within_two_seconds() {
    let mut w = fleet(9);
    let holder = w.processes[&0].m.view().duty_holder("claims/3").cloned();
    let i = (0..9).find(|i| Some(vm(*i)) == holder).expect("a holder");
    w.leave(i);
    w.run(Duration::from_secs(2));
    for by in (0..9).filter(|by| *by != i) {
        assert_eq!(state(&w, i, by), Some(VmState::Leaving));
        assert_ne!(
            w.processes[&by].m.view().duty_holder("claims/3").cloned(),
            holder
        );
    }
}

#[test]
fn every_vm_agrees_on_the_holder_of_a_duty() {
    let w = fleet(9);
    let holder = |by: u8| w.processes[&by].m.view().duty_holder("relay").cloned();
    assert!((1..9).all(|by| holder(by) == holder(0)));
}

/// The platform's list lags and does not contain a new VM yet. The new VM sends heartbeats to the
/// others, and is alive in their views.
#[test]
fn a_vm_is_alive_for_others_before_it_is_listed() {
    let mut w = fleet(3);
    w.freeze_list();
    w.start(3);
    w.run(Duration::from_millis(3500));
    assert_eq!(state(&w, 3, 0), Some(VmState::Alive));
}

#[test]
fn a_removed_vm_is_absent_from_every_view() {
    let mut w = fleet(4);
    w.kill(3);
    w.remove(3);
    w.run(Duration::from_secs(15));
    assert!((0..3).all(|by| state(&w, 3, by).is_none()));
}

/// A VM's process is restarted while the platform is unreachable, so that it has no list of VMs.
/// Its peers know its address from the previous incarnation and still probe it, but it does not
/// know them. Unless their heartbeats contain their entries, it knows no other VM until the
/// platform is reachable again.
#[test]
fn a_vm_that_starts_in_a_platform_outage_finds_its_peers() {
    let mut w = fleet(3);
    w.kill(2);
    w.platform_mode = PlatformMode::Unreachable;
    w.start(2);
    w.run(Duration::from_secs(6));
    let seen: Vec<_> = (0..2).map(|i| state(&w, i, 2)).collect();
    assert_eq!(seen, [Some(VmState::Alive), Some(VmState::Alive)]);
    let back: Vec<_> = (0..2).map(|by| state(&w, 2, by)).collect();
    assert_eq!(back, [Some(VmState::Alive), Some(VmState::Alive)]);
}
