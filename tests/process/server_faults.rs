//! Backend servers that crash, drain, send bad replies and change snapshots under load.

use std::time::Duration;

use gs_rig::control::Command;
use gs_rig::control::ReplyFault;
use gs_rig::load::Caller;
use gs_rig::load::LookupRequest;
use gs_types::prelude::*;
use rstest::rstest;

use crate::support::draw_lookup;
use crate::support::refusal_reason;
use crate::support::run_load;
use crate::support::send_lookup;
use crate::support::start_tiny;
use crate::support::wait_until;

/// Prevents a lookup that crashes every server which runs it from taking down a whole group when it is resent through
/// every VM: without a quarantine that VMs share, each VM would try it again. The servers must be used again later.
#[rstest]
#[case::keyed("reader", 0)]
#[case::scatter("placement", 4)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_poisoned_lookup_crashes_at_most_two_servers(
    #[case] name: &str,
    // Crashes before the lookup can be suspected: the first fan-out reaches a server of every shard.
    #[case] unsuspected: u64,
) {
    let d = start_tiny().await;
    let poison = Command::Poison {
        word: Some("crashingword".to_owned()),
        down_ms: 300,
    };
    d.servers.apply(poison).await.expect("applied");
    let lookup = LookupRequest {
        query: "larch crashingword".into(),
        ..draw_lookup(&d, name, 3)
    };
    for round in 0..4 {
        for vm in 0..d.vms.len() {
            let reply = send_lookup(&d, vm, &lookup).await;
            let hits = reply.page().map_or(0, |p| p.hits.len());
            assert_eq!(hits, 0, "round {round}, VM {vm}: {reply:?}");
        }
    }
    let crashes = d.servers.counts().summary().total.crashes;
    assert!(crashes <= unsuspected + 2, "{crashes} crashes");
    let last = send_lookup(&d, 2, &lookup).await;
    assert_eq!(
        refusal_reason(&last).as_deref(),
        Some("quarantined"),
        "{last:?}"
    );
    let innocent = draw_lookup(&d, name, 5);
    wait_until("complete pages again", async || {
        let reply = send_lookup(&d, 1, &innocent).await;
        reply.page().is_some_and(|p| p.coverage.is_complete())
    })
    .await;
}

/// Prevents empty pages for other lookups after one has crashed a server of every shard, and its canary the second
/// server of one shard: a suspected lookup would wait for a canary at the shard without a live server, and would not
/// query the three shards that have one.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn innocent_lookups_reach_every_live_shard_after_a_poisoned_one() {
    let d = start_tiny().await;
    let poison = Command::Poison {
        word: Some("crashingword".to_owned()),
        down_ms: 600_000,
    };
    d.servers.apply(poison).await.expect("applied");
    let lookup = LookupRequest {
        query: "larch crashingword".into(),
        ..draw_lookup(&d, "placement", 3)
    };
    let reply = send_lookup(&d, 0, &lookup).await;
    assert!(reply.page().is_none(), "{reply:?}");
    let crashes = d.servers.counts().summary().total.crashes;
    assert!(crashes <= 5, "{crashes} crashes");
    for vm in 0..d.vms.len() {
        let reply = send_lookup(&d, vm, &draw_lookup(&d, "quote", 100)).await;
        let complete_shards = reply.page().map_or(0, |p| p.coverage.whole);
        assert!(complete_shards >= 3, "VM {vm}: {reply:?}");
    }
}

/// Prevents attempts at a server more than 3 s after its drain began: a VM might not learn of the drain, as it polls
/// the health endpoint rarely, or might forget it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_server_gets_no_new_work_after_three_seconds() {
    let d = start_tiny().await;
    let server: ServerName = "bulletin-desk-0-0".parse().expect("a name");
    let drain = async {
        let seen = async || d.servers.counts().of(&server).runs > 5;
        wait_until("work on the server", seen).await;
        let server = server.clone();
        let command = Command::Drain { server };
        d.servers.apply(command).await.expect("applied");
    };
    let (tally, ()) = tokio::join!(
        run_load(&d, d.targets(false), 40.0, Duration::from_secs(7)),
        drain
    );
    assert_eq!(tally.wrong(), 0, "{:?}", tally.faults);
    assert_eq!(d.servers.counts().of(&server).late_offers, 0);
}

/// Prevents pages with lines of another request, or with missing lines, which come about if a malformed or truncated
/// reply, or one for another attempt, is accepted without checks.
#[rstest]
#[case::garbled(ReplyFault::Garbled)]
#[case::truncated(ReplyFault::Truncated)]
#[case::crossed(ReplyFault::Crossed)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spoilt_replies_never_reach_a_page(#[case] how: ReplyFault) {
    let d = start_tiny().await;
    let bad_replies = Command::Spoil {
        server: None,
        how,
        share: 0.1,
    };
    d.servers.apply(bad_replies).await.expect("applied");
    let tally = run_load(&d, d.targets(false), 40.0, Duration::from_secs(2)).await;
    assert_eq!(tally.wrong(), 0, "{:?}", tally.faults);
    assert!(tally.answered > 0);
}

/// Prevents pages that mix two snapshots, or miss lines that moved to a new shard, while a snapshot with another number
/// of shards is published and the old one dropped: a lookup that began on the old snapshot might use parts of the new.
#[rstest]
#[case::fewer_shards(3)]
#[case::more_shards(6)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repartition_under_load_mixes_nothing(#[case] shards: u32) {
    let d = start_tiny().await;
    let (group, old, new) = ("bulletin-desk", SnapshotId(1), SnapshotId(2));
    let repartition = async {
        let seen = async || d.servers.counts().summary().total.runs > 50;
        wait_until("load on the servers", seen).await;
        d.publish(group, new, shards).expect("published");
        let probe = draw_lookup(&d, "placement", 6);
        wait_until("answers from the new snapshot", async || {
            let reply = send_lookup(&d, 1, &probe).await;
            reply.page().is_some_and(|p| p.snapshot == new)
        })
        .await;
        let forget = Command::Forget {
            server: None,
            snapshot: old,
        };
        d.servers.apply(forget).await.expect("applied");
    };
    let (tally, ()) = tokio::join!(
        run_load(&d, d.targets(false), 40.0, Duration::from_secs(4)),
        repartition
    );
    assert_eq!(tally.wrong(), 0, "{:?}", tally.faults);
    let caller = Caller::new();
    for vm in &d.vms {
        let probe = draw_lookup(&d, "placement", 8);
        let reply = caller.request(vm.plan().callers, &probe).await;
        let snapshot = reply.page().map(|p| p.snapshot);
        assert_eq!(snapshot, Some(new), "{reply:?}");
    }
}
