//! Which VMs run fan-outs.

use gs_relay::Event;
use gs_relay::PeerVm;
use gs_relay::Repeat;
use gs_relay::Target;
use gs_relay::Weighted;
use gs_types::prelude::*;

use crate::world::HERE;
use crate::world::THERE;
use crate::world::World;
use crate::world::ms;
use crate::world::one_route;
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
    w.tell(Event::Vms(vms));
    w.pass(ms(300));
    for name in peers {
        w.tell(Event::Opened(name, ms(1)));
    }
    w.ask("/page/x", ms(2500));
    w.busy().into_iter().map(str::to_owned).collect()
}

/// Whether this VM keeps the connection of a request for one shard alone, with these VMs.
fn keeps(vms: Vec<PeerVm>) -> bool {
    let mut alone = one_route(Repeat::Safe);
    alone.target = Target::One([weighted("s0")].into_iter().collect());
    let routes = vec![page_route(&["s0", "s1"], 1.0), alone];
    let mut w = World::new(table(1, routes)).with_pairs(&["s0", "s1"]);
    w.tell(Event::Vms(vms));
    w.pass(ms(300));
    w.ask("/one/x", ms(2500));
    w.sent[0].keep_connection
}

fn weighted(service: &str) -> Weighted {
    Weighted {
        service: service.parse().expect("a name"),
        weight: 1.0,
    }
}

/// Guards against requests for one shard that are reset with their connections: each VM that runs no fan-outs
/// keeps an idle one, more than the shard's servers accept.
#[test]
fn a_vm_without_fan_outs_keeps_no_connection_for_a_shard_alone() {
    assert!(!keeps(fleet(50, 50, 100)));
}

#[test]
fn a_vm_that_runs_fan_outs_keeps_its_connections() {
    assert!(keeps(fleet(0, 100, 100)));
}

/// Guards against a new connection for each request where there are enough to keep them.
#[test]
fn a_vm_without_fan_outs_keeps_its_connections_where_they_suffice() {
    assert!(keeps(fleet(20, 0, 9)));
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
