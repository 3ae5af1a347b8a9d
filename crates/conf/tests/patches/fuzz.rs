//! Random sequences of patches and faults, checked against the guarantees of the oracle.
//!
//! `GS_FUZZ_CASES=2000 cargo test -p gs-conf --release --test patches` runs more cases.

use gs_conf::CURRENT_PATH;
use gs_conf::Change;
use gs_conf::Patch;
use gs_conf::history_path;
use gs_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use crate::world::World;

const VMS: usize = 4;

/// An action of an operator, or a fault.
#[derive(Clone, Debug)]
enum Step {
    /// Proposes a new patch of a front on a VM; if `stale`, against the version before the one known there.
    Propose {
        vm: usize,
        front: u8,
        stale: bool,
    },
    /// Sends the patch with this number again, on a VM.
    Resend {
        vm: usize,
        patch: usize,
    },
    /// Advances the time by this many milliseconds.
    Run(u64),
    /// Starts or stops the loss, duplication and delay of messages between VMs.
    Loss(bool),
    /// Makes the platform unreachable or reachable.
    Down(bool),
    /// Loses the replies to this many writes.
    Lose(u32),
    /// Starts or ends a stall of writes.
    Stall(bool),
    /// Delays the platform's replies, or stops delaying them.
    Slow(bool),
    CutFromPlatform(usize, bool),
    CutFromPeers(usize, bool),
    /// Partitions a data centre of two VMs from the others and from the platform, or heals it.
    Split(usize, bool),
    Kill(usize),
    Restart(usize),
    Pause(usize, bool),
    /// Removes a VM from the platform's list.
    Delist(usize),
}

fn step() -> BoxedStrategy<Step> {
    let vm = 0..VMS;
    prop_oneof![
        6 => (vm.clone(), 0..2_u8, prop::bool::weighted(0.1))
            .prop_map(|(vm, front, stale)| Step::Propose { vm, front, stale }),
        3 => (vm.clone(), 0..50_usize).prop_map(|(vm, patch)| Step::Resend { vm, patch }),
        9 => (1..40_u64).prop_map(Step::Run),
        6 => (40..2_500_u64).prop_map(Step::Run),
        1 => any::<bool>().prop_map(Step::Loss),
        2 => any::<bool>().prop_map(Step::Down),
        2 => (1..3_u32).prop_map(Step::Lose),
        1 => any::<bool>().prop_map(Step::Stall),
        1 => any::<bool>().prop_map(Step::Slow),
        2 => (vm.clone(), any::<bool>()).prop_map(|(v, on)| Step::CutFromPlatform(v, on)),
        2 => (vm.clone(), any::<bool>()).prop_map(|(v, on)| Step::CutFromPeers(v, on)),
        3 => (vm.clone(), any::<bool>()).prop_map(|(v, on)| Step::Split(v, on)),
        1 => vm.clone().prop_map(Step::Kill),
        2 => vm.clone().prop_map(Step::Restart),
        2 => (vm.clone(), any::<bool>()).prop_map(|(v, on)| Step::Pause(v, on)),
        1 => vm.prop_map(Step::Delist),
    ]
    .boxed()
}

struct FaultModel;

impl ReferenceStateMachine for FaultModel {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        (0..u64::MAX).boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        step()
    }

    fn apply(seed: u64, _: &Step) -> u64 {
        seed
    }
}

struct Patches;

struct Sut {
    world: World,
    proposed: Vec<Patch>,
}

impl Sut {
    fn propose(&mut self, vm: usize, front: u8, stale: bool) {
        let known = self.world.vms[vm].manager.as_ref().and_then(|m| m.config());
        let known = known.map_or(1, |c| c.version.0);
        let against = ConfVersion(known.saturating_sub(u64::from(stale)));
        let front = Front {
            name: format!("front-{front}").parse().expect("a name"),
            lookups: Vec::new(),
        };
        let patch = Patch {
            id: format!("patch-{}", self.proposed.len())
                .parse()
                .expect("a name"),
            against,
            changes: vec![Change::PutFront(front)],
        };
        self.proposed.push(patch.clone());
        self.world.propose(vm, patch);
    }

    fn perform(&mut self, step: Step) {
        let w = &mut self.world;
        match step {
            Step::Propose { vm, front, stale } => self.propose(vm, front, stale),
            Step::Resend { vm, patch } => {
                if let Some(p) = self.proposed.get(patch % self.proposed.len().max(1)) {
                    w.propose(vm, p.clone());
                }
            }
            Step::Run(ms) => w.run(ms),
            Step::Loss(on) => w.loss = if on { 0.3 } else { 0.0 },
            Step::Down(on) => w.platform.down = on,
            Step::Lose(n) => w.platform.lost_replies = n,
            Step::Stall(true) => w.platform.stall = true,
            Step::Stall(false) => w.unstall(),
            Step::Slow(on) => w.platform.extra_delay_ms = if on { 900 } else { 0 },
            Step::CutFromPlatform(vm, on) => w.vms[vm].cut_from_platform = on,
            Step::CutFromPeers(vm, on) => w.vms[vm].cut_from_peers = on,
            Step::Split(vm, on) => {
                for vm in [vm, (vm + 1) % VMS] {
                    w.vms[vm].cut_from_platform = on;
                    w.vms[vm].cut_from_peers = on;
                }
            }
            Step::Kill(vm) => w.kill(vm),
            Step::Restart(vm) => w.restart(vm),
            Step::Pause(vm, on) => w.pause(vm, on),
            Step::Delist(vm) => {
                if w.vms[vm].manager.is_none() {
                    w.delist(vm);
                }
            }
        }
    }
}

impl StateMachineTest for Patches {
    type SystemUnderTest = Sut;
    type Reference = FaultModel;

    fn init_test(seed: &u64) -> Sut {
        Sut {
            world: World::start(VMS, *seed),
            proposed: Vec::new(),
        }
    }

    fn apply(mut sut: Sut, _: &u64, step: Step) -> Sut {
        sut.perform(step);
        sut
    }

    /// Checks that after the faults every VM has the newest record, no patch is undecided, and the
    /// history contains every replaced version.
    fn teardown(mut sut: Sut, _: u64) {
        let w = &mut sut.world;
        w.heal();
        w.run(30_000);
        assert_eq!(w.oracle.unanswered(&w.vms), Vec::new());
        let object = w.platform.get(CURRENT_PATH).expect("there").0;
        let record = w.platform.record();
        assert_eq!(record.pending, None, "a patch is left undecided");
        for vm in &w.vms {
            let manager = vm.manager.as_ref().expect("healed");
            assert!(manager.is_ready());
            assert_eq!(manager.summary().object, object, "not the newest");
            assert_eq!(manager.in_doubt_targets(w.now), &[], "still in doubt");
        }
        for v in 1..record.version.0 {
            let (_, old) = w.platform.get(&history_path(ConfVersion(v))).expect("kept");
            let old: Config = serde_json::from_str(old).expect("a configuration");
            assert_eq!(old.version.0, v);
        }
    }
}

fn config() -> ProptestConfig {
    let cases = std::env::var("GS_FUZZ_CASES").ok();
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        cases: cases.and_then(|c| c.parse().ok()).unwrap_or(60),
        max_shrink_iters: 3_000,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn patches_keep_their_guarantees(sequential 1..60 => Patches);
}
