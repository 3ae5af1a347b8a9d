//! Servers that leave the register, and come back.

use std::sync::Arc;

use gs_relay::Availability;
use gs_relay::Event;
use gs_relay::Repeat;
use gs_types::prelude::*;

use crate::world::HERE;
use crate::world::World;
use crate::world::entry;
use crate::world::ms;
use crate::world::one_route;
use crate::world::table;

fn world() -> World {
    let mut w = World::new(table(1, vec![one_route(Repeat::Safe)]));
    w.tell(Event::Server(Arc::new(entry("a", "desk", HERE))));
    w
}

fn gone(name: &str) -> Event {
    Event::ServerGone(name.parse().expect("a name"))
}

/// An operator sees work go to a server three seconds after it left the register.
/// The entry vanishes, a new version of the routes comes a second later, and the version's look at
/// every server took the vanished entry for one that had come back.
#[test]
fn a_new_version_of_the_routes_does_not_bring_a_vanished_server_back() {
    let mut w = world();
    w.tell(gone("a"));
    w.pass(ms(1000));
    w.tell(Event::Table(table(2, vec![one_route(Repeat::Safe)])));
    w.pass(ms(1000));
    w.ask("/one/x", ms(8000));
    assert_eq!(w.busy(), Vec::<&str>::new());
}

/// A caller is refused although every server lives.
/// The platform was away, the entries of live servers lapsed meanwhile, and are back within two
/// seconds; dropped at once, each of them would be missing until then.
#[test]
fn a_vanished_server_is_used_for_a_while_and_then_no_more() {
    let mut w = world();
    w.tell(gone("a"));
    w.pass(ms(1100));
    w.ask("/one/x", ms(8000));
    assert_eq!(w.busy(), ["a"]);
    w.pass(ms(500));
    w.ask("/one/y", ms(8000));
    assert_eq!(w.busy(), ["a"]);
}

/// Every shard is without a server for a second after the platform's return: the entries of live
/// servers lapsed while it was away and are written again only after two seconds.
#[test]
fn a_server_that_vanished_in_an_outage_is_kept_until_it_can_be_back() {
    let mut w = world();
    w.tell(Event::RegisterReachable(false));
    w.pass(ms(4000));
    w.tell(Event::RegisterReachable(true));
    w.pass(ms(100));
    w.tell(gone("a"));
    w.pass(ms(2100));
    w.ask("/one/x", ms(8000));
    assert_eq!(w.busy(), ["a"]);
    w.pass(ms(200));
    w.ask("/one/y", ms(8000));
    assert_eq!(w.busy(), ["a"]);
}

/// A server gets work three seconds after it left: it was taken for one that lapsed, as the platform had
/// been away some seconds before.
#[test]
fn a_server_that_leaves_well_after_an_outage_is_not_waited_for() {
    let mut w = world();
    w.tell(Event::RegisterReachable(false));
    w.pass(ms(4000));
    w.tell(Event::RegisterReachable(true));
    w.pass(ms(1600));
    w.tell(gone("a"));
    w.pass(ms(1300));
    w.ask("/one/x", ms(8000));
    assert_eq!(w.busy(), Vec::<&str>::new());
}

#[test]
fn a_server_that_is_back_in_time_stays() {
    let mut w = world();
    w.tell(gone("a"));
    w.pass(ms(1000));
    w.tell(Event::Server(Arc::new(entry("a", "desk", HERE))));
    w.pass(ms(5000));
    w.ask("/one/x", ms(8000));
    assert_eq!(w.busy(), ["a"]);
}

#[test]
fn a_server_that_drains_gets_nothing_more_and_is_dropped_at_once() {
    let mut w = world();
    let mut leaving = entry("a", "desk", HERE);
    leaving.availability = Availability::Draining;
    w.tell(Event::Server(Arc::new(leaving)));
    w.ask("/one/x", ms(8000));
    w.tell(gone("a"));
    w.ask("/one/y", ms(8000));
    assert_eq!(w.busy(), Vec::<&str>::new());
    assert_eq!(w.relay.servers(w.now).len(), 0);
}

/// A server that has warmed up long ago is spared as if it were cold, at each change of the routes.
#[test]
fn a_new_version_of_the_routes_does_not_make_a_server_cold_again() {
    let mut w = World::new(table(1, vec![one_route(Repeat::Safe)]));
    let mut cold = entry("a", "desk", HERE);
    cold.warming = ms(3000);
    w.tell(Event::Server(Arc::new(cold)));
    w.pass(ms(3100));
    w.tell(Event::Table(table(2, vec![one_route(Repeat::Safe)])));
    let shown = w.relay.servers(w.now);
    assert!((shown[0].slowness - 1.0).abs() < 1e-9, "{shown:?}");
}

#[test]
fn a_table_that_is_not_newer_changes_nothing() {
    let mut w = World::new(table(5, vec![one_route(Repeat::Safe)]));
    w.tell(Event::Table(table(4, Vec::new())));
    w.tell(Event::Table(table(5, Vec::new())));
    w.tell(Event::Server(Arc::new(entry("a", "desk", HERE))));
    w.ask("/one/x", ms(8000));
    assert_eq!(w.busy(), ["a"]);
    assert_eq!(w.relay.version(), Some(ConfVersion(5)));
}
