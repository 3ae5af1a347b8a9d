//! Tests of the connections kept open to servers.

use std::sync::Arc;

use gs_relay::Availability;
use gs_relay::Event;
use gs_relay::PeerVm;
use gs_relay::ServerEntry;

use crate::world::HERE;
use crate::world::World;
use crate::world::entry;
use crate::world::ms;
use crate::world::page_route;
use crate::world::table;
use crate::world::vm;

/// Creates a VM with this number of cores and three peers with one core each, before the servers of
/// a repartitioned index register.
fn world_with_strong_peers(cores: f64) -> World {
    let mut w = World::new(table(1, vec![page_route(&["old"], 0.5)]));
    let others = (2..=4).map(|n| vm(&format!("vm-{n}"), HERE, "hobart", 1.0));
    let own: Vec<PeerVm> = vec![vm("vm-1", HERE, "hobart", cores)];
    w.on(Event::Vms(own.into_iter().chain(others).collect()));
    w.advance(ms(300));
    w
}

/// Returns the connections kept open to a server of the repartitioned index, before and after a
/// version names its service.
fn connections_to_new_server(mut w: World) -> (u32, u32) {
    w.on(Event::Server(Arc::new(entry("new-a", "new", HERE))));
    let connections_min = |w: &World| {
        *w.connections_min
            .iter()
            .find(|(n, _)| n.as_str() == "new-a")
            .expect("a connect action")
            .1
    };
    let before = connections_min(&w);
    w.on(Event::Table(table(2, vec![page_route(&["new"], 0.5)])));
    (before, connections_min(&w))
}

/// The servers of a repartitioned index register before a version names them. If every VM connected
/// to each of them, they would get more connections than they accept.
#[test]
fn a_weak_vm_holds_no_connections_to_servers_that_no_route_names() {
    assert_eq!(
        connections_to_new_server(world_with_strong_peers(0.25)),
        (0, 0)
    );
}

/// Prevents the first pages of a repartitioned index from waiting for connections to all its
/// shards.
#[test]
fn a_strong_vm_connects_before_a_version_names_the_servers() {
    let (before, after) = connections_to_new_server(world_with_strong_peers(1.0));
    assert!(before >= 1);
    assert!(after >= before);
}

/// Prevents a server that accepts work again, after it has reported that it drains, from being used over one connection
/// only.
#[test]
fn a_server_that_no_longer_drains_is_connected_to_again() {
    let mut w = World::new(table(1, vec![page_route(&["s0"], 0.5)]));
    let ready = entry("s0-a", "s0", HERE);
    let draining = ServerEntry {
        availability: Availability::Draining,
        ..ready.clone()
    };
    w.on(Event::Server(Arc::new(ready.clone())));
    w.on(Event::Server(Arc::new(draining)));
    w.on(Event::Server(Arc::new(ready)));
    assert_eq!(w.connects.len(), 2, "{:?}", w.connects);
}
