//! Services that accept connections from fewer VMs than there are.

use std::collections::HashMap;
use std::sync::Arc;

use gs_relay::AttemptEnd;
use gs_relay::Event;
use gs_relay::PeerVm;
use gs_relay::RelayOptions;
use gs_relay::Repeat;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::HERE;
use crate::world::THERE;
use crate::world::World;
use crate::world::entry;
use crate::world::good;
use crate::world::ms;
use crate::world::one_route;
use crate::world::options;
use crate::world::table;
use crate::world::vm;

/// Connections that each server accepts.
const CONNECTIONS: u32 = 60;

const SERVERS: [(&str, &str); 4] = [
    ("desk-0", HERE),
    ("desk-1", THERE),
    ("desk-2", HERE),
    ("desk-3", THERE),
];

/// So many VMs, by turns in two data centres.
fn fleet(count: usize) -> Vec<PeerVm> {
    let places = [(HERE, "hobart"), (THERE, "launceston")];
    let vms = (0..count).map(|n| {
        let (place, region) = places[n % places.len()];
        vm(&format!("vm-{n}"), place, region, 0.25)
    });
    vms.collect()
}

/// The `n`-th VM of a fleet, which knows four servers of one service.
fn world(fleet: &[PeerVm], n: usize) -> World {
    let options = RelayOptions {
        vm: fleet[n].name.clone(),
        data_centre: fleet[n].data_centre.clone(),
        region: fleet[n].region.clone(),
        ..options()
    };
    let routes = vec![one_route(Repeat::Safe)];
    let mut w = World::with_options(table(1, routes), options);
    for (name, place) in SERVERS {
        w.tell(Event::Server(Arc::new(entry(name, "desk", place))));
    }
    w.tell(Event::Vms(fleet.to_vec()));
    w.pass(ms(300));
    w
}

/// The servers that a VM holds connections to.
fn held(w: &World) -> Vec<&ServerName> {
    let held = w.warm.iter().filter(|(_, warm)| **warm > 0);
    let servers = held.filter(|(name, _)| name.as_str().starts_with("desk"));
    servers.map(|(name, _)| name).collect()
}

/// Lookups fail on a quiet day: each of hundreds of VMs connects to each server, which resets what is over its
/// limit with the request on it.
#[rstest]
#[case::one_server_each(200)]
#[case::two_servers_each(100)]
#[case::not_a_multiple(173)]
fn no_server_is_connected_to_by_more_vms_than_it_accepts(#[case] count: usize) {
    let vms = fleet(count);
    let mut by_server: HashMap<ServerName, u32> = HashMap::new();
    for n in 0..count {
        let w = world(&vms, n);
        let held = held(&w);
        assert!(!held.is_empty(), "vm-{n} holds no connection");
        held.iter()
            .for_each(|name| *by_server.entry((*name).clone()).or_default() += 1);
    }
    assert_eq!(by_server.len(), SERVERS.len());
    let over = by_server.values().filter(|vms| **vms > CONNECTIONS);
    assert_eq!(over.count(), 0, "{by_server:?}");
}

/// Guards against connections that a VM opened while it knew of few others, and keeps when it knows of all.
#[test]
fn connections_to_servers_left_to_others_are_closed() {
    let vms = fleet(200);
    let mut w = world(&vms[..20], 7);
    assert_eq!(held(&w).len(), SERVERS.len());
    w.tell(Event::Vms(vms));
    w.pass(ms(300));
    assert_eq!(held(&w).len(), 1);
}

/// Guards against VMs that keep to a few servers though each accepts connections from all of them.
#[test]
fn all_servers_are_used_where_the_connections_allow() {
    let vms = fleet(50);
    assert_eq!(held(&world(&vms, 7)).len(), SERVERS.len());
}

/// Guards against lookups that wait or fail at a VM whose servers are away while others of the service are idle.
#[test]
fn other_servers_are_asked_while_its_own_are_away() {
    let vms = fleet(200);
    let mut w = world(&vms, 7);
    let own = held(&w)[0].as_str().to_owned();
    let seq = w.ask("/one/x", ms(8000));
    assert_eq!(w.busy(), [own.as_str()]);
    w.end(&own, AttemptEnd::NotSent);
    let other = w.busy()[0].to_owned();
    assert_ne!(other, own);
    w.end(&other, good(b'a'));
    assert!(w.ending(seq).is_some());
}

/// Guards against VMs that each keep an idle connection to a service which all its servers together cannot give:
/// the next request of another VM is reset with its connection.
#[rstest]
#[case::enough(200, true)]
#[case::too_few(300, false)]
fn a_connection_is_kept_where_there_is_one_for_each_vm(#[case] vms: usize, #[case] keeps: bool) {
    let mut w = world(&fleet(vms), 1);
    assert_eq!(!held(&w).is_empty(), keeps);
    w.ask("/one/x", ms(2500));
    assert_eq!(w.sent[0].keep_connection, keeps);
}
