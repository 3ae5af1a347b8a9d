//! Tests of the state machine definition of a VM's state.

use gs_chart::Chart;
use gs_member::VmEvent;
use gs_member::VmState;
use rstest::rstest;

fn chart() -> Chart<VmState, VmEvent> {
    Chart::parse(include_str!("../../../../charts/vm.toml")).expect("valid definition")
}

#[rstest]
#[case(VmState::Alive, VmEvent::Silent, Some(VmState::Suspect))]
#[case(VmState::Suspect, VmEvent::Heard, Some(VmState::Alive))]
#[case(VmState::Suspect, VmEvent::Lapsed, Some(VmState::Unreachable))]
#[case(VmState::Unreachable, VmEvent::Heard, Some(VmState::Alive))]
#[case(VmState::Leaving, VmEvent::Heard, None)]
#[case(VmState::Leaving, VmEvent::Restarted, Some(VmState::Alive))]
#[case(VmState::Unreachable, VmEvent::Unlisted, Some(VmState::Gone))]
fn an_event_leads_to_its_next_state(
    #[case] from: VmState,
    #[case] event: VmEvent,
    #[case] to: Option<VmState>,
) {
    assert_eq!(chart().next(from, event), to);
}
