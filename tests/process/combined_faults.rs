//! Combinations of two faults, and the same fault twice.

use std::net::SocketAddr;
use std::time::Duration;

use gs_rig::control::Command;
use gs_rig::load::Caller;
use gs_rig::load::LookupRequest;
use gs_rig::load::Reply;
use gs_rig::load::Tally;
use gs_rig::operator::Operator;
use gs_rig::platform::Control;
use gs_types::prelude::*;
use rstest::rstest;
use rustix::process::Signal;

use crate::support::TestDeployment;
use crate::support::draw_lookup;
use crate::support::refusal_reason;
use crate::support::run_load;
use crate::support::run_load_detached;
use crate::support::send_lookup;
use crate::support::start;
use crate::support::start_tiny;
use crate::support::wait_until;

fn platform_down(down: bool) -> Control {
    Control {
        down: Some(down),
        ..Control::default()
    }
}

fn slow_platform_control() -> Control {
    Control {
        delay_ms: Some(150),
        ..Control::default()
    }
}

fn idempotency_key_of(lookup: &LookupRequest) -> &str {
    lookup.idempotency_key.as_deref().expect("a key")
}

fn caller_addrs(d: &TestDeployment) -> Vec<SocketAddr> {
    d.vms.iter().map(|v| v.plan().callers).collect()
}

/// Checks that the servers ran no idempotency key twice, refused no connection above a limit and received
/// no attempt more than 3 s after their drain began.
fn assert_no_server_violations(d: &TestDeployment) {
    let seen = d.servers.counts().summary();
    let bad = (
        seen.keys_doubled,
        seen.total.over_limit,
        seen.total.late_offers,
    );
    assert_eq!(bad, (0, 0, 0), "{seen:?}");
}

/// Checks that there were answers and that none was wrong.
fn assert_answers_right(tally: &Tally) {
    assert_eq!(tally.wrong(), 0, "{:?}", tally.faults);
    assert!(tally.answered > 0);
}

async fn wait_for_complete_page(d: &TestDeployment, vm: usize) {
    let quote = draw_lookup(d, "quote", 41);
    wait_until("a complete page", async || {
        let reply = send_lookup(d, vm, &quote).await;
        reply.page().is_some_and(|p| p.coverage.is_complete())
    })
    .await;
}

/// Resends a renewal until the platform has decided its claim.
async fn wait_until_decided(d: &TestDeployment, vm: usize, renewal: &LookupRequest) -> Reply {
    let mut last = Reply::Unreachable;
    wait_until("the decision on the claim", async || {
        last = send_lookup(d, vm, renewal).await;
        refusal_reason(&last).as_deref() != Some("claims-away")
    })
    .await;
    last
}

fn count_pages(replies: &[&Reply]) -> usize {
    replies.iter().filter(|r| r.page().is_some()).count()
}

/// Prevents wrong pages, and renewals that run twice, when a data centre is partitioned and the platform is
/// down at the same time: a VM might rely on something that only one of the two faults leaves working.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_platform_away_while_a_data_centre_is_cut() {
    let d = start_tiny().await;
    let partitioned_vm = 2_usize;
    let faults = async {
        wait_for_complete_page(&d, partitioned_vm).await;
        d.cut(d.vms[partitioned_vm].plan().site).expect("a site");
        d.platform.control(platform_down(true));
        let mut sent = Vec::new();
        for vm in 0..d.vms.len() {
            let quote = send_lookup(&d, vm, &draw_lookup(&d, "quote", 50)).await;
            let incomplete = quote.page().map(|p| !p.coverage.is_complete());
            assert!(
                incomplete.is_some_and(|incomplete| incomplete || vm != partitioned_vm),
                "{quote:?}"
            );
            let renewal = draw_lookup(&d, "renewal", 51 + vm as u64);
            let reply = send_lookup(&d, vm, &renewal).await;
            assert_eq!(
                refusal_reason(&reply).as_deref(),
                Some("claims-away"),
                "{reply:?}"
            );
            sent.push(renewal);
        }
        d.platform.control(platform_down(false));
        d.heal().expect("healed");
        sent
    };
    let (tally, sent) = tokio::join!(
        run_load(&d, d.targets(false), 30.0, Duration::from_secs(3)),
        faults
    );
    assert_answers_right(&tally);
    wait_for_complete_page(&d, partitioned_vm).await;
    for (n, renewal) in sent.iter().enumerate() {
        wait_until_decided(&d, (n + 1) % d.vms.len(), renewal).await;
    }
    assert_no_server_violations(&d);
}

/// Prevents attempts at a draining server after a new snapshot with another number of shards: the drain might be
/// recorded only in the old snapshot's shard map. Load runs for more than 3 s after the old snapshot is dropped.
#[rstest]
#[case::fewer_shards(3)]
#[case::more_shards(6)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_during_a_repartition(#[case] shards: u32) {
    let d = start_tiny().await;
    let (old, new) = (SnapshotId(1), SnapshotId(2));
    let server: ServerName = "bulletin-desk-0-0".parse().expect("a name");
    let faults = async {
        let seen = async || d.servers.counts().of(&server).runs > 5;
        wait_until("work on the server", seen).await;
        let server = server.clone();
        let drain = Command::Drain { server };
        d.servers.apply(drain).await.expect("applied");
        d.publish("bulletin-desk", new, shards).expect("published");
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
        run_load(&d, d.targets(false), 40.0, Duration::from_secs(6)),
        faults
    );
    assert_answers_right(&tally);
    for vm in 0..d.vms.len() {
        let reply = send_lookup(&d, vm, &draw_lookup(&d, "placement", 8)).await;
        let snapshot = reply.page().map(|p| p.snapshot);
        assert_eq!(snapshot, Some(new), "{reply:?}");
    }
    assert_no_server_violations(&d);
}

/// Prevents a second run of a renewal whose VM is killed, once after its claim is written to the platform and once
/// while a backend server runs it: the new process, or another VM, might use that claim as its own.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_killed_twice_runs_no_renewal_twice() {
    let mut d = start_tiny().await;
    let others = d.targets(false);
    others.set(caller_addrs(&d)[1..].to_vec());
    let load = run_load_detached(&d, others, 20.0, Duration::from_secs(4));
    let faults = async {
        let claimed = draw_lookup(&d, "renewal", 60);
        d.platform.control(slow_platform_control());
        let before = d.platform.paths("claims/").len();
        kill_first_vm_when(&mut d, &claimed, |d| {
            d.platform.paths("claims/").len() > before
        })
        .await;
        resend_through(&d, &[1, 2], &claimed).await;
        d.platform.control(Control {
            delay_ms: Some(2),
            ..Control::default()
        });
        d.restart(0).await.expect("it starts again");

        let running = draw_lookup(&d, "renewal", 61);
        let slow = |share| Command::Stragglers {
            server: None,
            share,
            factor: 100.0,
        };
        d.servers.apply(slow(1.0)).await.expect("applied");
        let key = idempotency_key_of(&running).to_owned();
        let ran = move |d: &TestDeployment| d.servers.counts().runs_of_key(&key) > 0;
        kill_first_vm_when(&mut d, &running, ran).await;
        d.servers.apply(slow(0.0)).await.expect("applied");
        resend_through(&d, &[2, 1], &running).await;
        d.restart(0).await.expect("it starts again");
        resend_through(&d, &[0, 1, 2], &claimed).await;
        resend_through(&d, &[0, 1, 2], &running).await;
    };
    let (tally, ()) = tokio::join!(load, faults);
    assert_answers_right(&tally);
    assert_no_server_violations(&d);
}

/// Sends a lookup to the first VM and kills the VM as soon as `when` holds.
async fn kill_first_vm_when(
    d: &mut TestDeployment,
    lookup: &LookupRequest,
    when: impl Fn(&TestDeployment) -> bool,
) {
    let (caller, vm) = (Caller::new(), d.vms[0].plan().callers);
    let lookup = lookup.clone();
    let request = tokio::spawn(async move { caller.request(vm, &lookup).await });
    wait_until("the condition for the kill", async || when(d)).await;
    d.vms[0].kill();
    let reply = request.await.expect("joined");
    assert!(matches!(reply, Reply::Cut(_)), "{reply:?}");
}

async fn resend_through(d: &TestDeployment, vms: &[usize], renewal: &LookupRequest) {
    for vm in vms {
        send_lookup(d, *vm, renewal).await;
    }
}

/// Prevents a second run of a renewal whose VM is paused with its claim in flight, while the platform is down and
/// the renewal is resent through another VM: the paused VM might not notice that its lease, or the wait for an
/// answer, has expired. With `stalled` the claim takes effect only after the outage.
#[rstest]
#[case::taken(false)]
#[case::stalled(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_paused_across_an_outage_with_a_claim_in_flight(#[case] stalled: bool) {
    let d = start_tiny().await;
    let renewal = draw_lookup(&d, "renewal", 70);
    let stall = |on| Control {
        stall_writes: Some(on),
        ..Control::default()
    };
    d.platform.control(if stalled {
        stall(true)
    } else {
        slow_platform_control()
    });
    let (first, others) = tokio::join!(send_lookup(&d, 0, &renewal), async {
        wait_until("the claim in flight", async || {
            if stalled {
                d.platform.counts().lost > 0
            } else {
                !d.platform.paths("claims/").is_empty()
            }
        })
        .await;
        d.vms[0].signal(Signal::STOP).expect("a running process");
        d.platform.control(platform_down(true));
        let during = send_lookup(&d, 1, &renewal).await;
        d.platform.control(stall(false));
        d.platform.control(platform_down(false));
        let after = wait_until_decided(&d, 2, &renewal).await;
        d.vms[0].signal(Signal::CONT).expect("a stopped process");
        [during, after]
    });
    let last = wait_until_decided(&d, 0, &renewal).await;
    let runs = d.servers.counts().runs_of_key(idempotency_key_of(&renewal));
    assert!(runs <= 1, "{runs} runs; {first:?} {others:?} {last:?}");
    let replies = [&first, &others[0], &others[1], &last];
    assert!(count_pages(&replies) <= 1, "{replies:?}");
    assert_no_server_violations(&d);
}

/// Prevents connections above a server's limit, and renewals that run twice, when a data centre is partitioned again
/// shortly after the partition healed: each side might still act on what it released or took over the first time.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_same_data_centre_cut_twice() {
    let d = start_tiny().await;
    let partitioned_vm = 2_usize;
    let site = d.vms[partitioned_vm].plan().site;
    let faults = async {
        wait_for_complete_page(&d, partitioned_vm).await;
        let mut sent = Vec::new();
        for round in 0..2 {
            d.cut(site).expect("a site");
            // The VM may reject lookups at first, as admitted ones still wait for the partitioned servers.
            let quote = draw_lookup(&d, "quote", 80 + round);
            wait_until("an incomplete page", async || {
                let reply = send_lookup(&d, partitioned_vm, &quote).await;
                reply.page().is_some_and(|p| !p.coverage.is_complete())
            })
            .await;
            let renewal = draw_lookup(&d, "renewal", 82 + round);
            let inside = send_lookup(&d, partitioned_vm, &renewal).await;
            assert!(inside.page().is_none(), "{inside:?}");
            send_lookup(&d, 0, &renewal).await;
            sent.push(renewal);
            d.heal().expect("healed");
        }
        sent
    };
    let (tally, sent) = tokio::join!(
        run_load(&d, d.targets(false), 30.0, Duration::from_secs(4)),
        faults
    );
    assert_answers_right(&tally);
    wait_for_complete_page(&d, partitioned_vm).await;
    for renewal in &sent {
        wait_until_decided(&d, partitioned_vm, renewal).await;
    }
    assert_no_server_violations(&d);
}

/// Prevents wrong answers, and connections above a server's limit, from a VM that restarts while the platform is
/// down: it might use the connection share of its previous incarnation. It gets the configuration from its peers and
/// stays unready until the platform grants it a share.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_starts_while_the_platform_is_away_waits_and_then_serves() {
    let mut d = start_tiny().await;
    let others = d.targets(false);
    others.set(caller_addrs(&d)[1..].to_vec());
    let load = run_load_detached(&d, others, 20.0, Duration::from_secs(3));
    let faults = async {
        let (operator, admin) = (Operator::new(), d.vms[0].plan().admin);
        d.vms[0].kill();
        d.platform.control(platform_down(true));
        let configured = wait_until("the configuration from its peers", async || {
            operator.version(admin).await == 1
        });
        tokio::select! {
            ready = d.restart(0) => panic!("ready without a connection share: {ready:?}"),
            () = configured => {}
        }
        assert!(!d.vms[0].is_ready(&Caller::new()).await);
        let renewal = draw_lookup(&d, "renewal", 91);
        for refused in [&draw_lookup(&d, "placement", 90), &renewal] {
            let reply = send_lookup(&d, 0, refused).await;
            assert!(reply.refusal().is_some(), "{reply:?}");
        }
        d.platform.control(platform_down(false));
        wait_until("ready", async || d.vms[0].is_ready(&Caller::new()).await).await;
        wait_for_complete_page(&d, 0).await;
        wait_until_decided(&d, 0, &renewal).await;
    };
    let (tally, ()) = tokio::join!(load, faults);
    assert_answers_right(&tally);
    assert_no_server_violations(&d);
}

/// Prevents requests cut off by a second SIGTERM, or a SIGINT, during a graceful shutdown under load: the second
/// signal might end the process at once. The balancer notices readiness changes late.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_twice_under_load_is_still_graceful() {
    let mut d = start(gs_rig::deploy::Shape::tiny(), "[shutdown]\nlag = \"1s\"\n").await;
    let load = run_load_detached(&d, d.targets(true), 30.0, Duration::from_secs(4));
    let signals = async {
        let seen = async || d.servers.counts().summary().total.runs > 50;
        wait_until("load on the servers", seen).await;
        let caller = Caller::new();
        d.vms[0].signal(Signal::TERM).expect("a running process");
        wait_until("unready", async || !d.vms[0].is_ready(&caller).await).await;
        for again in [Signal::TERM, Signal::INT] {
            d.vms[0].signal(again).expect("a running process");
        }
        let status = d.vms[0].wait_for_exit(Duration::from_secs(20)).await;
        assert!(status.expect("it exits").success());
    };
    let (tally, ()) = tokio::join!(load, signals);
    assert_answers_right(&tally);
    assert_eq!((tally.unreachable, tally.answered), (0, tally.asked));
    assert_no_server_violations(&d);
}
