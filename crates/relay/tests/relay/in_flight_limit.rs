//! Tests of the limit of a VM's attempts in flight at a server.

use gs_relay::Event;

use crate::world::HERE;
use crate::world::World;
use crate::world::ms;
use crate::world::success;
use crate::world::vm;

/// Creates one of seven VMs that share two servers of two slots each, with execution times of 10 ms
/// and an objective of 150 ms.
fn one_of_seven_vms() -> World {
    let mut w = World::with_learned_latency();
    let vms = (1..=7).map(|n| vm(&format!("vm-{n}"), HERE, "hobart", 1.0));
    w.on(Event::Vms(vms.collect()));
    w.advance(ms(300));
    w
}

/// Returns the number of open attempts at a server.
fn attempts_at(w: &World, server: &str) -> usize {
    w.busy_servers().iter().filter(|s| **s == server).count()
}

/// Callers send several times as many requests as a shard's servers can execute. Each VM keeps to
/// its share of the connections, but together they would send more than is executed within the
/// objective; the servers would execute all of it, also for pages already returned, and every page
/// would be late.
#[test]
fn attempts_of_all_vms_at_a_server_end_within_the_objective() {
    let mut w = one_of_seven_vms();
    for _ in 0..12 {
        w.arrive("/page/x", ms(2500));
    }
    for server in ["s0-near", "s0-far"] {
        let of_all = 7 * attempts_at(&w, server) as u64;
        assert!(
            of_all / 2 * 10 <= 150,
            "{server}: {of_all} executions of 10 ms in two slots"
        );
        assert!(of_all > 0);
    }
}

/// A server becomes slow. With as many attempts at a time as before, it would occupy all
/// connections to it.
#[test]
fn a_slow_server_gets_fewer_attempts_at_a_time() {
    let mut w = one_of_seven_vms();
    for _ in 0..6 {
        w.arrive("/page/x", ms(2500));
        w.advance(ms(145));
        while w.busy_servers().contains(&"s0-near") {
            w.end_attempt("s0-near", success(b'a'));
        }
        while w.busy_servers().contains(&"s0-far") {
            w.end_attempt("s0-far", success(b'a'));
        }
    }
    for _ in 0..12 {
        w.arrive("/page/x", ms(2500));
    }
    assert_eq!(attempts_at(&w, "s0-near"), 1, "{:?}", w.busy_servers());
}

/// A waiting part is dispatched as soon as an answer arrives.
#[test]
fn a_waiting_part_is_dispatched_when_an_answer_arrives() {
    let mut w = one_of_seven_vms();
    for _ in 0..12 {
        w.arrive("/page/x", ms(2500));
    }
    let before = attempts_at(&w, "s0-near");
    w.advance(ms(10));
    w.end_attempt("s0-near", success(b'a'));
    assert_eq!(attempts_at(&w, "s0-near"), before);
}
