//! Any order of asks and resends through any VM, kills, pauses, cuts, wrong clocks, outages, lost
//! and late writes, lost and doubled messages.
//!
//! The oracle stands in `world.rs` and knows four promises: a key is granted once at most, ever;
//! what is refused is never claimed by that ask, not even later; what is called expired is never
//! granted; and once all is well every ask has its one verdict and a new key is granted.

use std::time::Duration;

use gs_query::ClaimDecision;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::world::Mood;
use crate::world::Net;
use crate::world::World;

const VMS: u8 = 3;

/// A fixed seed; `GS_FUZZ_CASES` makes a run longer.
pub fn config(cases: u32) -> Config {
    let asked = std::env::var("GS_FUZZ_CASES").ok();
    let cases = asked.and_then(|s| s.parse().ok()).unwrap_or(cases);
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
    /// Ask through a VM for a key minted so many seconds ago.
    Ask(u8, i64, u8),
    /// Ask again for a key asked before, by its place.
    Again(u8, usize),
    Restart(u8),
    Pause(u8, bool),
    Cut(u8, bool),
    Clock(u8, i64),
    Platform(Mood),
    Network(Net),
    LandLate,
    Run(u64),
    Idle(u64),
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
        let mood = prop_oneof![
            3 => Just(Mood::Well),
            1 => Just(Mood::Away),
            1 => Just(Mood::LosesAnswers),
            1 => Just(Mood::Late),
            1 => Just(Mood::LateAndBlind),
        ];
        let net = prop_oneof![
            2 => Just(Net::Well),
            1 => Just(Net::Lossy),
            1 => Just(Net::Doubling),
            1 => Just(Net::Dead),
        ];
        let age = prop_oneof![3 => 0i64..10, 1 => -20i64..0, 1 => 90i64..260];
        prop_oneof![
            8 => (vm.clone(), age, 0u8..6).prop_map(|(i, age, n)| Op::Ask(i, age, n)),
            8 => (vm.clone(), 0usize..100).prop_map(|(i, n)| Op::Again(i, n)),
            1 => vm.clone().prop_map(Op::Restart),
            2 => (vm.clone(), any::<bool>()).prop_map(|(i, b)| Op::Pause(i, b)),
            1 => (vm.clone(), any::<bool>()).prop_map(|(i, b)| Op::Cut(i, b)),
            1 => (vm.clone(), -25i64..25).prop_map(|(i, s)| Op::Clock(i, s)),
            1 => (vm, -400i64..-100).prop_map(|(i, s)| Op::Clock(i, s)),
            3 => mood.prop_map(Op::Platform),
            2 => net.prop_map(Op::Network),
            2 => Just(Op::LandLate),
            6 => (5u64..400).prop_map(Op::Run),
            2 => (1u64..150).prop_map(Op::Idle),
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
            Op::Ask(i, age, n) => {
                let key = w.key(age, &n.to_string());
                w.ask(i, &key);
                s.keys.push(key);
            }
            Op::Again(i, n) => {
                if let Some(key) = s.keys.get(n % s.keys.len().max(1)) {
                    w.ask(i, key);
                }
            }
            Op::Restart(i) => w.start(i),
            Op::Pause(i, on) => w.processes.get_mut(&i).expect("running").paused = on,
            Op::Cut(i, on) => w.processes.get_mut(&i).expect("running").cut = on,
            Op::Clock(i, s) => w.set_clock(i, s),
            Op::Platform(mood) => w.mood = mood,
            Op::Network(net) => w.net = net,
            Op::LandLate => w.land_late(),
            Op::Run(ms) => w.run(Duration::from_millis(ms)),
            Op::Idle(s) => w.idle(Duration::from_secs(s)),
        }
        s
    }

    fn teardown(mut s: Self, (): ()) {
        let w = &mut s.w;
        w.mood = Mood::Well;
        w.net = Net::Well;
        for p in w.processes.values_mut() {
            (p.paused, p.cut, p.ahead) = (false, false, 0);
        }
        w.run(Duration::from_secs(2));
        w.land_late();
        assert_eq!(w.unanswered(), 0);
        // Every VM is lost; what was claimed stays claimed.
        w.processes.clear();
        (0..VMS).for_each(|i| w.start(i));
        for (n, key) in s.keys.iter().enumerate() {
            w.ask((n % 3) as u8, key);
        }
        w.run(Duration::from_secs(2));
        let fresh = w.key(0, "fresh");
        w.ask(0, &fresh);
        w.run(Duration::from_secs(2));
        assert_eq!(w.unanswered(), 0);
        assert_eq!(w.verdicts.last(), Some(&(fresh, ClaimDecision::Granted)));
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(config(64))]

    #[test]
    fn a_key_runs_at_most_once_and_refusals_are_true(sequential 1..60 => Fleet);
}
