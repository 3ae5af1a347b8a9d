//! Backend servers that crash, drain, spoil replies and change snapshots while callers ask.

use std::time::Duration;

use gs_rig::control::Command;
use gs_rig::control::ReplyFault;
use gs_rig::load::Caller;
use gs_rig::load::LookupRequest;
use gs_types::prelude::*;
use rstest::rstest;

use crate::support::ask;
use crate::support::ask_vm;
use crate::support::load;
use crate::support::reason;
use crate::support::tiny;
use crate::support::until;

/// A reader's lookup crashes every backend server that runs it, and the reader tries every VM.
/// The lookup is sent through each VM in turn, again and again, while the crashed servers come
/// back. The cause is one request: without a quarantine that the VMs share it takes the whole
/// group down, and with one that lasts it must not keep the innocent servers set aside.
#[rstest]
#[case::keyed("reader", 0)]
#[case::scatter("placement", 4)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_poisoned_lookup_crashes_at_most_two_servers(
    #[case] name: &str,
    // The first fan-out reaches a server of every shard before anyone can suspect it.
    #[case] unsuspected: u64,
) {
    let d = tiny().await;
    let poison = Command::Poison {
        word: Some("crashingword".to_owned()),
        down_ms: 300,
    };
    d.servers.apply(poison).await.expect("applied");
    let lookup = LookupRequest {
        query: "larch crashingword".into(),
        ..ask(&d, name, 3)
    };
    for round in 0..4 {
        for vm in 0..d.vms.len() {
            let reply = ask_vm(&d, vm, &lookup).await;
            let hits = reply.page().map_or(0, |p| p.hits.len());
            assert_eq!(hits, 0, "round {round}, VM {vm}: {reply:?}");
        }
    }
    let crashes = d.servers.counts().summary().total.crashes;
    assert!(crashes <= unsuspected + 2, "{crashes} crashes");
    let last = ask_vm(&d, 2, &lookup).await;
    assert_eq!(reason(&last).as_deref(), Some("quarantined"), "{last:?}");
    let innocent = ask(&d, name, 5);
    until("full pages again", async || {
        let reply = ask_vm(&d, 1, &innocent).await;
        reply.page().is_some_and(|p| p.coverage.is_complete())
    })
    .await;
}

/// Readers get empty pages because another caller's lookup crashed servers.
/// A poisoned lookup crashes one server of every shard, and its canary the other server of one; they
/// stay down, and three shards of four have a server that is well. Readers ask other things through
/// every VM. The cause is a suspicion that falls on whoever asks next: its canary goes to the shard
/// whose servers are down, and the other shards are held back for it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn innocent_lookups_reach_every_live_shard_after_a_poisoned_one() {
    let d = tiny().await;
    let poison = Command::Poison {
        word: Some("crashingword".to_owned()),
        down_ms: 600_000,
    };
    d.servers.apply(poison).await.expect("applied");
    let lookup = LookupRequest {
        query: "larch crashingword".into(),
        ..ask(&d, "placement", 3)
    };
    let reply = ask_vm(&d, 0, &lookup).await;
    assert!(reply.page().is_none(), "{reply:?}");
    let crashes = d.servers.counts().summary().total.crashes;
    assert!(crashes <= 5, "{crashes} crashes");
    for vm in 0..d.vms.len() {
        let reply = ask_vm(&d, vm, &ask(&d, "quote", 100)).await;
        let whole = reply.page().map_or(0, |p| p.coverage.whole);
        assert!(whole >= 3, "VM {vm}: {reply:?}");
    }
}

/// A backend server is taken out of service for an upgrade.
/// It begins to drain under load, while its health endpoint is asked only now and then; load goes
/// on for longer than three seconds. The cause of late work would be a VM that did not hear of the
/// drain, or forgot it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_server_gets_no_new_work_after_three_seconds() {
    let d = tiny().await;
    let server: ServerName = "bulletin-desk-0-0".parse().expect("a name");
    let drain = async {
        let seen = async || d.servers.counts().of(&server).runs > 5;
        until("work on the server", seen).await;
        let server = server.clone();
        let command = Command::Drain { server };
        d.servers.apply(command).await.expect("applied");
    };
    let (tally, ()) = tokio::join!(
        load(&d, d.targets(false), 40.0, Duration::from_secs(7)),
        drain
    );
    assert_eq!(tally.wrong(), 0, "{:?}", tally.faults);
    assert_eq!(d.servers.counts().of(&server).late_offers, 0);
}

/// A page shows another reader's lines, or half of its own.
/// A share of the backend servers' replies is garbled, cut short, or carries the part of another
/// attempt. The cause is a reply that is taken on trust.
#[rstest]
#[case::garbled(ReplyFault::Garbled)]
#[case::truncated(ReplyFault::Truncated)]
#[case::crossed(ReplyFault::Crossed)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spoilt_replies_never_reach_a_page(#[case] how: ReplyFault) {
    let d = tiny().await;
    let spoil = Command::Spoil {
        server: None,
        how,
        share: 0.1,
    };
    d.servers.apply(spoil).await.expect("applied");
    let tally = load(&d, d.targets(false), 40.0, Duration::from_secs(2)).await;
    assert_eq!(tally.wrong(), 0, "{:?}", tally.faults);
    assert!(tally.answered > 0);
}

/// An auditor's page mixes two versions of the index, or misses lines that moved to a new shard.
/// Under load a snapshot with other shards is published, the servers drop the old one, and the
/// platform's map forgets it, in this order. The cause is a lookup that began on the old snapshot
/// and goes on with parts of the new one.
#[rstest]
#[case::fewer_shards(3)]
#[case::more_shards(6)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repartition_under_load_mixes_nothing(#[case] shards: u32) {
    let d = tiny().await;
    let (group, old, new) = ("bulletin-desk", SnapshotId(1), SnapshotId(2));
    let repartition = async {
        let seen = async || d.servers.counts().summary().total.runs > 50;
        until("load on the servers", seen).await;
        d.publish(group, new, shards).expect("published");
        let probe = ask(&d, "placement", 6);
        until("answers from the new snapshot", async || {
            let reply = ask_vm(&d, 1, &probe).await;
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
        load(&d, d.targets(false), 40.0, Duration::from_secs(4)),
        repartition
    );
    assert_eq!(tally.wrong(), 0, "{:?}", tally.faults);
    let caller = Caller::new();
    for vm in &d.vms {
        let probe = ask(&d, "placement", 8);
        let reply = caller.request(vm.plan().callers, &probe).await;
        let snapshot = reply.page().map(|p| p.snapshot);
        assert_eq!(snapshot, Some(new), "{reply:?}");
    }
}
