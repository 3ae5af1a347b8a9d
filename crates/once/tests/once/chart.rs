//! Tests of the state machine definition of a claim request.

use gs_chart::Chart;
use gs_once::ClaimEvent;
use gs_once::ClaimState;
use rstest::rstest;

#[rstest]
#[case(ClaimState::Queued, ClaimEvent::GiveUp, Some(ClaimState::Refused))]
#[case(ClaimState::Forwarded, ClaimEvent::GiveUp, Some(ClaimState::Unknown))]
#[case(ClaimState::Writing, ClaimEvent::GiveUp, Some(ClaimState::Unknown))]
#[case(ClaimState::Writing, ClaimEvent::Miss, Some(ClaimState::Queued))]
#[case(ClaimState::Rewriting, ClaimEvent::Miss, Some(ClaimState::Exposed))]
#[case(ClaimState::Exposed, ClaimEvent::GiveUp, Some(ClaimState::Unknown))]
#[case(ClaimState::Granted, ClaimEvent::GiveUp, None)]
fn an_event_leads_to_its_next_state(
    #[case] from: ClaimState,
    #[case] event: ClaimEvent,
    #[case] to: Option<ClaimState>,
) {
    let text = include_str!("../../../../charts/claim.toml");
    let chart: Chart<ClaimState, ClaimEvent> = Chart::parse(text).expect("valid definition");
    assert_eq!(chart.next(from, event), to);
}
