//! Property test of random sequences of starts, kills, pauses, partitions, platform outages, and
//! lost and delayed writes.
//!
//! The oracle checks two properties. The connections of all existing processes to a server never
//! exceed its limit. Once all faults have ended, all VMs see each other as alive, and nearly all
//! connections are in use.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::world::PlatformMode;
use crate::world::World;

const VMS: u8 = 9;
const LIMITS: [u32; 3] = [25, 40, 100];

/// Returns the configuration with a fixed seed; `GS_FUZZ_CASES` overrides the number of cases.
pub fn config(cases: u32) -> Config {
    let requested = std::env::var("GS_FUZZ_CASES").ok();
    let cases = requested.and_then(|s| s.parse().ok()).unwrap_or(cases);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    }
}

#[derive(Clone, Debug)]
pub enum Op {
    Start(u8),
    Kill(u8),
    Remove(u8),
    Leave(u8),
    Pause(u8, bool),
    Partition(u8, bool),
    DelayLowering(u8, bool),
    FreezeList,
    Platform(PlatformMode),
    ApplyDelayedWrites,
    Advance(u64),
}

pub struct Model;

impl ReferenceStateMachine for Model {
    /// The VMs whose process exists.
    type State = BTreeSet<u8>;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<Self::State> {
        (0..=VMS).prop_map(|n| (0..n).collect()).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Op> {
        let vm = 0..=VMS;
        let mode = prop_oneof![
            3 => Just(PlatformMode::Normal),
            1 => Just(PlatformMode::Unreachable),
            1 => Just(PlatformMode::LosesAnswers),
            1 => Just(PlatformMode::DelaysWrites),
        ];
        prop_oneof![
            4 => vm.clone().prop_map(Op::Start),
            2 => vm.clone().prop_map(Op::Kill),
            2 => vm.clone().prop_map(Op::Remove),
            1 => vm.clone().prop_map(Op::Leave),
            2 => (vm.clone(), any::<bool>()).prop_map(|(i, b)| Op::Pause(i, b)),
            2 => (vm.clone(), any::<bool>()).prop_map(|(i, b)| Op::Partition(i, b)),
            1 => (vm, any::<bool>()).prop_map(|(i, b)| Op::DelayLowering(i, b)),
            1 => Just(Op::FreezeList),
            2 => mode.prop_map(Op::Platform),
            1 => Just(Op::ApplyDelayedWrites),
            8 => (50u64..20_000).prop_map(Op::Advance),
        ]
        .boxed()
    }

    fn preconditions(state: &Self::State, op: &Op) -> bool {
        match op {
            // A VM runs one process at a time.
            Op::Start(i) => !state.contains(i),
            Op::Kill(i)
            | Op::Leave(i)
            | Op::Pause(i, _)
            | Op::Partition(i, _)
            | Op::DelayLowering(i, _) => state.contains(i),
            // The platform only removes VMs whose process has ended.
            Op::Remove(i) => !state.contains(i),
            _ => true,
        }
    }

    fn apply(mut state: Self::State, op: &Op) -> Self::State {
        match op {
            Op::Start(i) => drop(state.insert(*i)),
            Op::Kill(i) => drop(state.remove(i)),
            _ => {}
        }
        state
    }
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = Model;

    fn init_test(vms: &BTreeSet<u8>) -> World {
        let mut w = World::new(&LIMITS);
        vms.iter().for_each(|i| w.start(*i));
        w.run(Duration::from_secs(5));
        w
    }

    fn apply(mut w: World, _: &BTreeSet<u8>, op: Op) -> World {
        match op {
            Op::Start(i) => w.start(i),
            Op::Kill(i) => w.kill(i),
            Op::Remove(i) => w.remove(i),
            Op::Leave(i) => w.leave(i),
            Op::Pause(i, on) => w.processes.get_mut(&i).expect("running").paused = on,
            Op::Partition(i, on) => w.processes.get_mut(&i).expect("running").partitioned = on,
            Op::DelayLowering(i, on) => {
                w.processes.get_mut(&i).expect("running").delays_lowering = on
            }
            Op::FreezeList => w.freeze_list(),
            Op::Platform(mode) => w.platform_mode = mode,
            Op::ApplyDelayedWrites => w.apply_delayed_writes(),
            Op::Advance(ms) => w.run(Duration::from_millis(ms)),
        }
        w.check();
        w
    }

    fn teardown(mut w: World, vms: BTreeSet<u8>) {
        heal(&mut w);
        let live: Vec<_> = w.processes.values().filter(|p| !p.released).collect();
        let n = u32::try_from(live.len()).expect("few");
        assert!(
            live.iter()
                .all(|p| p.m.view().live_vms().count() == live.len())
        );
        assert!(vms.len() >= live.len());
        for s in w.servers.iter().filter(|_| n > 0) {
            // A spare seat stands for half as many connections as a full one, and stays vacant.
            let spare = s.connections.0.div_ceil(2 * n + 1) + 1;
            let sum = w.sum(s);
            assert!(
                sum + spare >= s.connections.0,
                "{}: {sum}, {n} VMs",
                s.server
            );
        }
    }
}

fn heal(w: &mut World) {
    w.platform_mode = PlatformMode::Normal;
    for p in w.processes.values_mut() {
        (p.paused, p.partitioned, p.delays_lowering) = (false, false, false);
    }
    for i in 0..=VMS {
        w.remove(i);
    }
    w.run(Duration::from_secs(60));
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(config(24))]

    #[test]
    fn shares_never_exceed_a_limit_and_add_up_after_recovery(sequential 1..40 => Fleet);
}
