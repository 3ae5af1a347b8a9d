//! Test support: a header, the head of a script and a machine with given actions.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use gs_query::Action;
use gs_query::EngineOptions;
use gs_query::Event;
use gs_trace::Checker;
use gs_trace::Divergence;
use gs_trace::Expectations;
use gs_trace::Header;
use gs_trace::Machine;
use gs_trace::Script;
use gs_trace::Step;
use gs_types::prelude::*;

pub fn header() -> Header {
    Header {
        vm: "hobart-1".parse().expect("a name"),
        incarnation: Incarnation(1),
        data_centre: "hobart-a".parse().expect("a name"),
        seed: 7,
        options: EngineOptions::default(),
    }
}

/// The start of a script: the lookups `quote` (urgent), `audit` (complete) and `levy` (at most
/// once), and two shards.
pub const HEAD: &str = r#"
story = "A story."
vm = "hobart-1"
data-centre = "hobart-a"
seed = 7
front = "desk"

[[lookup]]
name = "quote"
group = "g"
scope = "scatter"
promise = "urgent"
deadline = "100ms"
page = 10

[[lookup]]
name = "audit"
group = "g"
scope = "scatter"
promise = "complete"
deadline = "100ms"
page = 10

[[lookup]]
name = "levy"
group = "g"
scope = "keyed"
promise = "at-most-once"
deadline = "100ms"
page = 10

[[step]]
at = "0s"
map = { group = "g", revision = 1, snapshots = { 7 = [["a0", "a1"], ["b0", "b1"]] } }
"#;

/// Returns a script's events after its configuration and map.
pub fn events(steps: &str) -> Vec<(Duration, Event)> {
    let script = Script::parse(&format!("{HEAD}{steps}")).expect("a script");
    script.events().expect("events").split_off(2)
}

/// A machine that performs at each event the actions listed for it.
#[derive(Default)]
pub struct ScriptedMachine(pub VecDeque<Vec<Action>>);

impl Machine for ScriptedMachine {
    fn on(&mut self, _: Instant, _: Event, out: &mut Vec<Action>) {
        out.extend(self.0.pop_front().unwrap_or_default());
    }
}

/// Checks a script's steps, each with the actions listed for it, and the expected outcomes.
pub fn check(expected: &str, steps: &str, actions: Vec<Vec<Action>>) -> Result<(), Divergence> {
    let script = Script::parse(&format!("{HEAD}{steps}")).expect("a script");
    let events = script.events().expect("events");
    let mut checker = Checker::new(Expectations::parse(expected).expect("outcomes"));
    // The configuration and the map are the first two events.
    let mut actions = [vec![], vec![]].into_iter().chain(actions);
    for (number, (at, event)) in (1..).zip(events) {
        checker.on(&Step {
            number,
            at,
            event,
            actions: actions.next().unwrap_or_default(),
            recorded_digest: None,
        })?;
    }
    checker.end()
}
