//! Tests of the state machine definition of a proposal.

use gs_conf::PatchEvent;
use gs_conf::PatchState;
use gs_conf::patch_chart;

#[test]
fn the_state_machine_definition_matches_its_states_and_events() {
    let chart = patch_chart().expect("a valid definition");
    assert_eq!(chart.initial(), PatchState::Reading);
    assert!(chart.is_final(PatchState::Done));
}

/// Once the commit is sent, it may take effect at any time, so no event may lead back to an earlier state.
#[test]
fn no_event_returns_a_committing_patch_to_an_earlier_state() {
    let chart = patch_chart().expect("a valid definition");
    let late = chart.next(PatchState::Committing, PatchEvent::Late);
    let opposed = chart.next(PatchState::Committing, PatchEvent::Opposed);
    assert_eq!((late, opposed), (None, None));
}

#[test]
fn the_page_contains_the_current_chart() {
    let page = include_str!("../../../../docs/DESIGN-patches.md");
    let drawn =
        gs_chart::to_mermaid(include_str!("../../../../charts/patch.toml")).expect("a chart");
    assert!(page.contains(&drawn), "put this into the page:\n{drawn}");
}
