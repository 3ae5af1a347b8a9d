//! Stateful fuzzing: events in any order, against oracles that know only the promises.
//!
//! `GS_FUZZ_CASES` sets the number of cases for a longer run; the seed is fixed.

mod answers;
mod drains;
mod driver;
mod outcomes;
mod step;

use std::marker::PhantomData;

use gs_query::Action;
use gs_query::Event;
use proptest::strategy::BoxedStrategy;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use answers::Answers;
use drains::Drains;
use driver::Driver;
use outcomes::Outcomes;
use step::Step;
use step::Weights;

/// Cases run when `GS_FUZZ_CASES` does not say.
const CASES: u32 = 48;

fn fuzz_config() -> Config {
    let cases = std::env::var("GS_FUZZ_CASES").ok();
    Config {
        cases: cases.and_then(|n| n.parse().ok()).unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Watches what goes into the engine and what comes out, and panics at a broken promise.
pub trait Oracle: Default {
    /// How often each step is taken.
    fn weights() -> Weights;

    /// An event is about to go in, at so many microseconds since the start.
    fn before(&mut self, at: u64, event: &Event);

    /// An action came out.
    fn after(&mut self, at: u64, action: &Action);

    /// Everything has ended.
    fn end(&mut self, driver: &driver::Driver);
}

/// The reference knows nothing: steps are chosen blindly, and the oracles judge what happens.
struct Blind<O>(PhantomData<O>);

impl<O: Oracle + std::fmt::Debug + Clone + 'static> ReferenceStateMachine for Blind<O> {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        step::weighted(O::weights())
    }

    fn apply((): (), _: &Step) {}
}

/// Runs the engine under an oracle.
struct Fuzz<O>(PhantomData<O>);

impl<O: Oracle + std::fmt::Debug + Clone + 'static> StateMachineTest for Fuzz<O> {
    type SystemUnderTest = (Driver, O);
    type Reference = Blind<O>;

    fn init_test((): &()) -> (Driver, O) {
        let mut oracle = O::default();
        let driver = Driver::new(&mut oracle);
        (driver, oracle)
    }

    fn apply((mut driver, mut oracle): (Driver, O), (): &(), step: Step) -> (Driver, O) {
        driver.step(step, &mut oracle);
        (driver, oracle)
    }

    fn teardown((mut driver, mut oracle): (Driver, O), (): ()) {
        driver.run_out(&mut oracle);
        oracle.end(&driver);
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    /// Every page is the merge of exactly the shards it claims, from one snapshot, for its caller.
    #[test]
    fn answers_are_true(sequential 1..120 => Fuzz<Answers>);

    /// No attempt goes to a run of a server after a sign of its drain.
    #[test]
    fn drained_servers_get_no_work(sequential 1..120 => Fuzz<Drains>);

    /// Every lookup has one outcome by its deadline, and what it says of having run is true.
    #[test]
    fn outcomes_are_true(sequential 1..120 => Fuzz<Outcomes>);
}
