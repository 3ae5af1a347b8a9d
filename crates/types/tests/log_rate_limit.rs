//! How often something is told of.

use std::time::Duration;
use std::time::Instant;

use gs_types::log_rate_limit::LogRateLimit;

/// Guards against a log that grows with the requests that fail.
#[test]
fn no_more_than_so_many_are_let_through_in_a_second() {
    let begun = Instant::now();
    let mut limit = LogRateLimit::new(3);
    let times = (0..1000).map(|n| begun + Duration::from_millis(n));
    let taken = times
        .filter(|now| limit.try_acquire(*now).is_some())
        .count();
    assert_eq!(taken, 3);
}

/// Guards against a log that does not tell how much it lacks.
#[test]
fn what_was_left_out_is_told_once() {
    let begun = Instant::now();
    let later = begun + Duration::from_secs(1);
    let mut limit = LogRateLimit::new(1);
    assert_eq!(limit.try_acquire(begun), Some(0));
    assert_eq!(
        [limit.try_acquire(begun), limit.try_acquire(begun)],
        [None, None]
    );
    assert_eq!(limit.try_acquire(later), Some(2));
    assert_eq!(limit.try_acquire(later + Duration::from_secs(1)), Some(0));
}
