//! Connections held open to servers.

use std::sync::Arc;

use gs_relay::Event;
use gs_relay::PeerVm;

use crate::world::HERE;
use crate::world::World;
use crate::world::entry;
use crate::world::ms;
use crate::world::page_route;
use crate::world::table;
use crate::world::vm;

/// A VM of this strength among others of full strength, before a new cut of the index registers.
fn among_strong(cores: f64) -> World {
    let mut w = World::new(table(1, vec![page_route(&["old"], 0.5)]));
    let others = (2..=4).map(|n| vm(&format!("vm-{n}"), HERE, "hobart", 1.0));
    let me: Vec<PeerVm> = vec![vm("vm-1", HERE, "hobart", cores)];
    w.tell(Event::Vms(me.into_iter().chain(others).collect()));
    w.pass(ms(300));
    w
}

/// Connections held open to a server of the new cut, before and after a version names it.
fn warm_to_new(mut w: World) -> (u32, u32) {
    w.tell(Event::Server(Arc::new(entry("new-a", "new", HERE))));
    let warm = |w: &World| {
        *w.warm
            .iter()
            .find(|(n, _)| n.as_str() == "new-a")
            .expect("asked")
            .1
    };
    let before = warm(&w);
    w.tell(Event::Table(table(2, vec![page_route(&["new"], 0.5)])));
    (before, warm(&w))
}

/// Guards against a crowd at the servers of a new cut of an index: every VM connects to each of them before
/// a version names them, more than they accept.
#[test]
fn a_weak_vm_holds_no_connections_to_servers_that_no_route_names() {
    assert_eq!(warm_to_new(among_strong(0.25)), (0, 0));
}

/// Guards against pages of a new cut that wait for connections to all of its shards.
#[test]
fn a_strong_vm_connects_before_a_version_names_the_servers() {
    let (before, after) = warm_to_new(among_strong(1.0));
    assert!(before >= 1);
    assert!(after >= before);
}
