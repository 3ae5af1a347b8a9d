//! Tests of the schedule of polls and heartbeats.

use std::time::Duration;
use std::time::Instant;

use gs_follow::PollSchedule;
use rstest::rstest;

const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Returns the times of the rounds of the first half minute, and whether the list is polled in each.
fn rounds(first_start: bool) -> Vec<(Duration, bool)> {
    let start = Instant::now();
    let mut now = start;
    let mut schedule = PollSchedule::new(now, first_start, POLL_INTERVAL);
    let mut all = Vec::new();
    while now < start + 3 * POLL_INTERVAL {
        now += schedule.time_to_next(now);
        let is_poll = schedule.begin_round(now);
        if is_poll {
            schedule.on_list_polled(true);
        }
        all.push((now - start, is_poll));
    }
    all
}

/// Returns the times of the polls, in milliseconds.
fn poll_times_ms(first_start: bool) -> Vec<u128> {
    let polls = rounds(first_start)
        .into_iter()
        .filter(|(_, is_poll)| *is_poll);
    polls.map(|(at, _)| at.as_millis()).collect()
}

/// An outage of the register must not fall between two rounds, though the first polls are further apart than a
/// heartbeat interval.
#[rstest]
fn rounds_are_at_most_a_heartbeat_interval_apart(#[values(true, false)] first_start: bool) {
    let times = rounds(first_start);
    let apart = times.windows(2).map(|w| w[1].0 - w[0].0);
    assert_eq!(apart.max(), Some(Duration::from_millis(1200)));
}

#[test]
fn the_first_polls_are_more_frequent_than_later_ones() {
    let expected = [10, 1010, 2510, 5510, 15_510, 25_510];
    assert_eq!(poll_times_ms(false), expected);
}

/// When a whole fleet starts, a VM that polled at once would learn of few others.
#[test]
fn no_vm_polls_immediately_at_the_first_start_of_the_fleet() {
    let expected = [1000, 2500, 5500, 15_500, 25_500];
    assert_eq!(poll_times_ms(true), expected);
}

/// A VM must not stay unlisted until the next regular poll after a failed one.
#[test]
fn a_failed_poll_is_repeated_in_the_next_round() {
    let mut now = Instant::now();
    let mut schedule = PollSchedule::new(now, false, POLL_INTERVAL);
    now += schedule.time_to_next(now);
    assert!(schedule.begin_round(now));
    schedule.on_list_polled(false);
    assert_eq!(schedule.time_to_next(now), Duration::from_millis(1200));
    assert!(schedule.begin_round(now + schedule.time_to_next(now)));
}

/// A VM must not notice the end of an outage late because it waits after a call that got no answer.
#[test]
fn a_long_round_is_followed_immediately_by_the_next() {
    let mut now = Instant::now();
    let mut schedule = PollSchedule::new(now, true, POLL_INTERVAL);
    now += schedule.time_to_next(now);
    schedule.begin_round(now);
    now += Duration::from_secs(2);
    schedule.on_list_polled(true);
    assert_eq!(schedule.time_to_next(now), Duration::ZERO);
}
