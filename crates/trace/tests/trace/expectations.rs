//! The checker reports what differs from the expected outcomes.

use rstest::rstest;

use crate::common::check;
use crate::samples::ARRIVE;
use crate::samples::dispatch;
use crate::samples::page;
use crate::samples::whole;

#[rstest]
#[case::outcome("outcome = \"unknown\"", "outcome is Answered(")]
#[case::snapshot(
    "outcome = \"answered\"\nsnapshot = 8",
    "snapshot is SnapshotId(7); stated: SnapshotId(8)"
)]
#[case::docs(
    "outcome = \"answered\"\ndocs = [\"b\"]",
    r#"docs is ["a"]; stated: ["b"]"#
)]
#[case::missing(
    "outcome = \"answered\"\nmissing = []",
    r#"missing is ["1 late"]; stated: []"#
)]
#[case::time("outcome = \"answered\"\nby = \"4ms\"", "its time is 5ms; stated: 4ms")]
#[case::reason(
    "outcome = \"answered\"\nreason = \"overload\"",
    "reason is nothing; stated: Overload"
)]
fn an_outcome_other_than_stated_is_reported(#[case] stated: &str, #[case] expected: &str) {
    let steps = format!("{ARRIVE}{}", whole(0, 7, "a"));
    let dispatched = vec![
        dispatch("1/0/0", "a0", false),
        dispatch("1/1/0", "b0", false),
    ];
    let stated = format!("[[lookup]]\nseq = 1\n{stated}\n");
    let d = check(
        &stated,
        &steps,
        vec![dispatched, vec![page(&["a"], 2, &[1])]],
    )
    .expect_err("diverges");
    assert_eq!(d.step, 4);
    assert!(d.text.starts_with(&format!("lookup 1: {expected}")), "{d}");
}

#[rstest]
#[case::too_many_dispatches(
    "[[lookup]]\nseq = 1\noutcome = \"pending\"\ndispatches-max = 0",
    3,
    "lookup 1 is dispatched 1 times, to a0"
)]
#[case::too_few_dispatches(
    "[[lookup]]\nseq = 1\noutcome = \"pending\"\ndispatches = 2",
    3,
    "lookup 1 was dispatched 1 times; stated: 2"
)]
#[case::no_outcome(
    "[[lookup]]\nseq = 1\noutcome = \"unknown\"",
    3,
    "lookup 1 has no outcome; stated: unknown"
)]
#[case::server(
    "[[server]]\nname = \"a0\"\ndispatches-max = 0",
    3,
    "server a0 receives attempt hobart-1/1/1/0/0, its dispatch number 1"
)]
fn dispatches_other_than_stated_are_reported(
    #[case] stated: &str,
    #[case] step: u64,
    #[case] expected: &str,
) {
    let actions = vec![vec![dispatch("1/0/0", "a0", false)]];
    let d = check(stated, ARRIVE, actions).expect_err("diverges");
    assert_eq!((d.step, d.text.as_str()), (step, expected));
}
