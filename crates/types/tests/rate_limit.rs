//! The rate limit for log lines.

use std::time::Duration;
use std::time::Instant;

use gs_types::rate_limit::RateLimit;

/// Prevents a log that grows with the number of failing requests.
#[test]
fn no_more_lines_than_the_limit_are_admitted_per_second() {
    let start = Instant::now();
    let mut limit = RateLimit::new(3);
    let times = (0..1000).map(|n| start + Duration::from_millis(n));
    let admitted = times
        .filter(|now| limit.try_acquire(*now).is_some())
        .count();
    assert_eq!(admitted, 3);
}

/// Prevents a log that does not report how many lines were suppressed.
#[test]
fn suppressed_lines_are_reported_once() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let mut limit = RateLimit::new(1);
    assert_eq!(limit.try_acquire(start), Some(0));
    assert_eq!(
        [limit.try_acquire(start), limit.try_acquire(start)],
        [None, None]
    );
    assert_eq!(limit.try_acquire(later), Some(2));
    assert_eq!(limit.try_acquire(later + Duration::from_secs(1)), Some(0));
}
