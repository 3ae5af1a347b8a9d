//! Tests of how an outage of the register is told from a partition.

use std::time::Duration;
use std::time::Instant;

use gs_follow::OutageTracker;
use rstest::rstest;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns the tracker of a VM that the register has answered for a minute, and the time of the last answer.
fn answered_for_a_minute() -> (OutageTracker, Instant) {
    let mut now = Instant::now();
    let mut tracker = OutageTracker::default();
    for _ in 0..50 {
        tracker.on_answer(now);
        now += HEARTBEAT_INTERVAL;
    }
    (tracker, now - HEARTBEAT_INTERVAL)
}

/// Prevents entries that lapsed in an outage from counting as removed.
#[rstest]
#[case::too_short_for_a_lapse(2300, false)]
#[case::shortest(2400, true)]
#[case::long(9000, true)]
fn a_gap_between_answers_is_an_outage_if_entries_may_lapse_in_it(
    #[case] gap_ms: u64,
    #[case] is_outage: bool,
) {
    let (mut tracker, last) = answered_for_a_minute();
    let now = last + ms(gap_ms);
    tracker.on_answer(now);
    assert_eq!(tracker.stable_for(now) == Duration::ZERO, is_outage);
}

/// Prevents a VM that starts from taking what it does not know of the time before for a time without outages.
#[test]
fn the_time_before_the_first_answer_may_have_been_an_outage() {
    let mut tracker = OutageTracker::default();
    let now = Instant::now();
    assert_eq!(tracker.stable_for(now), Duration::ZERO);
    tracker.on_answer(now);
    assert_eq!(tracker.stable_for(now + ms(900)), ms(900));
}

/// Prevents a VM that follows another peer from taking its own partition for an outage of the register.
#[test]
fn a_peer_that_was_answered_all_the_while_shows_that_there_was_no_outage() {
    let (mut tracker, last) = answered_for_a_minute();
    let now = last + ms(7000);
    tracker.on_report(now, now - ms(60_000));
    assert_eq!(tracker.stable_for(now), ms(60_000));
}

/// Prevents a follower from taking entries that lapsed for removed because it did not notice the outage itself.
#[test]
fn an_outage_that_a_peer_noticed_counts() {
    let (mut tracker, last) = answered_for_a_minute();
    let now = last + ms(1000);
    tracker.on_report(now, now - ms(100));
    assert_eq!(tracker.stable_for(now), ms(100));
}

/// Prevents a follower that turns to the register itself from taking the partition of its peers for an outage.
#[test]
fn a_follower_knows_when_the_register_last_answered_its_peer() {
    let mut tracker = OutageTracker::default();
    let start = Instant::now();
    tracker.on_report(start, start - ms(60_000));
    tracker.on_answer(start + ms(2000));
    assert_eq!(tracker.stable_for(start + ms(2000)), ms(62_000));
}

/// Prevents servers that a restored store does not list yet from counting as removed.
#[test]
fn a_restored_register_lacks_entries_like_one_after_an_outage() {
    let (mut tracker, last) = answered_for_a_minute();
    tracker.on_restored(last);
    assert_eq!(tracker.stable_for(last + ms(300)), ms(300));
}
