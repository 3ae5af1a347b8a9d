//! Scripts written by hand.

use gs_query::Event;
use gs_trace::Script;
use rstest::rstest;

use crate::common::HEAD;
use crate::common::events;

#[test]
fn events_are_sorted_by_time() {
    let events = events(
        r#"
        [[step]]
        at = "2ms"
        gone = 1
        [[step]]
        at = "1ms"
        tick = { every = "2ms", until = "4ms" }
        [[step]]
        at = "1ms"
        leave = {}
        "#,
    );
    let found: Vec<_> = events.iter().map(|(at, e)| (at.as_millis(), e)).collect();
    let gone = Event::Gone(gs_types::ids::LookupSeq(1));
    assert_eq!(
        found,
        [
            (1, &Event::Tick),
            (1, &Event::Leave),
            (2, &gone),
            (3, &Event::Tick)
        ]
    );
}

/// Prevents the signs by which the end of a server is seen from being left out of scripts.
#[test]
fn servers_accept_and_refuse_connections() {
    let events = events(
        r#"
        [[step]]
        at = "1ms"
        accepted = ["a0"]
        [[step]]
        at = "2ms"
        refused = ["a0", "a1"]
        "#,
    );
    let found: Vec<_> = events.into_iter().map(|(_, e)| e).collect();
    let server = |s: &str| s.parse().expect("a name");
    let expected = [
        Event::Accepted(server("a0"), std::time::Duration::ZERO),
        Event::Refused(server("a0")),
        Event::Refused(server("a1")),
    ];
    assert_eq!(found, expected);
}

#[test]
fn a_shutdown_may_name_the_time_of_the_last_outcome() {
    let events = events("[[step]]\nat = \"1ms\"\nleave = { within = \"250ms\" }\n");
    let within = std::time::Duration::from_millis(250);
    assert_eq!(events[0].1, Event::ShutDown(within));
}

#[rstest]
#[case::no_event(
    "at = \"0s\"",
    "the step names 0 events, not one (step: script step 2)"
)]
#[case::two_events(
    "at = \"0s\"\ngone = 1\nleave = {}",
    "the step names 2 events, not one (step: script step 2)"
)]
#[case::bad_attempt(
    "at = \"0s\"\nsent = [\"1/0\"]",
    "`hobart-1/1/1/0` is not an attempt id (step: script step 2)"
)]
#[case::too_many_ticks(
    "at = \"0s\"\ntick = { every = \"1ns\", until = \"1h\" }",
    "`tick` produces too many events (step: script step 2)"
)]
#[case::zero_interval(
    "at = \"0s\"\ntick = { every = \"0s\", until = \"1h\" }",
    "`tick` produces too many events (step: script step 2)"
)]
fn an_invalid_step_is_refused(#[case] step: &str, #[case] expected: &str) {
    let script = Script::parse(&format!("{HEAD}\n[[step]]\n{step}\n")).expect("a script");
    let e = script.events().expect_err("an error");
    assert_eq!(e.to_string(), expected);
}

#[rstest]
#[case::unknown_event("at = \"0s\"\nstop = {}", 38, "unknown field `stop`")]
#[case::no_time("gone = 1", 36, "missing field `at`")]
#[case::no_unit("at = \"1\"\ngone = 1", 37, "expected a duration")]
#[case::unknown_end(
    "at = \"0s\"\nreply = { to = [\"1/0/0\"], ends = \"well\" }",
    38,
    "unknown variant `well`"
)]
fn a_malformed_script_is_refused_with_its_line(
    #[case] step: &str,
    #[case] line: u32,
    #[case] expected: &str,
) {
    let e = Script::parse(&format!("{HEAD}\n[[step]]\n{step}\n")).expect_err("an error");
    assert!(e.to_string().contains(expected), "{e}");
    assert!(e.to_string().contains(&format!("line {line},")), "{e}");
}
