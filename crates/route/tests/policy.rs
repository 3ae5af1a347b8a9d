//! Tests of the choice among replicas.

use gs_route::Candidate;
use gs_route::ObservedLatency;
use gs_route::ReplicaPolicy;
use gs_route::RoundRobin;
use gs_route::Servers;
use gs_types::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::sync::Arc;

fn candidates(views: &[(bool, f64, u32, u32, f64)]) -> Vec<Candidate> {
    let mut servers = Servers::new("near".parse().expect("a name"), Default::default())
        .expect("a valid state machine definition");
    let mut found = Vec::new();
    for (n, (local, latency, in_flight, load, slow_start_progress)) in views.iter().enumerate() {
        let decl = ServerDecl {
            name: format!("s-{n}").parse().expect("a name"),
            service: "shard".parse().expect("a name"),
            addr: "127.0.0.1:1".parse().expect("an address"),
            data_centre: "near".parse().expect("a name"),
            slots: Slots(2),
            connections: Connections(25),
        };
        found.push(Candidate {
            server: servers.declare(&Arc::new(decl)),
            is_local: *local,
            in_flight: *in_flight,
            slots: 2,
            latency: Some(*latency),
            load: *load,
            slow_start_progress: *slow_start_progress,
        });
    }
    found
}

fn chosen(views: &[(bool, f64, u32, u32, f64)]) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    ObservedLatency.choose(0, &candidates(views), &mut rng)
}

#[rstest]
#[case::faster([(true, 9e3, 0, 0, 1.0), (true, 2e3, 0, 0, 1.0)], 1)]
#[case::less_in_flight([(true, 2e3, 4, 0, 1.0), (true, 2e3, 0, 0, 1.0)], 1)]
#[case::less_reported_load([(true, 2e3, 0, 4, 1.0), (true, 2e3, 0, 0, 1.0)], 1)]
#[case::further_in_slow_start([(true, 2e3, 0, 0, 0.1), (true, 2e3, 0, 0, 1.0)], 1)]
#[case::same_data_centre_before_slightly_faster_other([(true, 2.2e3, 0, 0, 1.0), (false, 2e3, 0, 0, 1.0)], 0)]
#[case::much_faster_in_another_data_centre([(true, 20e3, 0, 0, 1.0), (false, 5e3, 0, 0, 1.0)], 1)]
#[case::a_misleading_load_has_little_weight([(true, 2e3, 0, 9999, 1.0), (true, 4e3, 0, 0, 1.0)], 0)]
fn the_observed_latency_policy_prefers(
    #[case] views: [(bool, f64, u32, u32, f64); 2],
    #[case] expected: usize,
) {
    assert_eq!(chosen(&views), expected);
}

#[test]
fn all_of_many_equal_replicas_get_work() {
    let c = candidates(&[(true, 2e3, 0, 0, 1.0); 5]);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut taken = [0; 5];
    for _ in 0..500 {
        taken[ObservedLatency.choose(0, &c, &mut rng)] += 1;
    }
    assert!(taken.iter().all(|n| *n > 20), "{taken:?}");
}

#[test]
fn round_robin_takes_turns_for_each_shard() {
    let c = candidates(&[(true, 2e3, 0, 0, 1.0); 3]);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut policy = RoundRobin::default();
    let mut turns = |shard| {
        (0..3)
            .map(|_| policy.choose(shard, &c, &mut rng))
            .collect::<Vec<_>>()
    };
    assert_eq!(turns(0), [1, 2, 0]);
    assert_eq!(turns(1), [1, 2, 0]);
}
