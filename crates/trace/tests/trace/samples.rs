//! Sample steps and actions for the tests of the checker.

use std::sync::Arc;
use std::time::Duration;

use gs_query::Action;
use gs_query::Dispatch;
use gs_types::prelude::*;

/// The arrival of lookup 1.
pub const ARRIVE: &str = r#"
[[step]]
at = "0s"
arrive = { seq = 1, lookup = "quote", query = "salmon" }
"#;

/// Returns the reply with a complete part of a shard from a snapshot, with one document.
pub fn whole(shard: u32, snapshot: u32, doc: &str) -> String {
    format!(
        "[[step]]\nat = \"5ms\"\nreply = {{ to = [\"1/{shard}/0\"], whole = {{ snapshot = \
         {snapshot}, hits = [[\"{doc}\", 1]] }} }}\n"
    )
}

/// Returns the dispatch of an attempt to a server.
pub fn dispatch(short: &str, server: &str, once: bool) -> Action {
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

/// Returns the page of lookup 1 from snapshot 7, without the `missing` shards.
pub fn page(docs: &[&str], shards: u32, missing: &[u32]) -> Action {
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

/// Returns a refusal of lookup 1.
pub fn refusal(run: fn(Refusal) -> Outcome) -> Action {
    let refusal = Refusal::new(RefusalReason::Failed, None);
    Action::Answer(LookupSeq(1), run(refusal))
}
