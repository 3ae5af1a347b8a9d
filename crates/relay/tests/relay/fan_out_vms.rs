//! Tests of the choice of the VMs that run fan-outs.

use gs_relay::Event;
use gs_relay::PeerVm;
use gs_relay::RepeatPolicy;
use gs_relay::Target;
use gs_relay::WeightedService;
use gs_types::prelude::*;

use crate::world::HERE;
use crate::world::THERE;
use crate::world::World;
use crate::world::ms;
use crate::world::one_route;
use crate::world::page_route;
use crate::world::table;
use crate::world::vm;

/// Returns equally strong VMs in two data centres, of which `there` are in the other one. `vm-1` is
/// the VM under test; of the others in its data centre, the names of `before` sort before its own
/// and those of `after` after it.
fn fleet(before: usize, after: usize, there: usize) -> Vec<PeerVm> {
    let before = (0..before).map(|n| vm(&format!("a-{n:03}"), HERE, "hobart", 0.25));
    let after = (0..after).map(|n| vm(&format!("z-{n:03}"), HERE, "hobart", 0.25));
    let there = (0..there).map(|n| vm(&format!("t-{n:03}"), THERE, "launceston", 0.25));
    let own = vm("vm-1", HERE, "hobart", 0.25);
    before.chain([own]).chain(after).chain(there).collect()
}

/// Returns the servers and peers that get the attempts of a fan-out, with these VMs; each server
/// accepts 60 connections.
fn fan_out_targets(vms: Vec<PeerVm>) -> Vec<String> {
    let mut w =
        World::new(table(1, vec![page_route(&["s0", "s1"], 1.0)])).with_server_pairs(&["s0", "s1"]);
    let peers: Vec<ServerName> = vms
        .iter()
        .filter(|vm| vm.name.as_str() != "vm-1")
        .filter_map(|vm| vm.name.as_str().parse().ok())
        .collect();
    w.on(Event::Vms(vms));
    w.advance(ms(300));
    for name in peers {
        w.on(Event::Opened(name, ms(1)));
    }
    w.arrive("/page/x", ms(2500));
    w.busy_servers().into_iter().map(str::to_owned).collect()
}

/// Returns whether the VM under test keeps the connection of a request to a single shard, with
/// these VMs.
fn keeps_connection(vms: Vec<PeerVm>) -> bool {
    let mut single_shard = one_route(RepeatPolicy::Safe);
    single_shard.target = Target::One([weighted("s0")].into_iter().collect());
    let routes = vec![page_route(&["s0", "s1"], 1.0), single_shard];
    let mut w = World::new(table(1, routes)).with_server_pairs(&["s0", "s1"]);
    w.on(Event::Vms(vms));
    w.advance(ms(300));
    w.arrive("/one/x", ms(2500));
    w.open[0].keep_connection
}

fn weighted(service: &str) -> WeightedService {
    WeightedService {
        service: service.parse().expect("a name"),
        weight: 1.0,
    }
}

/// If each VM that runs no fan-outs kept an idle connection to a shard, these would be more than
/// its servers accept, and new connections would be reset together with the requests on them.
#[test]
fn a_vm_without_fan_outs_keeps_no_connection_after_a_single_shard_request() {
    assert!(!keeps_connection(fleet(50, 50, 100)));
}

#[test]
fn a_vm_that_runs_fan_outs_keeps_its_connections() {
    assert!(keeps_connection(fleet(0, 100, 100)));
}

/// Prevents a new connection for each request where the servers accept enough connections to keep
/// them.
#[test]
fn a_vm_without_fan_outs_keeps_its_connections_where_they_suffice() {
    assert!(keeps_connection(fleet(20, 0, 9)));
}

/// A fleet has more VMs of equal strength than each server accepts connections. If all of them ran
/// fan-outs, most pages would fail.
#[test]
fn no_more_vms_run_fan_outs_than_have_connections() {
    let targets = fan_out_targets(fleet(50, 50, 100));
    assert_eq!(targets.len(), 1, "{targets:?}");
    assert!(targets[0].starts_with("a-00"), "{targets:?}");
}

#[test]
fn one_of_the_first_vms_runs_its_own_fan_outs() {
    let targets = fan_out_targets(fleet(0, 100, 100));
    assert!(
        targets.iter().all(|name| name.starts_with('s')),
        "{targets:?}"
    );
}

/// Prevents VMs from delegating their pages although each has enough connections.
#[test]
fn all_vms_run_fan_outs_where_the_connections_allow() {
    let targets = fan_out_targets(fleet(11, 0, 12));
    assert!(
        targets.iter().all(|name| name.starts_with('s')),
        "{targets:?}"
    );
}

/// Prevents the loss of one VM from leaving a data centre without a VM that runs fan-outs.
#[test]
fn each_data_centre_keeps_two_fan_out_vms() {
    let targets = fan_out_targets(fleet(1, 2, 400));
    assert!(
        targets.iter().all(|name| name.starts_with('s')),
        "{targets:?}"
    );
}
