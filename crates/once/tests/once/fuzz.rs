//! Property test of random sequences of requests and resends through any VM, restarts, pauses,
//! partitions, wrong clocks, platform outages, lost and delayed writes, and lost and duplicated
//! messages.
//!
//! The oracle in `world.rs` checks four properties. A key is granted at most once. A refused
//! request never claims its key, not even later. A key that was reported as expired is never
//! granted. Once all faults have ended, every request has exactly one decision, and a new key is
//! granted.

use std::time::Duration;

use gs_query::ClaimDecision;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::world::NetworkMode;
use crate::world::PlatformMode;
use crate::world::World;

const VMS: u8 = 3;

/// Returns the configuration with a fixed seed; `GS_FUZZ_CASES` overrides the number of cases.
pub fn config(cases: u32) -> Config {
    let requested = std::env::var("GS_FUZZ_CASES").ok();
    let cases = requested.and_then(|s| s.parse().ok()).unwrap_or(cases);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    }
}

#[derive(Clone, Debug)]
pub enum Op {
    /// Request a claim through a VM, for a key minted the given number of seconds ago.
    Request(u8, i64, u8),
    /// Request a claim again for a previous key, given by its index.
    Resend(u8, usize),
    Restart(u8),
    Pause(u8, bool),
    Partition(u8, bool),
    Clock(u8, i64),
    Platform(PlatformMode),
    Network(NetworkMode),
    ApplyDelayedWrites,
    Advance(u64),
    Skip(u64),
}

pub struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        let vm = 0..VMS;
        let mode = prop_oneof![
            3 => Just(PlatformMode::Normal),
            1 => Just(PlatformMode::Unreachable),
            1 => Just(PlatformMode::LosesAnswers),
            1 => Just(PlatformMode::DelaysWrites),
            1 => Just(PlatformMode::DelaysWritesAndFailsReads),
        ];
        let network_mode = prop_oneof![
            2 => Just(NetworkMode::Normal),
            1 => Just(NetworkMode::Lossy),
            1 => Just(NetworkMode::Duplicating),
            1 => Just(NetworkMode::Down),
        ];
        let age = prop_oneof![3 => 0i64..10, 1 => -20i64..0, 1 => 90i64..260];
        prop_oneof![
            8 => (vm.clone(), age, 0u8..6).prop_map(|(i, age, n)| Op::Request(i, age, n)),
            8 => (vm.clone(), 0usize..100).prop_map(|(i, n)| Op::Resend(i, n)),
            1 => vm.clone().prop_map(Op::Restart),
            2 => (vm.clone(), any::<bool>()).prop_map(|(i, b)| Op::Pause(i, b)),
            1 => (vm.clone(), any::<bool>()).prop_map(|(i, b)| Op::Partition(i, b)),
            1 => (vm.clone(), -25i64..25).prop_map(|(i, s)| Op::Clock(i, s)),
            1 => (vm, -400i64..-100).prop_map(|(i, s)| Op::Clock(i, s)),
            3 => mode.prop_map(Op::Platform),
            2 => network_mode.prop_map(Op::Network),
            2 => Just(Op::ApplyDelayedWrites),
            6 => (5u64..400).prop_map(Op::Advance),
            2 => (1u64..150).prop_map(Op::Skip),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}

pub struct Fleet {
    w: World,
    keys: Vec<String>,
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test((): &()) -> Self {
        Self {
            w: World::new(VMS),
            keys: Vec::new(),
        }
    }

    fn apply(mut s: Self, (): &(), op: Op) -> Self {
        let w = &mut s.w;
        match op {
            Op::Request(i, age, n) => {
                let key = w.key(age, &n.to_string());
                w.request(i, &key);
                s.keys.push(key);
            }
            Op::Resend(i, n) => {
                if let Some(key) = s.keys.get(n % s.keys.len().max(1)) {
                    w.request(i, key);
                }
            }
            Op::Restart(i) => w.start(i),
            Op::Pause(i, on) => w.processes.get_mut(&i).expect("running").paused = on,
            Op::Partition(i, on) => w.processes.get_mut(&i).expect("running").partitioned = on,
            Op::Clock(i, s) => w.set_clock(i, s),
            Op::Platform(mode) => w.platform_mode = mode,
            Op::Network(network_mode) => w.network_mode = network_mode,
            Op::ApplyDelayedWrites => w.apply_delayed_writes(),
            Op::Advance(ms) => w.run(Duration::from_millis(ms)),
            Op::Skip(s) => w.skip(Duration::from_secs(s)),
        }
        s
    }

    fn teardown(mut s: Self, (): ()) {
        let w = &mut s.w;
        w.platform_mode = PlatformMode::Normal;
        w.network_mode = NetworkMode::Normal;
        for p in w.processes.values_mut() {
            (p.paused, p.partitioned, p.clock_ahead) = (false, false, 0);
        }
        w.run(Duration::from_secs(2));
        w.apply_delayed_writes();
        assert_eq!(w.unanswered(), 0);
        // All VMs are lost; keys that were claimed stay claimed.
        w.processes.clear();
        (0..VMS).for_each(|i| w.start(i));
        for (n, key) in s.keys.iter().enumerate() {
            w.request((n % 3) as u8, key);
        }
        w.run(Duration::from_secs(2));
        let fresh = w.key(0, "fresh");
        w.request(0, &fresh);
        w.run(Duration::from_secs(2));
        assert_eq!(w.unanswered(), 0);
        assert_eq!(w.decisions.last(), Some(&(fresh, ClaimDecision::Granted)));
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(config(64))]

    #[test]
    fn a_key_runs_at_most_once_and_refusals_are_correct(sequential 1..60 => Fleet);
}
