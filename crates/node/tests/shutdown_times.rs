//! Tests of the times of a graceful shutdown.

use std::time::Duration;
use std::time::Instant;

use gs_node::ShutdownTimes;
use gs_settings::Shutdown;
use rstest::rstest;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn times(lag_ms: u64, deadline_ms: u64, now: Instant) -> ShutdownTimes {
    let cfg = Shutdown {
        lag: ms(lag_ms),
        deadline: ms(deadline_ms),
    };
    ShutdownTimes::new(&cfg, now)
}

/// Prevents a process from being killed before its last response is written, for every deadline that can be set.
#[rstest]
fn all_steps_of_a_shutdown_fit_into_its_deadline(
    #[values(0, 50, 1000, 2500, 60_000)] lag_ms: u64,
    #[values(100, 300, 1000, 2000, 3000, 5700, 8000, 30_000, 600_000)] deadline_ms: u64,
) {
    let now = Instant::now();
    let t = times(lag_ms, deadline_ms, now);
    assert!(now <= t.serve_until && t.serve_until <= t.answer_by);
    assert!(t.answer_by < t.written_by);
    assert!(t.written_by < t.released_by);
    assert!(t.released_by < t.exit_by);
    assert_eq!(t.exit_by, now + ms(deadline_ms));
    let for_lookups = t.answer_by - now;
    assert!(for_lookups >= ms(deadline_ms) / 2, "{for_lookups:?}");
    for after in (0..=20).map(|n| ms(deadline_ms) * n / 20) {
        assert!(t.release_until(now + after) <= t.released_by);
    }
}

/// Prevents the report of a release from being cut off, and a process without lookups from staying until its deadline.
#[test]
fn a_release_takes_the_same_time_whenever_the_last_lookup_ends() {
    let now = Instant::now();
    let t = times(2000, 30_000, now);
    assert_eq!(t.release_until(now + ms(3000)), now + ms(3700));
    assert_eq!(t.release_until(t.written_by), t.written_by + ms(700));
    assert_eq!(t.released_by - t.written_by, ms(700));
}
