//! A replay feeds the recorded events to the machine, and ends with an error where it cannot.

use std::time::Duration;
use std::time::Instant;

use gs_query::Action;
use gs_query::Event;
use gs_trace::Record;
use gs_trace::Replay;
use gs_types::prelude::*;

use crate::common::ScriptedMachine;

fn at(ms: u64) -> Result<Record> {
    Ok(Record::Event {
        at: Duration::from_millis(ms),
        event: Event::Tick,
    })
}

#[test]
fn each_event_reaches_the_machine_with_its_time() {
    let wake = Action::Wake(Duration::from_millis(3));
    let machine = ScriptedMachine([vec![wake.clone()], vec![]].into());
    let steps: Vec<_> = Replay::new([at(1), at(2)].into_iter(), machine, Instant::now())
        .collect::<Result<_>>()
        .expect("steps");
    let found: Vec<_> = steps.iter().map(|s| (s.number, s.at.as_millis())).collect();
    assert_eq!(found, [(1, 1), (2, 2)]);
    assert_eq!(steps[0].actions, [wake]);
}

#[test]
fn a_gap_ends_the_replay() {
    let records = [at(1), Ok(Record::Gap { lost: 9 }), at(2)];
    let mut replay = Replay::new(
        records.into_iter(),
        ScriptedMachine::default(),
        Instant::now(),
    );
    assert!(replay.next().expect("a step").is_ok());
    let e = replay.next().expect("an error").expect_err("refused");
    assert_eq!(
        e.to_string(),
        "step 2: the recorder lost 9 events here (step: replay)"
    );
    assert!(replay.next().is_none());
}

#[test]
fn time_that_runs_backwards_ends_the_replay() {
    let mut replay = Replay::new(
        [at(2), at(1)].into_iter(),
        ScriptedMachine::default(),
        Instant::now(),
    );
    assert!(replay.next().expect("a step").is_ok());
    let e = replay.next().expect("an error").expect_err("refused");
    assert_eq!(
        e.to_string(),
        "step 2: its time, 1ms, is before the last step's (step: replay)"
    );
}
