//! Which VMs run fan-outs.

use gs_relay::Event;
use gs_relay::PeerVm;
use gs_types::prelude::*;

use crate::world::HERE;
use crate::world::THERE;
use crate::world::World;
use crate::world::ms;
use crate::world::page_route;
use crate::world::table;
use crate::world::vm;

/// VMs of these counts in two data centres, of equal strength; this one is `vm-1`, and its name sorts first
/// among those here unless there are `before` others.
fn fleet(before: usize, after: usize, there: usize) -> Vec<PeerVm> {
    let before = (0..before).map(|n| vm(&format!("a-{n:03}"), HERE, "hobart", 0.25));
    let after = (0..after).map(|n| vm(&format!("z-{n:03}"), HERE, "hobart", 0.25));
    let there = (0..there).map(|n| vm(&format!("t-{n:03}"), THERE, "launceston", 0.25));
    let me = vm("vm-1", HERE, "hobart", 0.25);
    before.chain([me]).chain(after).chain(there).collect()
}

/// The servers and peers that a page is asked for at, with these VMs; servers accept 60 connections each.
fn asked(vms: Vec<PeerVm>) -> Vec<String> {
    let mut w =
        World::new(table(1, vec![page_route(&["s0", "s1"], 1.0)])).with_pairs(&["s0", "s1"]);
    let peers: Vec<ServerName> = vms
        .iter()
        .filter(|vm| vm.name.as_str() != "vm-1")
        .filter_map(|vm| vm.name.as_str().parse().ok())
        .collect();
    w.tell(Event::Roster(vms));
    w.pass(ms(300));
    for name in peers {
        w.tell(Event::Opened(name, ms(1)));
    }
    w.ask("/page/x", ms(2500));
    w.busy().into_iter().map(str::to_owned).collect()
}

/// Guards against a fleet of equal VMs that all run fan-outs, over servers that accept a connection from a few
/// of them only: most pages fail.
#[test]
fn no_more_vms_run_fan_outs_than_have_connections() {
    let asked = asked(fleet(50, 50, 100));
    assert_eq!(asked.len(), 1, "{asked:?}");
    assert!(asked[0].starts_with("a-00"), "{asked:?}");
}

#[test]
fn a_vm_among_the_first_runs_its_own() {
    let asked = asked(fleet(0, 100, 100));
    assert!(asked.iter().all(|name| name.starts_with('s')), "{asked:?}");
}

/// Guards against VMs that leave their pages to others though each has connections enough.
#[test]
fn all_run_fan_outs_where_the_connections_allow() {
    let asked = asked(fleet(11, 0, 12));
    assert!(asked.iter().all(|name| name.starts_with('s')), "{asked:?}");
}

/// Guards against a data centre that is left without a VM to run its pages once one is lost.
#[test]
fn each_data_centre_keeps_two() {
    let asked = asked(fleet(1, 2, 400));
    assert!(asked.iter().all(|name| name.starts_with('s')), "{asked:?}");
}
