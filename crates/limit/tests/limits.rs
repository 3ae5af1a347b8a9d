//! Admission, budgets and the learned delay.

use std::time::Duration;
use std::time::Instant;

use gs_limit::Adaptive;
use gs_limit::AdmissionPolicy;
use gs_limit::Ask;
use gs_limit::Ended;
use gs_limit::ExtraBudget;
use gs_limit::Fixed;
use gs_limit::LatencyDigest;
use gs_limit::Verdict;
use gs_types::prelude::*;
use rstest::rstest;

fn ask(promise: Promise, typical_ms: u64, worst_ms: u64, in_flight: usize) -> Ask {
    Ask {
        promise,
        budget: Duration::from_millis(100),
        typical: Duration::from_millis(typical_ms),
        worst: Duration::from_millis(worst_ms),
        in_flight,
    }
}

#[rstest]
#[case::urgent_idle(Promise::Urgent, 0, 10, true)]
#[case::urgent_one_slow_shard(Promise::Urgent, 5, 400, true)]
#[case::urgent_long_queue(Promise::Urgent, 90, 95, false)]
#[case::complete_idle(Promise::Complete, 0, 10, true)]
#[case::complete_one_slow_shard(Promise::Complete, 5, 400, false)]
#[case::complete_goes_before_urgent(Promise::Complete, 40, 60, false)]
#[case::urgent_stays_longer(Promise::Urgent, 40, 60, true)]
#[case::once_that_cannot_end(Promise::AtMostOnce, 85, 90, false)]
fn a_lookup_is_taken_on_if_it_can_end_in_time(
    #[case] promise: Promise,
    #[case] typical_ms: u64,
    #[case] worst_ms: u64,
    #[case] admitted: bool,
) {
    let mut policy = Adaptive::new(100);
    let verdict = policy.admit(Instant::now(), &ask(promise, typical_ms, worst_ms, 0));
    assert_eq!(verdict == Verdict::Admit, admitted);
}

#[test]
fn the_bound_shrinks_under_congestion_and_grows_back() {
    let mut policy = Adaptive::new(100);
    let mut now = Instant::now();
    let end = |in_time, in_flight| Ended {
        in_time,
        congested: !in_time,
        in_flight,
    };
    for _ in 0..10 {
        policy.ended(now, &end(false, 100));
        now += Duration::from_millis(200);
    }
    let low = policy.dump(now).limit;
    assert!(low < 40.0, "{low}");
    assert!(policy.overloaded(now));
    for _ in 0..20_000 {
        policy.ended(now, &end(true, 100));
    }
    now += Duration::from_secs(1);
    assert!(!policy.overloaded(now));
    assert!(policy.dump(now).limit > 99.0);
}

#[test]
fn a_late_end_without_congestion_does_not_shrink_the_bound() {
    let mut policy = Adaptive::new(100);
    let now = Instant::now();
    policy.ended(
        now,
        &Ended {
            in_time: false,
            congested: false,
            in_flight: 100,
        },
    );
    assert_eq!(policy.dump(now).limit, 100.0);
}

#[test]
fn the_baseline_looks_at_nothing_but_its_bound() {
    let mut policy = Fixed::new(2);
    let now = Instant::now();
    let hopeless = ask(Promise::Complete, 900, 900, 1);
    assert_eq!(policy.admit(now, &hopeless), Verdict::Admit);
    let full = ask(Promise::Urgent, 0, 0, 2);
    assert_ne!(policy.admit(now, &full), Verdict::Admit);
}

#[test]
fn extra_attempts_are_a_share_of_the_first_ones() {
    let now = Instant::now();
    let mut budget = ExtraBudget::new(0.02, 10, 0.0);
    assert!(budget.take_retries(now, 5));
    assert!(!budget.take_retries(now, 1));
    for _ in 0..100 {
        budget.earn();
    }
    assert!(budget.take_retries(now, 2));
    assert!(!budget.take_retries(now, 1));
}

#[test]
fn half_of_what_is_saved_up_is_kept_for_retries() {
    let now = Instant::now();
    let mut budget = ExtraBudget::new(1.0, 10, 0.0);
    for _ in 0..10 {
        budget.earn();
    }
    let hedges = (0..10).filter(|_| budget.take_hedge(now)).count();
    assert_eq!(hedges, 5);
    assert!(budget.take_retries(now, 5));
}

#[test]
fn a_quiet_process_still_earns_retries() {
    let now = Instant::now();
    let mut budget = ExtraBudget::new(0.0, 10, 2.0);
    assert!(budget.take_retries(now, 5));
    assert!(!budget.take_retries(now, 1));
    assert!(budget.take_retries(now + Duration::from_secs(1), 2));
}

#[test]
fn the_digest_finds_the_quantile_and_forgets() {
    let mut digest = LatencyDigest::new(0.9);
    for n in 0..10_000_u64 {
        digest.add(Duration::from_micros(1_000 + n % 1_000));
    }
    let p90 = digest.shown().expect("enough samples").as_micros();
    assert!((1_750..2_100).contains(&p90), "{p90}");
    for _ in 0..100_000 {
        digest.add(Duration::from_micros(100));
    }
    let p90 = digest.shown().expect("enough samples").as_micros();
    assert!((95..115).contains(&p90), "{p90}");
}
