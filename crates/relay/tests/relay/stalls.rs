//! Tests that a server that stalled is distinguished from a slow one.

use crate::world::World;
use crate::world::ms;
use crate::world::success;

/// Passes a request to the relay and returns the server that it is dispatched to.
fn next_server(w: &mut World) -> String {
    w.arrive("/page/next", ms(2500));
    let last = w.open.back().expect("an attempt");
    last.server.name.to_string()
}

/// Lets the near server stall with two requests for 250 ms and then answer both; their hedges are
/// answered too.
fn stall_near(w: &mut World) {
    w.arrive("/page/x", ms(2500));
    w.advance(ms(5));
    w.arrive("/page/y", ms(2500));
    w.advance(ms(60));
    while w.busy_servers().contains(&"s0-far") {
        w.end_attempt("s0-far", success(b'a'));
    }
    w.advance(ms(185));
    while w.busy_servers().contains(&"s0-near") {
        w.end_attempt("s0-near", success(b'a'));
    }
}

/// A server stalls for a quarter of a second. If each attempt held up by it counted as slow
/// execution, the server would be avoided for four more seconds, while its replica in another data
/// centre does the work of both.
#[test]
fn a_server_that_stalled_is_used_again_immediately() {
    let mut w = World::with_learned_latency();
    stall_near(&mut w);
    w.advance(ms(10));
    assert_eq!(next_server(&mut w), "s0-near");
}

/// Prevents a server that has become slow from being taken for one that stalls repeatedly.
#[test]
fn a_server_that_also_delays_later_attempts_is_slow() {
    let mut w = World::with_learned_latency();
    stall_near(&mut w);
    w.advance(ms(10));
    stall_near(&mut w);
    w.advance(ms(10));
    assert_eq!(next_server(&mut w), "s0-far");
}

/// Prevents a server that stalls twice, with answers in normal time in between, from being taken
/// for a slow one.
#[test]
fn a_second_stall_after_an_answer_on_time_counts_as_a_stall() {
    let mut w = World::with_learned_latency();
    stall_near(&mut w);
    w.advance(ms(10));
    assert_eq!(next_server(&mut w), "s0-near");
    w.advance(ms(10));
    w.end_attempt("s0-near", success(b'a'));
    w.advance(ms(10));
    stall_near(&mut w);
    w.advance(ms(10));
    assert_eq!(next_server(&mut w), "s0-near");
}
