//! Stateful fuzzing: events in any order, checked by oracles that know only the engine's
//! guarantees.
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

/// The number of cases if `GS_FUZZ_CASES` is not set.
const DEFAULT_CASES: u32 = 48;

fn fuzz_config() -> Config {
    let cases = std::env::var("GS_FUZZ_CASES").ok();
    Config {
        cases: cases.and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Observes the engine's events and actions, and panics at a violated guarantee.
pub trait Oracle: Default {
    /// Returns the frequency of each step.
    fn weights() -> Weights;

    /// Observes an event before it is processed, `at` microseconds since the start.
    fn before(&mut self, at: u64, event: &Event);

    /// Observes an action.
    fn after(&mut self, at: u64, action: &Action);

    /// Checks the totals after every lookup has ended.
    fn end(&mut self, driver: &driver::Driver);
}

/// A reference without state: steps are chosen at random, and the oracles check the results.
struct Stateless<O>(PhantomData<O>);

impl<O: Oracle + std::fmt::Debug + Clone + 'static> ReferenceStateMachine for Stateless<O> {
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

/// Runs the engine with an oracle.
struct Fuzz<O>(PhantomData<O>);

impl<O: Oracle + std::fmt::Debug + Clone + 'static> StateMachineTest for Fuzz<O> {
    type SystemUnderTest = (Driver, O);
    type Reference = Stateless<O>;

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
        driver.finish_all(&mut oracle);
        oracle.end(&driver);
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    /// Every page is the merge of exactly the shards in its coverage, from one snapshot, for its
    /// caller.
    #[test]
    fn answers_match_their_coverage(sequential 1..120 => Fuzz<Answers>);

    /// No attempt is sent to an incarnation of a server after a notice of its drain.
    #[test]
    fn draining_servers_get_no_work(sequential 1..120 => Fuzz<Drains>);

    /// Every lookup has one outcome by its deadline, which is correct about whether it was
    /// executed.
    #[test]
    fn outcomes_are_correct(sequential 1..120 => Fuzz<Outcomes>);
}
