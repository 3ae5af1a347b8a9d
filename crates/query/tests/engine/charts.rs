//! Tests of the state machine definition of an attempt.

use gs_query::AttemptEvent;
use gs_query::AttemptState;
use gs_query::attempt_chart;
use strum::IntoEnumIterator;

/// Parsing checks that every state is reachable and handles every event.
#[test]
fn the_attempt_state_machine_is_complete() {
    let chart = attempt_chart().expect("a whole chart");
    assert_eq!(chart.initial(), AttemptState::Handed);
}

#[test]
fn no_event_returns_a_sent_attempt_to_an_earlier_state() {
    let chart = attempt_chart().expect("a whole chart");
    for event in AttemptEvent::iter() {
        assert_ne!(
            chart.next(AttemptState::Sent, event),
            Some(AttemptState::Handed)
        );
    }
    let not_sent = chart.next(AttemptState::Sent, AttemptEvent::NotSent);
    assert_eq!(not_sent, Some(AttemptState::Failed));
}
