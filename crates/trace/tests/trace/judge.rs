//! The judge names the first step at which a promise is broken or an outcome is not the stated one.

use std::sync::Arc;
use std::time::Duration;

use gs_query::Action;
use gs_query::Dispatch;
use gs_types::prelude::*;
use rstest::rstest;

use crate::common::judge;

fn dispatch(short: &str, server: &str, once: bool) -> Action {
    let addr = "127.0.0.1:9000".parse().expect("an address");
    let server = ServerDecl {
        name: server.parse().expect("a name"),
        service: "s".parse().expect("a name"),
        addr,
        data_centre: "hobart-a".parse().expect("a name"),
        slots: Slots(2),
        connections: Connections(25),
    };
    Action::Dispatch(Dispatch {
        attempt: format!("hobart-1/1/{short}").parse().expect("an attempt"),
        server: Arc::new(server),
        snapshot: SnapshotId(7),
        query: "salmon".into(),
        key: None,
        idempotency_key: None,
        page: 10,
        budget: Duration::from_millis(90),
        once,
    })
}

fn page(docs: &[&str], shards: u32, missing: &[u32]) -> Action {
    let hit = |d: &&str| Hit {
        doc: (*d).into(),
        score: 1,
        text: "".into(),
    };
    let miss = |n: &u32| MissingShard {
        shard: ShardId(*n),
        reason: MissReason::Late,
    };
    let answer = Answer {
        snapshot: SnapshotId(7),
        hits: docs.iter().map(hit).collect(),
        matched: 1,
        coverage: Coverage {
            shards,
            whole: shards - u32::try_from(missing.len()).expect("few"),
            missing: missing.iter().map(miss).collect(),
        },
        ended_early: false,
        extra_attempts: 0,
    };
    Action::Answer(LookupSeq(1), Outcome::Answered(answer))
}

fn refusal(run: fn(Refusal) -> Outcome) -> Action {
    let refusal = Refusal::new(RefusalReason::Failed, None);
    Action::Answer(LookupSeq(1), run(refusal))
}

const ARRIVE: &str = r#"
[[step]]
at = "0s"
arrive = { seq = 1, lookup = "quote", query = "salmon" }
"#;

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

fn whole(shard: u32, snapshot: u32, doc: &str) -> String {
    format!(
        "[[step]]\nat = \"5ms\"\nreply = {{ to = [\"1/{shard}/0\"], whole = {{ snapshot = \
         {snapshot}, hits = [[\"{doc}\", 1]] }} }}\n"
    )
}

/// Both shards asked; both answer, the second from `snapshot`.
fn scatter(lookup: &str, snapshot: u32, last: Action) -> Result<(), String> {
    let steps = format!("{lookup}{}{}", whole(0, 7, "a"), whole(1, snapshot, "b"));
    let asked = vec![
        dispatch("1/0/0", "a0", false),
        dispatch("1/1/0", "b0", false),
    ];
    judge("", &steps, vec![asked, vec![], vec![last]]).map_err(|d| d.to_string())
}

#[test]
fn a_true_page_passes() {
    assert_eq!(scatter(AUDIT, 7, page(&["a", "b"], 2, &[])), Ok(()));
    assert_eq!(scatter(ARRIVE, 6, page(&["a"], 2, &[1])), Ok(()));
}

#[rstest]
#[case::part_of_another_snapshot_counted(
    ARRIVE,
    6,
    page(&["a", "b"], 2, &[]),
    "step 5 at 5ms: lookup 1: it counts 2 whole shards of snapshot 7, and 1 came"
)]
#[case::document_of_another_snapshot(
    ARRIVE,
    6,
    page(&["b"], 2, &[1]),
    "step 5 at 5ms: lookup 1: document `b` is in no part of its snapshot that came for it"
)]
#[case::document_of_another_lookup(
    ARRIVE,
    7,
    page(&["z"], 2, &[]),
    "step 5 at 5ms: lookup 1: document `z` is in no part of its snapshot that came for it"
)]
#[case::complete_and_is_not(
    AUDIT,
    7,
    page(&["a"], 2, &[1]),
    "step 5 at 5ms: lookup 1: it must be complete and lacks shards"
)]
#[case::missing_told_twice(
    ARRIVE,
    7,
    page(&["a"], 3, &[1, 1]),
    "step 5 at 5ms: lookup 1: its coverage does not add up: Coverage { shards: 3, whole: 1, missing: [MissingShard { shard: ShardId(1), reason: Late }, MissingShard { shard: ShardId(1), reason: Late }] }"
)]
#[case::not_run_that_ran(
    ARRIVE,
    7,
    refusal(Outcome::NotRun),
    "step 5 at 5ms: lookup 1: told `not-run`, and attempt hobart-1/1/1/0/0 may have run"
)]
fn an_untrue_word(
    #[case] lookup: &str,
    #[case] snapshot: u32,
    #[case] last: Action,
    #[case] expected: &str,
) {
    assert_eq!(scatter(lookup, snapshot, last), Err(expected.to_owned()));
}

#[test]
fn sent_after_not_run() {
    let steps = format!("{ARRIVE}{SENT}");
    let actions = vec![vec![
        dispatch("1/0/0", "a0", false),
        refusal(Outcome::NotRun),
    ]];
    let d = judge("", &steps, actions).expect_err("diverges");
    assert_eq!(
        d.to_string(),
        "step 4 at 1ms: attempt hobart-1/1/1/0/0 is sent after its caller was told `not-run`"
    );
}

#[test]
fn answered_twice() {
    let twice = vec![refusal(Outcome::Unknown), refusal(Outcome::Unknown)];
    let d = judge("", ARRIVE, vec![twice]).expect_err("diverges");
    assert_eq!(d.to_string(), "step 3 at 0s: lookup 1 is answered twice");
}

#[test]
fn never_answered() {
    let steps = format!("{ARRIVE}[[step]]\nat = \"2s\"\nleave = {{}}\n");
    let d = judge("", &steps, vec![]).expect_err("diverges");
    assert_eq!(
        d.to_string(),
        "step 4 at 2s: lookup 1 is past its deadline without an answer"
    );
}

#[test]
fn a_machine_that_goes_another_way_than_the_one_that_recorded() {
    let steps = format!("{ARRIVE}{SENT}");
    let d = judge("", &steps, vec![]).expect_err("diverges");
    assert_eq!(
        d.to_string(),
        "step 4 at 1ms: attempt hobart-1/1/1/0/0 was made by the machine that recorded, and not by \
         this one"
    );
}

const GRANTED: &str = "[[step]]\nat = \"1ms\"\nclaim = [1, \"granted\"]\n";

#[test]
fn at_most_once_without_a_claim() {
    let actions = vec![vec![dispatch("1/0/0", "a0", true)]];
    let d = judge("", LEVY, actions).expect_err("diverges");
    assert_eq!(
        d.to_string(),
        "step 3 at 0s: attempt hobart-1/1/1/0/0 must run at most once and has no claim"
    );
}

#[rstest]
#[case::broken("ends = \"broken\"", false)]
#[case::failed("ends = \"failed\"", false)]
#[case::garbled("ends = \"garbled\"", false)]
#[case::shed("shed = \"5ms\"", true)]
#[case::not_sent("ends = \"not-sent\"", true)]
fn at_most_once_again(#[case] end: &str, #[case] allowed: bool) {
    let reply = format!("[[step]]\nat = \"2ms\"\nreply = {{ to = [\"1/0/0\"], {end} }}\n");
    let steps = format!("{LEVY}{GRANTED}{SENT}{reply}");
    let actions = vec![
        vec![],
        vec![dispatch("1/0/0", "a0", true)],
        vec![],
        vec![dispatch("1/0/1", "a1", true)],
    ];
    let expected = "step 6 at 2ms: attempt hobart-1/1/1/0/1 must run at most once and \
                    hobart-1/1/1/0/0 may have run";
    let found = judge("", &steps, actions).map_err(|d| d.to_string());
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

/// A lookup arrives at `at` and is dispatched to `a0`, which drains since 1 s.
fn drained(at: &str, between: &str) -> Result<(), String> {
    let steps = format!("{DRAIN}{between}{}", ARRIVE.replace("0s", at));
    let before = 2 + between.matches("[[step]]").count();
    let mut actions = vec![vec![]; before];
    actions.push(vec![dispatch("1/0/0", "a0", false)]);
    judge("", &steps, actions).map_err(|d| d.to_string())
}

#[test]
fn a_draining_server_gets_no_new_work() {
    assert_eq!(drained("3900ms", ""), Ok(()));
    assert_eq!(
        drained("4100ms", ""),
        Err("step 5 at 4s 100ms: server a0 gets new work though it drains since 1s".to_owned())
    );
}

#[test]
fn a_new_run_of_a_drained_server_gets_work() {
    let same = "[[step]]\nat = \"2s\"\nreport = { servers = [\"a0\"], incarnation = 4 }\n";
    let new = "[[step]]\nat = \"2s\"\nreport = { servers = [\"a0\"], incarnation = 5 }\n";
    assert!(drained("9s", same).is_err());
    assert_eq!(drained("9s", new), Ok(()));
}

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
fn another_outcome_than_stated(#[case] stated: &str, #[case] expected: &str) {
    let steps = format!("{ARRIVE}{}", whole(0, 7, "a"));
    let asked = vec![
        dispatch("1/0/0", "a0", false),
        dispatch("1/1/0", "b0", false),
    ];
    let stated = format!("[[lookup]]\nseq = 1\n{stated}\n");
    let d = judge(&stated, &steps, vec![asked, vec![page(&["a"], 2, &[1])]]).expect_err("diverges");
    assert_eq!(d.step, 4);
    assert!(d.text.starts_with(&format!("lookup 1: {expected}")), "{d}");
}

#[rstest]
#[case::too_many(
    "[[lookup]]\nseq = 1\noutcome = \"pending\"\ndispatches-max = 0",
    3,
    "lookup 1 is dispatched 1 times, to a0"
)]
#[case::too_few(
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
    "server a0 gets attempt hobart-1/1/1/0/0, its number 1"
)]
fn another_course_than_stated(#[case] stated: &str, #[case] step: u64, #[case] expected: &str) {
    let actions = vec![vec![dispatch("1/0/0", "a0", false)]];
    let d = judge(stated, ARRIVE, actions).expect_err("diverges");
    assert_eq!((d.step, d.text.as_str()), (step, expected));
}
