//! Pauses between looks at the register.

use std::time::Duration;

use gs_relay::CoalesceDelay;

use crate::world::ms;

const DRAIN: Duration = Duration::from_secs(5);

/// Long after the start.
const LATER: Duration = Duration::from_secs(60);

/// Looks in a series of changes that lasts `series`, each look finding one at once.
fn looks_in(series: Duration) -> usize {
    let mut settle = CoalesceDelay::new(DRAIN, false);
    let mut waited = Duration::from_secs(9);
    let mut at = Duration::ZERO;
    let mut looks = 0;
    while at < series {
        looks += 1;
        settle.on_changes(waited, LATER);
        waited = Duration::ZERO;
        at += settle.delay();
    }
    looks
}

/// Servers are replaced in turn for ten seconds, and each of 80 VMs makes three calls in the first second and
/// one every two seconds after: and pays for each.
#[test]
fn a_series_of_changes_takes_a_look_a_second_and_less() {
    assert!(looks_in(ms(10_000)) <= 6, "{}", looks_in(ms(10_000)));
}

/// A VM that pauses longer than a leaving server goes on serving sends it work after that.
#[test]
fn a_pause_leaves_a_leaving_server_most_of_its_time() {
    let mut settle = CoalesceDelay::new(DRAIN, false);
    for _ in 0..10 {
        settle.on_changes(Duration::ZERO, LATER);
        assert!(settle.delay() <= DRAIN / 2, "{:?}", settle.delay());
    }
}

/// All VMs of a fleet that starts learn of all servers in the same moment and connect to them at once.
#[test]
fn a_fleet_that_starts_begins_with_short_pauses() {
    let mut settle = CoalesceDelay::new(DRAIN, true);
    settle.on_changes(Duration::from_secs(3), ms(500));
    assert!(settle.delay() <= ms(250), "{:?}", settle.delay());
}

/// Guards against work sent to a server that left: a pause of the start, taken after the end of an outage.
#[test]
fn a_list_after_an_outage_is_followed_by_a_look_at_once() {
    let mut settle = CoalesceDelay::new(DRAIN, true);
    for at in [500, 1000, 2000, 4000] {
        settle.on_changes(Duration::ZERO, ms(at));
    }
    settle.reset();
    assert_eq!(settle.delay(), Duration::ZERO);
    settle.on_changes(Duration::ZERO, LATER);
    assert!(settle.delay() <= DRAIN.mul_f64(0.2), "{:?}", settle.delay());
}
