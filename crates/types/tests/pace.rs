//! How often something is told of.

use std::time::Duration;
use std::time::Instant;

use gs_types::pace::Pace;

/// Guards against a log that grows with the requests that fail.
#[test]
fn no_more_than_so_many_are_let_through_in_a_second() {
    let begun = Instant::now();
    let mut pace = Pace::new(3);
    let times = (0..1000).map(|n| begun + Duration::from_millis(n));
    let taken = times.filter(|now| pace.take(*now).is_some()).count();
    assert_eq!(taken, 3);
}

/// Guards against a log that does not tell how much it lacks.
#[test]
fn what_was_left_out_is_told_once() {
    let begun = Instant::now();
    let later = begun + Duration::from_secs(1);
    let mut pace = Pace::new(1);
    assert_eq!(pace.take(begun), Some(0));
    assert_eq!([pace.take(begun), pace.take(begun)], [None, None]);
    assert_eq!(pace.take(later), Some(2));
    assert_eq!(pace.take(later + Duration::from_secs(1)), Some(0));
}
