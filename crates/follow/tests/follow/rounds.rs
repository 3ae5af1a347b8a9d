//! Rounds: looks at the list of VMs, and whether the register is in reach.

use std::time::Duration;
use std::time::Instant;

use gs_follow::Rounds;
use rstest::rstest;

const LOOK_EVERY: Duration = Duration::from_secs(10);

/// The times of the rounds of the first half minute, and whether the list is looked at.
fn rounds(first_start: bool) -> Vec<(Duration, bool)> {
    let begun = Instant::now();
    let mut now = begun;
    let mut r = Rounds::new(now, first_start, LOOK_EVERY);
    let mut all = Vec::new();
    while now < begun + 3 * LOOK_EVERY {
        now += r.wait(now);
        let is_look = r.begin(now);
        if is_look {
            r.looked(true);
        }
        all.push((now - begun, is_look));
    }
    all
}

fn looks(first_start: bool) -> Vec<u128> {
    let looks = rounds(first_start)
        .into_iter()
        .filter(|(_, is_look)| *is_look);
    looks.map(|(at, _)| at.as_millis()).collect()
}

/// Guards against an outage of the register that no round sees, since the first looks are further apart.
#[rstest]
fn no_two_rounds_are_further_apart_than_heartbeats(#[values(true, false)] first_start: bool) {
    let times = rounds(first_start);
    let apart = times.windows(2).map(|w| w[1].0 - w[0].0);
    assert_eq!(apart.max(), Some(Duration::from_millis(1500)));
}

#[test]
fn the_first_looks_follow_soon_and_later_ones_now_and_then() {
    let expected = [10, 1010, 2510, 5510, 15_510, 25_510];
    assert_eq!(looks(false), expected);
}

/// Guards against a VM of a fleet that starts together and knows of few others.
#[test]
fn at_the_first_start_of_all_nobody_looks_at_once() {
    let expected = [1000, 2500, 5500, 15_500, 25_500];
    assert_eq!(looks(true), expected);
}

/// Guards against a VM that goes unlisted until the next regular look.
#[test]
fn a_look_that_shows_nothing_is_repeated_in_the_next_round() {
    let mut now = Instant::now();
    let mut r = Rounds::new(now, false, LOOK_EVERY);
    now += r.wait(now);
    assert!(r.begin(now));
    r.looked(false);
    assert_eq!(r.wait(now), Duration::from_millis(1500));
    assert!(r.begin(now + r.wait(now)));
}

/// Guards against a VM that sees the end of an outage late, as it waits after a call that was not answered.
#[test]
fn a_round_that_takes_long_is_followed_at_once() {
    let mut now = Instant::now();
    let mut r = Rounds::new(now, true, LOOK_EVERY);
    now += r.wait(now);
    r.begin(now);
    now += Duration::from_secs(2);
    r.looked(true);
    assert_eq!(r.wait(now), Duration::ZERO);
}
