//! Charts that break a rule are rejected with an error that names the rule.

use gs_chart::Chart;
use rstest::rstest;

#[derive(
    Clone, Copy, Debug, PartialEq, strum::EnumIter, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
enum Door {
    Open,
    Shut,
}

#[derive(
    Clone, Copy, Debug, PartialEq, strum::EnumIter, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
enum Hand {
    Push,
    Pull,
}

const OPEN: &str = "[[state]]\nname = \"open\"\non = { pull = \"shut\" }\nignore = [\"push\"]\n";
const SHUT: &str = "[[state]]\nname = \"shut\"\non = { push = \"open\" }\nignore = [\"pull\"]\n";

#[rstest]
#[case::missing_state(SHUT, "door: state `open` is defined 0 times, not once")]
#[case::unhandled_event(
    "[[state]]\nname = \"shut\"\non = { push = \"open\" }\n",
    "door: state `shut` lists event `pull` 0 times, not 1"
)]
#[case::unknown_name(
    "[[state]]\nname = \"ajar\"\nlast = true\n",
    "door: no state or event is named `ajar`"
)]
#[case::unreachable(
    "[[state]]\nname = \"shut\"\nignore = [\"push\", \"pull\"]\n[[state]]\nname = \"open\"\nlast = true\n",
    "door: state `open` is unreachable"
)]
fn an_invalid_chart_is_refused(#[case] states: &str, #[case] why: &str) {
    let text = format!("name = \"door\"\ninitial = \"shut\"\n{states}");
    let e = Chart::<Door, Hand>::parse(&text).expect_err("chart must be rejected");
    assert_eq!(e.to_string(), format!("{why} (step: read chart)"));
}

#[test]
fn a_diagram_is_rendered_from_the_definition() {
    let text = format!("name = \"door\"\ninitial = \"shut\"\n{OPEN}{SHUT}");
    Chart::<Door, Hand>::parse(&text).expect("chart is complete");
    assert_eq!(
        gs_chart::to_mermaid(&text).expect("rendered"),
        "stateDiagram-v2\n    [*] --> shut\n    open --> shut: pull\n    shut --> open: push\n"
    );
}

#[test]
fn a_name_with_a_hyphen_is_rendered_under_another_id() {
    let text = "name = \"x\"\ninitial = \"not-run\"\n[[state]]\nname = \"not-run\"\nlast = true\n";
    assert_eq!(
        gs_chart::to_mermaid(text).expect("rendered"),
        "stateDiagram-v2\n    state \"not-run\" as not_run\n    [*] --> not_run\n    not_run --> [*]\n"
    );
}
