//! Entry VMs that are killed, paused and restarted while callers ask.

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

use crate::support::ask;
use crate::support::ask_vm;
use crate::support::load;
use crate::support::tiny;
use crate::support::until;

/// Readers see some requests break off when a VM's process is killed, and nothing else.
/// Load runs through three VMs; one is killed by SIGKILL in the middle of it; the balancer then
/// leaves it out. The cause is the loss of the VM's memory: whatever it knew must not be needed
/// for the others' answers to be right, and no renewal may run twice.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_vm_costs_only_its_own_requests() {
    let mut d = tiny().await;
    let targets = d.targets(false);
    let rest: Vec<_> = d.vms[1..].iter().map(|v| v.plan().callers).collect();
    let mut killed = d.vms.remove(0);
    let kill = async {
        let seen = async || d.servers.counts().summary().total.runs > 50;
        until("load on the servers", seen).await;
        killed.kill();
        targets.set(rest);
    };
    let (tally, ()) = tokio::join!(
        load(&d, targets.clone(), 40.0, Duration::from_secs(3)),
        kill
    );
    let others = tally.faults.keys().filter(|f| **f != Fault::Cut).count();
    assert_eq!(others, 0, "{:?}", tally.faults);
    let seen = d.servers.counts().summary();
    assert_eq!((seen.keys_doubled, seen.total.over_limit), (0, 0));
    for vm in 0..d.vms.len() {
        let reply = ask_vm(&d, vm, &ask(&d, "placement", 7)).await;
        assert!(reply.page().is_some(), "{reply:?}");
    }
}

/// A clerk's renewal seems to hang, so the clerk sends it again through another VM.
/// The first VM is stopped before it reads the request; the second runs it; then the first goes
/// on. The cause is a pause: the first VM cannot know that its time has passed, and only the claim
/// on the platform can tell it that the key is used.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_paused_before_its_claim_does_not_run_a_renewal_again() {
    let d = tiny().await;
    let renewal = ask(&d, "renewal", 1);
    d.vms[0].signal(Signal::STOP).expect("a running process");
    let (first, second) = tokio::join!(ask_vm(&d, 0, &renewal), async {
        let second = ask_vm(&d, 1, &renewal).await;
        d.vms[0].signal(Signal::CONT).expect("a stopped process");
        second
    });
    assert!(second.page().is_some(), "{second:?}");
    assert!(first.page().is_none(), "{first:?}");
    let key = renewal.idempotency_key.expect("a key");
    assert_eq!(d.servers.counts().runs_of_key(&key), 1);
}

/// The same, but the pause comes while the first VM's claim is under way.
/// The platform is slow; the first VM is stopped once its write has reached the platform; the
/// resend goes through another VM; then the first goes on. The cause is a lease or a deadline that
/// lapses in the pause: at most one of the two may run it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_paused_during_its_claim_does_not_double_a_renewal() {
    let d = tiny().await;
    let renewal = ask(&d, "renewal", 2);
    d.platform.control(Control {
        delay_ms: Some(150),
        ..Control::default()
    });
    let (first, second) = tokio::join!(ask_vm(&d, 0, &renewal), async {
        let claimed = async || !d.platform.paths("claims/").is_empty();
        until("the claim on the platform", claimed).await;
        d.vms[0].signal(Signal::STOP).expect("a running process");
        let second = ask_vm(&d, 1, &renewal).await;
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

/// Operators replace every VM, one after another, and no caller notices.
/// Nine VMs serve; each gets SIGTERM (the first one twice), leaves and comes back, under load, with a
/// balancer that follows readiness late. The cause of a cut or a refusal would be a process that
/// stops accepting before the balancer has left it, or exits before its last answer.
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
        let mut asked = tokio::task::JoinSet::new();
        while !*stopped.borrow_and_update() {
            let (ask, vm) = (mix.draw(), targets.next().expect("a ready VM"));
            let caller = caller.clone();
            asked.spawn(async move { (caller.request(vm, &ask).await, ask) });
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        asked.join_all().await
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
        stop.send(true).expect("the load listens");
    };
    let (replies, ()) = tokio::join!(load, restarts);
    for (reply, ask) in &replies {
        assert_eq!(checker.check(ask, reply), None, "{reply:?}");
        assert!(reply.page().is_some(), "{reply:?}");
    }
    let coverage = |r: &gs_rig::load::Reply| r.page().map(|p| p.coverage.clone());
    let thin = replies
        .iter()
        .filter_map(|(r, _)| coverage(r))
        .filter(|c: &Coverage| !c.is_complete());
    assert_eq!(thin.count(), 0);
    assert_eq!(d.servers.counts().summary().total.over_limit, 0);
}

/// Backend servers close connections on VMs that did nothing wrong.
/// One VM is stopped with its connections open; the others take it for lost and share out its
/// connections; then it goes on. The cause would be a share that is given away while its holder,
/// paused, still has the connections.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_vm_leaves_no_server_above_its_connection_limit() {
    let d = tiny().await;
    let targets = d.targets(false);
    let rest: Vec<_> = d.vms[1..].iter().map(|v| v.plan().callers).collect();
    targets.set(rest.clone());
    d.vms[0].signal(Signal::STOP).expect("a running process");
    let operator = Operator::new();
    until("the others miss it", async || {
        let status = operator.status(d.vms[1].plan().admin).await;
        let status = status.expect("a status");
        let missed = |v: &Value| v["vm"] == json!(d.vms[0].plan().name) && v["state"] != "alive";
        let vms = status["vms"].as_array();
        vms.is_some_and(|vms| vms.iter().any(missed))
    })
    .await;
    let tally = load(&d, targets, 60.0, Duration::from_secs(4)).await;
    d.vms[0].signal(Signal::CONT).expect("a stopped process");
    assert_eq!(tally.wrong(), 0, "{:?}", tally.faults);
    assert!(tally.answered > 0);
    until("the paused VM answers again", async || {
        let reply = ask_vm(&d, 0, &ask(&d, "placement", 9)).await;
        reply.page().is_some()
    })
    .await;
    assert_eq!(d.servers.counts().summary().total.over_limit, 0);
}

/// A VM that is replaced never takes lookups, and all others wait for the same fate.
/// A publisher writes something that is no shard map, over a map in use or beside them; the running
/// VMs go on by what they hold; then one is replaced. The cause was a start that waited for every
/// listed map to be held, which one that cannot be read never is, though the peers hold its last.
#[rstest]
#[case::over_a_map_in_use(None)]
#[case::beside_the_others(Some("groups/unreadable"))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shard_map_that_cannot_be_read_keeps_no_new_vm_from_serving(#[case] path: Option<&str>) {
    let mut d = tiny().await;
    let in_use = d.platform.paths("groups/");
    let path = path.unwrap_or(in_use.first().expect("a shard map"));
    d.platform.put(path, "no shard map");
    d.restart(0).await.expect("it becomes ready");
    for lookup in ["quote", "placement"] {
        let lookup = ask(&d, lookup, 12);
        until("a full page", async || {
            let reply = ask_vm(&d, 0, &lookup).await;
            reply.page().is_some_and(|p| p.coverage.is_complete())
        })
        .await;
    }
}
