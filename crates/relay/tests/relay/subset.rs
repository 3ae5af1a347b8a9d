//! Tests of services whose servers accept connections from fewer VMs than there are.

use std::collections::HashMap;
use std::sync::Arc;

use gs_relay::AttemptEnd;
use gs_relay::Event;
use gs_relay::PeerVm;
use gs_relay::RelayOptions;
use gs_relay::RepeatPolicy;
use gs_types::prelude::*;
use rstest::rstest;

use crate::world::HERE;
use crate::world::THERE;
use crate::world::World;
use crate::world::entry;
use crate::world::ms;
use crate::world::one_route;
use crate::world::options;
use crate::world::success;
use crate::world::table;
use crate::world::vm;

/// Connections that each server accepts.
const CONNECTIONS_MAX: u32 = 60;

/// The servers of the service with their data centres.
const SERVERS: [(&str, &str); 4] = [
    ("desk-0", HERE),
    ("desk-1", THERE),
    ("desk-2", HERE),
    ("desk-3", THERE),
];

/// Returns this number of VMs, alternately in two data centres.
fn fleet(count: usize) -> Vec<PeerVm> {
    let data_centres = [(HERE, "hobart"), (THERE, "launceston")];
    let vms = (0..count).map(|n| {
        let (data_centre, region) = data_centres[n % data_centres.len()];
        vm(&format!("vm-{n}"), data_centre, region, 0.25)
    });
    vms.collect()
}

/// Creates the `n`-th VM of a fleet with the four servers of one service.
fn world(fleet: &[PeerVm], n: usize) -> World {
    let options = RelayOptions {
        vm: fleet[n].name.clone(),
        data_centre: fleet[n].data_centre.clone(),
        region: fleet[n].region.clone(),
        ..options()
    };
    let routes = vec![one_route(RepeatPolicy::Safe)];
    let mut w = World::with_options(table(1, routes), options);
    for (name, data_centre) in SERVERS {
        w.on(Event::Server(Arc::new(entry(name, "desk", data_centre))));
    }
    w.on(Event::Vms(fleet.to_vec()));
    w.advance(ms(300));
    w
}

/// Returns the servers that a VM keeps connections to.
fn connected_servers(w: &World) -> Vec<&ServerName> {
    let connected = w.connections_min.iter().filter(|(_, n)| **n > 0);
    let servers = connected.filter(|(name, _)| name.as_str().starts_with("desk"));
    servers.map(|(name, _)| name).collect()
}

/// If each of hundreds of VMs connected to each server, a server would reset the connections beyond
/// its limit together with the requests on them, and lookups would fail even under light load.
#[rstest]
#[case::one_server_each(200)]
#[case::two_servers_each(100)]
#[case::not_a_multiple(173)]
fn no_server_is_connected_to_by_more_vms_than_it_accepts(#[case] count: usize) {
    let vms = fleet(count);
    let mut by_server: HashMap<ServerName, u32> = HashMap::new();
    for n in 0..count {
        let w = world(&vms, n);
        let connected = connected_servers(&w);
        assert!(!connected.is_empty(), "vm-{n} keeps no connection");
        connected
            .iter()
            .for_each(|name| *by_server.entry((*name).clone()).or_default() += 1);
    }
    assert_eq!(by_server.len(), SERVERS.len());
    let over = by_server.values().filter(|vms| **vms > CONNECTIONS_MAX);
    assert_eq!(over.count(), 0, "{by_server:?}");
}

/// A VM opens connections while it knows only a few other VMs. Once it knows all of them, it must
/// close those to servers outside its subset.
#[test]
fn connections_to_servers_outside_the_subset_are_closed() {
    let vms = fleet(200);
    let mut w = world(&vms[..20], 7);
    assert_eq!(connected_servers(&w).len(), SERVERS.len());
    w.on(Event::Vms(vms));
    w.advance(ms(300));
    assert_eq!(connected_servers(&w).len(), 1);
}

/// Prevents VMs from using only a few servers although each server accepts connections from all
/// VMs.
#[test]
fn all_servers_are_used_where_the_connections_allow() {
    let vms = fleet(50);
    assert_eq!(connected_servers(&world(&vms, 7)).len(), SERVERS.len());
}

/// Prevents lookups from waiting or failing at a VM whose subset is unreachable while other servers
/// of the service are idle.
#[test]
fn other_servers_are_used_while_the_subset_is_unreachable() {
    let vms = fleet(200);
    let mut w = world(&vms, 7);
    let own = connected_servers(&w)[0].as_str().to_owned();
    let seq = w.arrive("/one/x", ms(8000));
    assert_eq!(w.busy_servers(), [own.as_str()]);
    w.end_attempt(&own, AttemptEnd::NotSent);
    let other = w.busy_servers()[0].to_owned();
    assert_ne!(other, own);
    w.end_attempt(&other, success(b'a'));
    assert!(w.report(seq).is_some());
}

/// If each VM kept an idle connection to a service whose servers together accept fewer, the next
/// connection of another VM would be reset together with the request on it.
#[rstest]
#[case::enough(200, true)]
#[case::too_few(300, false)]
fn a_connection_is_kept_where_there_is_one_for_each_vm(#[case] vms: usize, #[case] keeps: bool) {
    let mut w = world(&fleet(vms), 1);
    assert_eq!(!connected_servers(&w).is_empty(), keeps);
    w.arrive("/one/x", ms(2500));
    assert_eq!(w.open[0].keep_connection, keeps);
}
