//! Any order of starts, kills, pauses, cuts, outages, lost and late writes.
//!
//! The oracle knows two promises: no server ever sees more connections than its limit, counting
//! every process that exists; and once all is well everybody sees everybody, and nearly all
//! connections are in use.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::world::Mood;
use crate::world::World;

const VMS: u8 = 9;
const LIMITS: [u32; 3] = [25, 40, 100];

/// A fixed seed; `GS_FUZZ_CASES` makes a run longer.
pub fn config(cases: u32) -> Config {
    let asked = std::env::var("GS_FUZZ_CASES").ok();
    let cases = asked.and_then(|s| s.parse().ok()).unwrap_or(cases);
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
    Cut(u8, bool),
    Slow(u8, bool),
    FreezeList,
    Platform(Mood),
    LandLate,
    Run(u64),
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
        let mood = prop_oneof![
            3 => Just(Mood::Well),
            1 => Just(Mood::Away),
            1 => Just(Mood::LosesAnswers),
            1 => Just(Mood::Late),
        ];
        prop_oneof![
            4 => vm.clone().prop_map(Op::Start),
            2 => vm.clone().prop_map(Op::Kill),
            2 => vm.clone().prop_map(Op::Remove),
            1 => vm.clone().prop_map(Op::Leave),
            2 => (vm.clone(), any::<bool>()).prop_map(|(i, b)| Op::Pause(i, b)),
            2 => (vm.clone(), any::<bool>()).prop_map(|(i, b)| Op::Cut(i, b)),
            1 => (vm, any::<bool>()).prop_map(|(i, b)| Op::Slow(i, b)),
            1 => Just(Op::FreezeList),
            2 => mood.prop_map(Op::Platform),
            1 => Just(Op::LandLate),
            8 => (50u64..20_000).prop_map(Op::Run),
        ]
        .boxed()
    }

    fn preconditions(state: &Self::State, op: &Op) -> bool {
        match op {
            // A VM runs one process; the next starts when the last is dead.
            Op::Start(i) => !state.contains(i),
            Op::Kill(i) | Op::Leave(i) | Op::Pause(i, _) | Op::Cut(i, _) | Op::Slow(i, _) => {
                state.contains(i)
            }
            // The platform removes only what no longer runs.
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
            Op::Cut(i, on) => w.processes.get_mut(&i).expect("running").cut = on,
            Op::Slow(i, on) => w.processes.get_mut(&i).expect("running").slow = on,
            Op::FreezeList => w.freeze_list(),
            Op::Platform(mood) => w.mood = mood,
            Op::LandLate => w.land_late(),
            Op::Run(ms) => w.run(Duration::from_millis(ms)),
        }
        w.check();
        w
    }

    fn teardown(mut w: World, vms: BTreeSet<u8>) {
        heal(&mut w);
        let live: Vec<_> = w.processes.values().filter(|p| !p.left).collect();
        let n = u32::try_from(live.len()).expect("few");
        assert!(live.iter().all(|p| p.m.view().live().count() == live.len()));
        assert!(vms.len() >= live.len());
        for s in w.servers.iter().filter(|_| n > 0) {
            // A spare seat stands for half a full one and stays empty.
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
    w.mood = Mood::Well;
    for p in w.processes.values_mut() {
        (p.paused, p.cut, p.slow) = (false, false, false);
    }
    for i in 0..=VMS {
        w.remove(i);
    }
    w.run(Duration::from_secs(60));
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(config(24))]

    #[test]
    fn shares_never_pass_a_limit_and_add_up_after_healing(sequential 1..40 => Fleet);
}
