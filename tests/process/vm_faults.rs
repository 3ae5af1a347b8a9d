//! VMs that are killed, paused and restarted under load.

use std::time::Duration;

use gs_rig::deploy::Shape;
use gs_rig::load::Caller;
use gs_rig::load::Fault;
use gs_rig::operator::Operator;
use gs_rig::platform::Control;
use gs_types::prelude::*;
use rstest::rstest;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;

use crate::support::draw_lookup;
use crate::support::run_load;
use crate::support::send_lookup;
use crate::support::start_tiny;
use crate::support::wait_until;

/// Prevents wrong answers, and renewals that run twice, after one of three VMs is killed under load: the other VMs
/// might need state that was only in the killed VM's memory. Only its own requests may be cut off.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_vm_costs_only_its_own_requests() {
    let mut d = start_tiny().await;
    let targets = d.targets(false);
    let rest: Vec<_> = d.vms[1..].iter().map(|v| v.plan().callers).collect();
    let mut killed = d.vms.remove(0);
    let kill = async {
        let seen = async || d.servers.counts().summary().total.runs > 50;
        wait_until("load on the servers", seen).await;
        killed.kill();
        targets.set(rest);
    };
    let (tally, ()) = tokio::join!(
        run_load(&d, targets.clone(), 40.0, Duration::from_secs(3)),
        kill
    );
    let others = tally.faults.keys().filter(|f| **f != Fault::Cut).count();
    assert_eq!(others, 0, "{:?}", tally.faults);
    let seen = d.servers.counts().summary();
    assert_eq!((seen.keys_doubled, seen.total.over_limit), (0, 0));
    for vm in 0..d.vms.len() {
        let reply = send_lookup(&d, vm, &draw_lookup(&d, "placement", 7)).await;
        assert!(reply.page().is_some(), "{reply:?}");
    }
}

/// Prevents a second run of a renewal whose VM is paused before it reads the request, while the renewal is resent
/// through another VM: only the claim on the platform shows the resumed VM that the key is used.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_paused_before_its_claim_does_not_run_a_renewal_again() {
    let d = start_tiny().await;
    let renewal = draw_lookup(&d, "renewal", 1);
    d.vms[0].pause().await.expect("a running process");
    let (first, second) = tokio::join!(send_lookup(&d, 0, &renewal), async {
        let second = send_lookup(&d, 1, &renewal).await;
        d.vms[0].signal(Signal::CONT).expect("a stopped process");
        second
    });
    assert!(second.page().is_some(), "{second:?}");
    assert!(first.page().is_none(), "{first:?}");
    let key = renewal.idempotency_key.expect("a key");
    assert_eq!(d.servers.counts().runs_of_key(&key), 1);
}

/// Prevents a second run of a renewal whose VM is paused with its claim in flight at a slow platform, while the renewal
/// is resent through another VM: a lease or a deadline may expire during the pause. At most one VM may run it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_paused_during_its_claim_does_not_double_a_renewal() {
    let d = start_tiny().await;
    let renewal = draw_lookup(&d, "renewal", 2);
    d.platform.control(Control {
        delay_ms: Some(150),
        ..Control::default()
    });
    let (first, second) = tokio::join!(send_lookup(&d, 0, &renewal), async {
        let claimed = async || !d.platform.paths("claims/").is_empty();
        wait_until("the claim on the platform", claimed).await;
        d.vms[0].signal(Signal::STOP).expect("a running process");
        let second = send_lookup(&d, 1, &renewal).await;
        d.vms[0].signal(Signal::CONT).expect("a stopped process");
        second
    });
    let key = renewal.idempotency_key.clone().expect("a key");
    let runs = d.servers.counts().runs_of_key(&key);
    assert!(runs <= 1, "{runs} runs; {first:?} {second:?}");
    let pages = [&first, &second]
        .iter()
        .filter(|r| r.page().is_some())
        .count();
    assert!(pages <= 1, "{first:?} {second:?}");
}

/// Prevents cut or refused requests in a rolling restart of nine VMs under load: a process might stop accepting before
/// the balancer, which notices readiness late, stops using it, or might exit before its last answer is sent.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_restart_cuts_and_refuses_nothing() {
    let shape = Shape {
        vms_per_site: 3,
        ..Shape::tiny()
    };
    let mut d = crate::support::start(shape, "[shutdown]\nlag = \"1s\"\n").await;
    let targets = d.targets(true);
    let (stop, mut stopped) = tokio::sync::watch::channel(false);
    let checker = d.checker();
    let mut mix = d.mix(crate::support::SEED);
    let load = async {
        let caller = Caller::new();
        let mut requests = tokio::task::JoinSet::new();
        while !*stopped.borrow_and_update() {
            let (lookup, vm) = (mix.draw(), targets.next().expect("a ready VM"));
            let caller = caller.clone();
            requests.spawn(async move { (caller.request(vm, &lookup).await, lookup) });
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        requests.join_all().await
    };
    let restarts = async {
        for vm in 0..d.vms.len() {
            d.vms[vm].signal(Signal::TERM).expect("a running process");
            if vm == 0 {
                d.vms[vm].signal(Signal::TERM).expect("a running process");
            }
            let status = d.vms[vm].wait_for_exit(Duration::from_secs(40)).await;
            assert!(status.expect("it exits").success());
            d.restart(vm).await.expect("it starts again");
        }
        stop.send(true).expect("the load is running");
    };
    let (replies, ()) = tokio::join!(load, restarts);
    for (reply, lookup) in &replies {
        assert_eq!(checker.check(lookup, reply), None, "{reply:?}");
        assert!(reply.page().is_some(), "{reply:?}");
    }
    let coverage = |r: &gs_rig::load::Reply| r.page().map(|p| p.coverage.clone());
    let incomplete = replies
        .iter()
        .filter_map(|(r, _)| coverage(r))
        .filter(|c: &Coverage| !c.is_complete());
    assert_eq!(incomplete.count(), 0);
    assert_eq!(d.servers.counts().summary().total.over_limit, 0);
}

/// Prevents connections above a server's limit after a VM is paused with open connections: the other VMs see it as
/// failed and might be granted its connection share while it still holds the connections.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_vm_leaves_no_server_above_its_connection_limit() {
    let d = start_tiny().await;
    let targets = d.targets(false);
    let rest: Vec<_> = d.vms[1..].iter().map(|v| v.plan().callers).collect();
    targets.set(rest.clone());
    d.vms[0].signal(Signal::STOP).expect("a running process");
    let operator = Operator::new();
    wait_until("the others see the VM as failed", async || {
        let status = operator.status(d.vms[1].plan().admin).await;
        let status = status.expect("a status");
        let is_failed = |v: &Value| v["vm"] == json!(d.vms[0].plan().name) && v["state"] != "alive";
        let vms = status["vms"].as_array();
        vms.is_some_and(|vms| vms.iter().any(is_failed))
    })
    .await;
    let tally = run_load(&d, targets, 60.0, Duration::from_secs(4)).await;
    d.vms[0].signal(Signal::CONT).expect("a stopped process");
    assert_eq!(tally.wrong(), 0, "{:?}", tally.faults);
    assert!(tally.answered > 0);
    wait_until("the paused VM answers again", async || {
        let reply = send_lookup(&d, 0, &draw_lookup(&d, "placement", 9)).await;
        reply.page().is_some()
    })
    .await;
    assert_eq!(d.servers.counts().summary().total.over_limit, 0);
}

/// Prevents a restarted VM that never becomes ready because one stored shard map is malformed: startup waited until
/// every listed map was held, although the peers still have the last valid version of a malformed one.
#[rstest]
#[case::over_a_map_in_use(None)]
#[case::beside_the_others(Some("groups/unreadable"))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shard_map_that_cannot_be_read_keeps_no_new_vm_from_serving(#[case] path: Option<&str>) {
    let mut d = start_tiny().await;
    let in_use = d.platform.paths("groups/");
    let path = path.unwrap_or(in_use.first().expect("a shard map"));
    d.platform.put(path, "no shard map");
    d.restart(0).await.expect("it becomes ready");
    for lookup in ["quote", "placement"] {
        let lookup = draw_lookup(&d, lookup, 12);
        wait_until("a complete page", async || {
            let reply = send_lookup(&d, 0, &lookup).await;
            reply.page().is_some_and(|p| p.coverage.is_complete())
        })
        .await;
    }
}
