//! The checker reports the first step that breaks an invariant.

use gs_query::Action;
use gs_types::prelude::*;
use rstest::rstest;

use crate::common::check;
use crate::samples::ARRIVE;
use crate::samples::dispatch;
use crate::samples::page;
use crate::samples::refusal;
use crate::samples::whole;

const AUDIT: &str = r#"
[[step]]
at = "0s"
arrive = { seq = 1, lookup = "audit", query = "salmon" }
"#;

const LEVY: &str = r#"
[[step]]
at = "0s"
arrive = { seq = 1, lookup = "levy", query = "x", key = "k", idempotency-key = "100-abcdefgh" }
"#;

const SENT: &str = "[[step]]\nat = \"1ms\"\nsent = [\"1/0/0\"]\n";

/// Queries both shards, of which the second answers from `snapshot`, and checks the action `last`.
fn scatter(lookup: &str, snapshot: u32, last: Action) -> Result<(), String> {
    let steps = format!("{lookup}{}{}", whole(0, 7, "a"), whole(1, snapshot, "b"));
    let dispatched = vec![
        dispatch("1/0/0", "a0", false),
        dispatch("1/1/0", "b0", false),
    ];
    check("", &steps, vec![dispatched, vec![], vec![last]]).map_err(|d| d.to_string())
}

#[test]
fn a_correct_page_passes() {
    assert_eq!(scatter(AUDIT, 7, page(&["a", "b"], 2, &[])), Ok(()));
    assert_eq!(scatter(ARRIVE, 6, page(&["a"], 2, &[1])), Ok(()));
}

#[rstest]
#[case::part_of_another_snapshot_counted(
    ARRIVE,
    6,
    page(&["a", "b"], 2, &[]),
    "step 5 at 5ms: lookup 1: it counts 2 complete shards of snapshot 7 but received 1"
)]
#[case::document_of_another_snapshot(
    ARRIVE,
    6,
    page(&["b"], 2, &[1]),
    "step 5 at 5ms: lookup 1: document `b` is in no part that it received from its snapshot"
)]
#[case::document_of_another_lookup(
    ARRIVE,
    7,
    page(&["z"], 2, &[]),
    "step 5 at 5ms: lookup 1: document `z` is in no part that it received from its snapshot"
)]
#[case::incomplete_page_of_a_complete_lookup(
    AUDIT,
    7,
    page(&["a"], 2, &[1]),
    "step 5 at 5ms: lookup 1: it must be complete but lacks shards"
)]
#[case::missing_listed_twice(
    ARRIVE,
    7,
    page(&["a"], 3, &[1, 1]),
    "step 5 at 5ms: lookup 1: its coverage does not add up: Coverage { shards: 3, whole: 1, missing: [MissingShard { shard: ShardId(1), reason: Late }, MissingShard { shard: ShardId(1), reason: Late }] }"
)]
#[case::not_run_after_execution(
    ARRIVE,
    7,
    refusal(Outcome::NotRun),
    "step 5 at 5ms: lookup 1: the outcome is `not-run` but attempt hobart-1/1/1/0/0 may have run"
)]
fn an_outcome_that_violates_an_invariant_is_reported(
    #[case] lookup: &str,
    #[case] snapshot: u32,
    #[case] last: Action,
    #[case] expected: &str,
) {
    assert_eq!(scatter(lookup, snapshot, last), Err(expected.to_owned()));
}

#[test]
fn an_attempt_sent_after_not_run_is_reported() {
    let steps = format!("{ARRIVE}{SENT}");
    let actions = vec![vec![
        dispatch("1/0/0", "a0", false),
        refusal(Outcome::NotRun),
    ]];
    let d = check("", &steps, actions).expect_err("diverges");
    assert_eq!(
        d.to_string(),
        "step 4 at 1ms: attempt hobart-1/1/1/0/0 is sent after the outcome `not-run`"
    );
}

#[test]
fn a_second_answer_is_reported() {
    let twice = vec![refusal(Outcome::Unknown), refusal(Outcome::Unknown)];
    let d = check("", ARRIVE, vec![twice]).expect_err("diverges");
    assert_eq!(d.to_string(), "step 3 at 0s: lookup 1 is answered twice");
}

#[test]
fn a_missing_answer_is_reported() {
    let steps = format!("{ARRIVE}[[step]]\nat = \"2s\"\nleave = {{}}\n");
    let d = check("", &steps, vec![]).expect_err("diverges");
    assert_eq!(
        d.to_string(),
        "step 4 at 2s: lookup 1 is past its deadline without an answer"
    );
}

/// Prevents a process that ends with a lookup in flight from passing as one that shut down gracefully.
#[test]
fn a_lookup_without_an_answer_at_the_end_of_a_shutdown_is_reported() {
    let leave = "[[step]]\nat = \"2ms\"\nleave = { within = \"50ms\" }\n";
    let end = "[[step]]\nat = \"1100ms\"\ntick = { every = \"1ms\", until = \"1100ms\" }\n";
    let d = check("", &format!("{ARRIVE}{leave}{end}"), vec![]).expect_err("diverges");
    assert_eq!(
        d.to_string(),
        "step 5 at 1s 100ms: lookup 1 is past its deadline without an answer"
    );
}

#[test]
fn a_recorded_attempt_that_the_replay_does_not_dispatch_is_reported() {
    let steps = format!("{ARRIVE}{SENT}");
    let d = check("", &steps, vec![]).expect_err("diverges");
    assert_eq!(
        d.to_string(),
        "step 4 at 1ms: attempt hobart-1/1/1/0/0 is in the recording, but this replay did not dispatch it"
    );
}

const GRANTED: &str = "[[step]]\nat = \"1ms\"\nclaim = [1, \"granted\"]\n";

#[test]
fn an_at_most_once_dispatch_without_a_claim_is_reported() {
    let actions = vec![vec![dispatch("1/0/0", "a0", true)]];
    let d = check("", LEVY, actions).expect_err("diverges");
    assert_eq!(
        d.to_string(),
        "step 3 at 0s: attempt hobart-1/1/1/0/0 must run at most once but has no claim"
    );
}

#[rstest]
#[case::broken("ends = \"broken\"", false)]
#[case::failed("ends = \"failed\"", false)]
#[case::garbled("ends = \"garbled\"", false)]
#[case::shed("shed = \"5ms\"", true)]
#[case::not_sent("ends = \"not-sent\"", true)]
fn a_second_at_most_once_dispatch_is_allowed_only_if_the_first_was_not_executed(
    #[case] end: &str,
    #[case] allowed: bool,
) {
    let reply = format!("[[step]]\nat = \"2ms\"\nreply = {{ to = [\"1/0/0\"], {end} }}\n");
    let steps = format!("{LEVY}{GRANTED}{SENT}{reply}");
    let actions = vec![
        vec![],
        vec![dispatch("1/0/0", "a0", true)],
        vec![],
        vec![dispatch("1/0/1", "a1", true)],
    ];
    let expected = "step 6 at 2ms: attempt hobart-1/1/1/0/1 must run at most once but \
                    hobart-1/1/1/0/0 may have run";
    let found = check("", &steps, actions).map_err(|d| d.to_string());
    match allowed {
        true => assert_eq!(found, Ok(())),
        false => assert_eq!(found, Err(expected.to_owned())),
    }
}

const DRAIN: &str = r#"
[[step]]
at = "0s"
report = { servers = ["a0"], incarnation = 4, snapshots = [7] }
[[step]]
at = "1s"
drain = { server = "a0", incarnation = 4, from = "peer" }
"#;

/// Checks a lookup that arrives at `at` and is dispatched to `a0`, which drains from 1 s on.
fn drained(at: &str, between: &str) -> Result<(), String> {
    let steps = format!("{DRAIN}{between}{}", ARRIVE.replace("0s", at));
    let before = 2 + between.matches("[[step]]").count();
    let mut actions = vec![vec![]; before];
    actions.push(vec![dispatch("1/0/0", "a0", false)]);
    check("", &steps, actions).map_err(|d| d.to_string())
}

#[test]
fn new_work_at_a_draining_server_is_reported() {
    assert_eq!(drained("3900ms", ""), Ok(()));
    assert_eq!(
        drained("4100ms", ""),
        Err(
            "step 5 at 4s 100ms: server a0 gets new work but has been draining since 1s".to_owned()
        )
    );
}

#[test]
fn a_new_incarnation_of_a_drained_server_may_get_work() {
    let same = "[[step]]\nat = \"2s\"\nreport = { servers = [\"a0\"], incarnation = 4 }\n";
    let new = "[[step]]\nat = \"2s\"\nreport = { servers = [\"a0\"], incarnation = 5 }\n";
    assert!(drained("9s", same).is_err());
    assert_eq!(drained("9s", new), Ok(()));
}
