//! Tests of servers whose register entries disappear and return.

use std::sync::Arc;
use std::time::Duration;

use gs_relay::Availability;
use gs_relay::Event;
use gs_relay::RepeatPolicy;
use gs_types::prelude::*;

use crate::world::HERE;
use crate::world::World;
use crate::world::entry;
use crate::world::ms;
use crate::world::one_route;
use crate::world::table;

fn world() -> World {
    let mut w = World::new(table(1, vec![one_route(RepeatPolicy::Safe)]));
    w.on(Event::Server(Arc::new(entry("a", "desk", HERE))));
    w
}

/// Returns the event for a missing register entry.
fn entry_missing(name: &str) -> Event {
    Event::EntryMissing(name.parse().expect("a name"))
}

/// An entry disappears, and a new version of the routes arrives a second later. If the update of
/// all servers for that version took the entry for one that had returned, requests would be sent to
/// the server three seconds after it left the register.
#[test]
fn a_new_version_of_the_routes_does_not_restore_a_missing_server() {
    let mut w = world();
    w.on(entry_missing("a"));
    w.advance(ms(1000));
    w.on(Event::Table(table(2, vec![one_route(RepeatPolicy::Safe)])));
    w.advance(ms(1000));
    w.arrive("/one/x", ms(8000));
    assert_eq!(w.busy_servers(), Vec::<&str>::new());
}

/// The platform was unreachable, and the entries of live servers lapsed meanwhile; they return
/// within two seconds. If the servers were removed immediately, callers would be refused until
/// then.
#[test]
fn a_missing_server_is_used_for_a_limited_time() {
    let mut w = world();
    w.on(entry_missing("a"));
    w.advance(ms(1100));
    w.arrive("/one/x", ms(8000));
    assert_eq!(w.busy_servers(), ["a"]);
    w.advance(ms(500));
    w.arrive("/one/y", ms(8000));
    assert_eq!(w.busy_servers(), ["a"]);
}

/// The entries of live servers lapsed while the platform was unreachable and are written again only
/// two seconds after it returns. If they were kept for less, every shard would be without a server
/// for a second.
#[test]
fn a_server_missing_after_an_outage_is_kept_until_its_entry_can_return() {
    let mut w = world();
    w.on(Event::RegisterReachable(false));
    w.advance(ms(4000));
    w.on(Event::RegisterReachable(true));
    w.advance(ms(100));
    w.on(entry_missing("a"));
    w.advance(ms(2100));
    w.arrive("/one/x", ms(8000));
    assert_eq!(w.busy_servers(), ["a"]);
    w.advance(ms(200));
    w.arrive("/one/y", ms(8000));
    assert_eq!(w.busy_servers(), ["a"]);
}

/// A server leaves some seconds after an outage of the platform. If its entry were taken for one
/// that lapsed, requests would be sent to it three seconds after it left.
#[test]
fn a_server_that_leaves_well_after_an_outage_is_not_kept_longer() {
    let mut w = world();
    w.on(Event::RegisterReachable(false));
    w.advance(ms(4000));
    w.on(Event::RegisterReachable(true));
    w.advance(ms(1600));
    w.on(entry_missing("a"));
    w.advance(ms(1300));
    w.arrive("/one/x", ms(8000));
    assert_eq!(w.busy_servers(), Vec::<&str>::new());
}

/// Returns the event for an entry that the register removed, after it had been answering for this long.
fn entry_removed(name: &str, stable_for: Duration) -> Event {
    Event::EntryRemoved(name.parse().expect("a name"), stable_for)
}

/// Prevents a server that has left from being used as if its entry might come back, although the register was answering
/// all the while.
#[test]
fn a_server_that_a_stable_register_removed_is_not_used() {
    let mut w = world();
    w.on(entry_removed("a", ms(60_000)));
    w.arrive("/one/x", ms(8000));
    assert_eq!(w.busy_servers(), Vec::<&str>::new());
}

/// Prevents a shard from losing all its servers just after an outage of which this VM did not learn.
#[test]
fn a_server_that_is_removed_just_after_an_outage_is_kept() {
    let mut w = world();
    w.on(entry_removed("a", ms(2100)));
    w.advance(ms(1100));
    w.arrive("/one/x", ms(8000));
    assert_eq!(w.busy_servers(), ["a"]);
}

/// Prevents a removal that is certain from waiting for the end of an earlier delay.
#[test]
fn a_missing_server_is_removed_once_the_register_is_stable() {
    let mut w = world();
    w.on(entry_missing("a"));
    w.advance(ms(100));
    w.on(entry_removed("a", ms(60_000)));
    w.arrive("/one/x", ms(8000));
    assert_eq!(w.busy_servers(), Vec::<&str>::new());
}

/// Prevents a list that lacks an entry again from extending the time for which its server is used.
#[test]
fn a_second_list_without_an_entry_does_not_postpone_the_removal() {
    let mut w = world();
    for _ in 0..4 {
        w.on(entry_missing("a"));
        w.advance(ms(400));
    }
    w.arrive("/one/x", ms(8000));
    assert_eq!(w.busy_servers(), Vec::<&str>::new());
}

#[test]
fn a_server_whose_entry_returns_in_time_stays() {
    let mut w = world();
    w.on(entry_missing("a"));
    w.advance(ms(1000));
    w.on(Event::Server(Arc::new(entry("a", "desk", HERE))));
    w.advance(ms(5000));
    w.arrive("/one/x", ms(8000));
    assert_eq!(w.busy_servers(), ["a"]);
}

#[test]
fn a_draining_server_gets_no_requests_and_is_removed_with_its_entry() {
    let mut w = world();
    let mut leaving = entry("a", "desk", HERE);
    leaving.availability = Availability::Draining;
    w.on(Event::Server(Arc::new(leaving)));
    w.arrive("/one/x", ms(8000));
    w.on(entry_missing("a"));
    w.arrive("/one/y", ms(8000));
    assert_eq!(w.busy_servers(), Vec::<&str>::new());
    assert_eq!(w.relay.servers(w.now).len(), 0);
}

/// Prevents a server whose slow start has ended from being treated as starting again at each change
/// of the routes.
#[test]
fn a_new_version_of_the_routes_does_not_restart_slow_start() {
    let mut w = World::new(table(1, vec![one_route(RepeatPolicy::Safe)]));
    let mut starting = entry("a", "desk", HERE);
    starting.warming = ms(3000);
    w.on(Event::Server(Arc::new(starting)));
    w.advance(ms(3100));
    w.on(Event::Table(table(2, vec![one_route(RepeatPolicy::Safe)])));
    let dumps = w.relay.servers(w.now);
    assert!((dumps[0].slowness - 1.0).abs() < 1e-9, "{dumps:?}");
}

#[test]
fn a_table_that_is_not_newer_changes_nothing() {
    let mut w = World::new(table(5, vec![one_route(RepeatPolicy::Safe)]));
    w.on(Event::Table(table(4, Vec::new())));
    w.on(Event::Table(table(5, Vec::new())));
    w.on(Event::Server(Arc::new(entry("a", "desk", HERE))));
    w.arrive("/one/x", ms(8000));
    assert_eq!(w.busy_servers(), ["a"]);
    assert_eq!(w.relay.version(), Some(ConfVersion(5)));
}
