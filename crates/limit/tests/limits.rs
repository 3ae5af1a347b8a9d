//! Tests of admission, the budget for extra attempts and the learned hedge delay.

use std::time::Duration;
use std::time::Instant;

use gs_limit::AdaptiveAdmission;
use gs_limit::AdmissionDecision;
use gs_limit::AdmissionPolicy;
use gs_limit::AdmissionRequest;
use gs_limit::Distance;
use gs_limit::ExtraBudget;
use gs_limit::FixedAdmission;
use gs_limit::HedgePolicy;
use gs_limit::LatencyDigest;
use gs_limit::LookupEnd;
use gs_limit::QuantileHedge;
use gs_types::prelude::*;
use rstest::rstest;

fn request(promise: Promise, typical_ms: u64, worst_ms: u64, in_flight: usize) -> AdmissionRequest {
    AdmissionRequest {
        promise,
        budget: Duration::from_millis(100),
        mean_part_time: Duration::from_millis(typical_ms),
        slowest_part_time: Duration::from_millis(worst_ms),
        in_flight,
    }
}

#[rstest]
#[case::urgent_idle(Promise::Urgent, 0, 10, true)]
#[case::urgent_one_slow_shard(Promise::Urgent, 5, 400, true)]
#[case::urgent_long_queue(Promise::Urgent, 60, 95, false)]
#[case::complete_idle(Promise::Complete, 0, 10, true)]
#[case::complete_one_slow_shard(Promise::Complete, 5, 400, false)]
#[case::complete_is_rejected_before_urgent(Promise::Complete, 45, 60, false)]
#[case::urgent_is_admitted_longer(Promise::Urgent, 45, 60, true)]
#[case::at_most_once_that_cannot_end_in_time(Promise::AtMostOnce, 85, 90, false)]
fn a_lookup_is_admitted_if_it_can_end_in_time(
    #[case] promise: Promise,
    #[case] typical_ms: u64,
    #[case] worst_ms: u64,
    #[case] admitted: bool,
) {
    let mut policy = AdaptiveAdmission::new(100);
    let decision = policy.admit(Instant::now(), &request(promise, typical_ms, worst_ms, 1));
    assert_eq!(decision == AdmissionDecision::Admit, admitted);
}

fn lookup_end(in_time: bool) -> LookupEnd {
    LookupEnd {
        was_in_time: in_time,
        was_congested: !in_time,
    }
}

/// Lookups end late although the estimate of this VM says that they fit, because other VMs load the
/// servers too. The policy must admit less until lookups end in time, and more again afterwards.
#[test]
fn late_lookups_reduce_admission_until_lookups_end_in_time() {
    let mut policy = AdaptiveAdmission::new(100);
    let mut now = Instant::now();
    let half_full = request(Promise::Complete, 30, 60, 5);
    assert_eq!(policy.admit(now, &half_full), AdmissionDecision::Admit);
    for _ in 0..6 {
        policy.on_lookup_end(now, &lookup_end(false));
    }
    assert_ne!(policy.admit(now, &half_full), AdmissionDecision::Admit);
    assert!(policy.is_overloaded(now));
    for _ in 0..200 {
        policy.on_lookup_end(now, &lookup_end(true));
    }
    now += Duration::from_secs(1);
    assert_eq!(policy.admit(now, &half_full), AdmissionDecision::Admit);
    assert!(!policy.is_overloaded(now));
}

/// After a burst of resends the VM admits few lookups a second. If the fill recovered only by lookups that
/// end in time, the VM would reject callers for another minute. Recovery starts half a second after the last
/// rejection and takes one second.
#[test]
fn admission_recovers_after_an_overload() {
    let mut policy = AdaptiveAdmission::new(100);
    let start = Instant::now();
    let half_full = request(Promise::Complete, 30, 60, 5);
    for _ in 0..20 {
        policy.on_lookup_end(start, &lookup_end(false));
    }
    assert_ne!(policy.admit(start, &half_full), AdmissionDecision::Admit);
    let small = request(Promise::Complete, 1, 1, 5);
    let calm = start + Duration::from_millis(500);
    assert_eq!(policy.admit(calm, &small), AdmissionDecision::Admit);
    let later = calm + Duration::from_secs(1);
    assert_eq!(policy.admit(later, &half_full), AdmissionDecision::Admit);
}

#[test]
fn admission_does_not_recover_while_lookups_are_rejected() {
    let mut policy = AdaptiveAdmission::new(100);
    let start = Instant::now();
    let half_full = request(Promise::Complete, 30, 60, 5);
    for _ in 0..20 {
        policy.on_lookup_end(start, &lookup_end(false));
    }
    for step in 0..20 {
        let now = start + Duration::from_millis(400) * step;
        assert_ne!(
            policy.admit(now, &half_full),
            AdmissionDecision::Admit,
            "{step}"
        );
    }
}

/// After an overload the last recorded latencies are high. If they caused every lookup to be rejected, no
/// new sample would show that the servers are fast again.
#[test]
fn a_lookup_is_always_admitted_when_none_is_in_flight() {
    let mut policy = AdaptiveAdmission::new(100);
    let now = Instant::now();
    for _ in 0..1000 {
        policy.on_lookup_end(now, &lookup_end(false));
    }
    let slow = request(Promise::Complete, 900, 900, 0);
    assert_eq!(policy.admit(now, &slow), AdmissionDecision::Admit);
    let second = request(Promise::Complete, 900, 900, 1);
    assert_ne!(policy.admit(now, &second), AdmissionDecision::Admit);
}

#[test]
fn the_baseline_admission_checks_only_its_bound() {
    let mut policy = FixedAdmission::new(2);
    let now = Instant::now();
    let hopeless = request(Promise::Complete, 900, 900, 1);
    assert_eq!(policy.admit(now, &hopeless), AdmissionDecision::Admit);
    let full = request(Promise::Urgent, 0, 0, 2);
    assert_ne!(policy.admit(now, &full), AdmissionDecision::Admit);
}

#[test]
fn extra_attempts_are_a_fraction_of_the_initial_attempts() {
    let now = Instant::now();
    let mut budget = ExtraBudget::new(0.02, 10, 0.0);
    assert!(budget.take_retries(now, 5));
    assert!(!budget.take_retries(now, 1));
    for _ in 0..100 {
        budget.on_initial_attempt();
    }
    assert!(budget.take_retries(now, 2));
    assert!(!budget.take_retries(now, 1));
}

#[test]
fn half_of_the_saved_budget_is_reserved_for_retries() {
    let now = Instant::now();
    let mut budget = ExtraBudget::new(1.0, 10, 0.0);
    for _ in 0..10 {
        budget.on_initial_attempt();
    }
    let hedges = (0..10).filter(|_| budget.take_hedge(now)).count();
    assert_eq!(hedges, 5);
    assert!(budget.take_retries(now, 5));
}

#[test]
fn an_idle_process_still_earns_retries() {
    let now = Instant::now();
    let mut budget = ExtraBudget::new(0.0, 10, 2.0);
    assert!(budget.take_retries(now, 5));
    assert!(!budget.take_retries(now, 1));
    assert!(budget.take_retries(now + Duration::from_secs(1), 2));
}

#[test]
fn the_digest_estimates_the_quantile_of_recent_samples() {
    let mut digest = LatencyDigest::new(0.9);
    for n in 0..10_000_u64 {
        digest.add(Duration::from_micros(1_000 + n % 1_000));
    }
    let p90 = digest.estimate().expect("enough samples").as_micros();
    assert!((1_750..2_100).contains(&p90), "{p90}");
    for _ in 0..100_000 {
        digest.add(Duration::from_micros(100));
    }
    let p90 = digest.estimate().expect("enough samples").as_micros();
    assert!((95..115).contains(&p90), "{p90}");
}

/// A small VM receives few parts of a group. If a hedge delay needed 128 samples, such a VM would not
/// hedge in its first ten seconds and would wait for every straggler.
#[test]
fn a_hedge_delay_is_learned_after_sixteen_parts() {
    let mut hedge = QuantileHedge::new(0.975);
    for _ in 0..15 {
        hedge.record_latency(Distance::SameDataCentre, Duration::from_millis(8));
    }
    assert_eq!(hedge.delay(Distance::SameDataCentre), None);
    hedge.record_latency(Distance::SameDataCentre, Duration::from_millis(8));
    let learned = hedge.delay(Distance::SameDataCentre).expect("a delay");
    assert!(learned >= Duration::from_millis(8) && learned < Duration::from_millis(9));
}
