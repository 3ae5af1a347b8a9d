//! Tests of the delay between polls of the register.

use std::time::Duration;

use gs_relay::CoalesceDelay;

use crate::world::ms;

/// How long a leaving server continues to serve.
const DRAIN_DURATION: Duration = Duration::from_secs(5);

/// Time since the start of a process by which its fleet has started.
const AFTER_FLEET_START: Duration = Duration::from_secs(60);

/// Returns the number of polls in a series of changes that lasts `series`, in which each poll
/// returns a change immediately.
fn polls_in(series: Duration) -> usize {
    let mut coalesce_delay = CoalesceDelay::new(DRAIN_DURATION, false);
    let mut waited = Duration::from_secs(9);
    let mut at = Duration::ZERO;
    let mut polls = 0;
    while at < series {
        polls += 1;
        coalesce_delay.on_changes(waited, AFTER_FLEET_START);
        waited = Duration::ZERO;
        at += coalesce_delay.delay();
    }
    polls
}

/// Servers are replaced in turn for ten seconds. With short delays, each of 80 VMs would make three
/// calls in the first second and one every two seconds after it, and each call costs money.
#[test]
fn a_series_of_changes_takes_less_than_one_poll_a_second() {
    assert!(polls_in(ms(10_000)) <= 6, "{}", polls_in(ms(10_000)));
}

/// A delay longer than a leaving server continues to serve would let a VM send requests to a server
/// that has left.
#[test]
fn the_delay_is_at_most_half_of_the_drain_duration() {
    let mut coalesce_delay = CoalesceDelay::new(DRAIN_DURATION, false);
    for _ in 0..10 {
        coalesce_delay.on_changes(Duration::ZERO, AFTER_FLEET_START);
        assert!(
            coalesce_delay.delay() <= DRAIN_DURATION / 2,
            "{:?}",
            coalesce_delay.delay()
        );
    }
}

/// A fleet starts. With long delays, all VMs would learn of all servers at the same moment and
/// connect to them at once.
#[test]
fn delays_are_short_while_the_fleet_starts() {
    let mut coalesce_delay = CoalesceDelay::new(DRAIN_DURATION, true);
    coalesce_delay.on_changes(Duration::from_secs(3), ms(500));
    assert!(
        coalesce_delay.delay() <= ms(250),
        "{:?}",
        coalesce_delay.delay()
    );
}

/// The register is unreachable while the fleet starts. A delay kept from the start would postpone
/// the first poll after the outage, and requests would be sent to a server that left meanwhile.
#[test]
fn the_first_poll_after_an_outage_is_not_delayed() {
    let mut coalesce_delay = CoalesceDelay::new(DRAIN_DURATION, true);
    for at in [500, 1000, 2000, 4000] {
        coalesce_delay.on_changes(Duration::ZERO, ms(at));
    }
    coalesce_delay.reset();
    assert_eq!(coalesce_delay.delay(), Duration::ZERO);
    coalesce_delay.on_changes(Duration::ZERO, AFTER_FLEET_START);
    assert!(
        coalesce_delay.delay() <= DRAIN_DURATION.mul_f64(0.2),
        "{:?}",
        coalesce_delay.delay()
    );
}
