//! Requests that a VM has, or gets, while it shuts down with the stop times of a deployment.

use std::time::Duration;
use std::time::Instant;

use gs_rig::site::Answer;
use gs_rig::site::BackendFaults;
use gs_rig::site::CallOutcome;
use gs_rig::site::ShutdownTimes;
use gs_rig::site::SiteCaller;
use gs_rig::site::SiteRoute;
use rstest::rstest;
use rustix::process::Signal;
use tokio::task::JoinHandle;

use crate::support::TestSite;
use crate::support::is_right;
use crate::support::start_site_with_shutdown;

/// The stop times of the deployments: the balancer's two probes, and the time until a process is killed.
const DEPLOYED: ShutdownTimes = ShutdownTimes {
    lag: Duration::from_millis(2500),
    grace: Duration::from_secs(6),
};

/// How long callers wait, and the timeout of their routes; longer than a shutdown.
const PATIENCE: Duration = Duration::from_secs(8);

/// When requests are sent, in milliseconds from SIGTERM.
const SENT_AT_MS: [i64; 14] = [
    -2000, -10, 100, 1000, 2300, 2480, 2495, 2520, 3000, 4000, 5000, 5350, 5390, 5395,
];

/// Starts three VMs with the stop times of the deployments and routes on which requests may outlast a shutdown.
async fn start() -> TestSite {
    let mut r = start_site_with_shutdown(DEPLOYED).await;
    r.site.configure(|cfg| {
        for route in &mut cfg.routes {
            route.timeout_ms = PATIENCE.as_millis() as u64;
        }
    });
    tokio::time::sleep(crate::support::CONFIG_APPLY_MAX).await;
    r
}

/// Sends a request on a kept connection at a time from now on; returns its answer and when that came.
fn send_at(
    caller: &SiteCaller,
    (r, vm): (&TestSite, usize),
    route: &SiteRoute,
    after: Duration,
    id: String,
) -> JoinHandle<(Answer, Instant)> {
    let (caller, route) = (caller.clone(), route.clone());
    let addr = r.site.vms[vm].plan().callers;
    tokio::spawn(async move {
        tokio::time::sleep(after).await;
        (caller.request(addr, &route, &id).await, Instant::now())
    })
}

/// Creates callers that have each kept a connection to a VM open.
async fn connected_callers(r: &TestSite, vm: usize, count: usize) -> Vec<SiteCaller> {
    let route = r.route("/one/");
    let addr = r.site.vms[vm].plan().callers;
    let mut callers = Vec::new();
    for n in 0..count {
        let caller = r.site.caller().with_deadline(PATIENCE);
        let answer = caller.request(addr, &route, &format!("first-{n}")).await;
        assert!(is_right(&answer.outcome), "{answer:?}");
        callers.push(caller);
    }
    callers
}

/// Prevents requests that end without an answer when a VM is stopped while their servers are slow.
#[rstest]
#[case::idempotent("/one/")]
#[case::at_most_once("/once/")]
#[tokio::test]
async fn requests_at_slow_servers_are_answered_before_a_stopped_vm_exits(#[case] prefix: &str) {
    let mut r = start().await;
    let callers = connected_callers(&r, 0, SENT_AT_MS.len()).await;
    let hold = BackendFaults {
        hold: Some(Duration::from_secs(20)),
        ..BackendFaults::default()
    };
    r.site.backends.iter().for_each(|b| b.set_faults(hold));
    let route = r.route(prefix);
    let until_term = Duration::from_millis(SENT_AT_MS[0].unsigned_abs());
    let requests: Vec<_> = { callers.iter().zip(SENT_AT_MS).enumerate() }
        .map(|(n, (caller, at))| {
            let after = Duration::from_millis((at - SENT_AT_MS[0]).unsigned_abs());
            send_at(caller, (&r, 0), &route, after, format!("held-{n}"))
        })
        .collect();
    tokio::time::sleep(until_term).await;
    let term = Instant::now();
    r.site.vms[0].signal(Signal::TERM);
    for (request, at) in requests.into_iter().zip(SENT_AT_MS) {
        let (answer, answered) = request.await.expect("the task ends");
        let took = answered.saturating_duration_since(term);
        let seen = format!("sent at {at} ms, {answer:?} at {took:?}\n{}", r.log("vm-0"));
        match answer.outcome {
            CallOutcome::NotRun(retry) => {
                assert!(retry.is_some(), "{seen}");
                assert_eq!(r.count_runs(&answer.id), 0, "{seen}");
            }
            CallOutcome::Failed(status) => assert!([502, 504].contains(&status), "{seen}"),
            _ => panic!("{seen}"),
        }
        assert!(took < DEPLOYED.grace, "{seen}");
    }
    let code = r.site.vms[0].wait_for_exit(DEPLOYED.grace).await;
    assert_eq!(code.expect("it ends"), Some(0));
    assert!(term.elapsed() < DEPLOYED.grace, "{:?}", term.elapsed());
}

/// Prevents callers from losing requests on kept connections when a VM stops accepting, while it could still serve them.
#[tokio::test]
async fn requests_on_kept_connections_are_served_until_a_stopped_vm_exits() {
    let mut r = start().await;
    let callers = connected_callers(&r, 0, 250).await;
    let route = r.route("/one/");
    let requests: Vec<_> = { callers.iter().enumerate() }
        .map(|(n, caller)| {
            let after = Duration::from_millis(20 * n as u64);
            send_at(caller, (&r, 0), &route, after, format!("kept-{n}"))
        })
        .collect();
    r.site.vms[0].signal(Signal::TERM);
    for request in requests {
        let (answer, _) = request.await.expect("the task ends");
        assert!(is_right(&answer.outcome), "{answer:?}");
    }
    let code = r.site.vms[0].wait_for_exit(DEPLOYED.grace).await;
    assert_eq!(code.expect("it ends"), Some(0));
}

/// Prevents callers from being turned away by all VMs at once when all are stopped together.
#[tokio::test]
async fn new_connections_are_served_while_all_vms_are_stopped() {
    let r = start().await;
    let route = r.route("/one/");
    let requests: Vec<_> = (0..150)
        .map(|n| {
            let after = Duration::from_millis(30 * n as u64);
            let caller = r.site.caller().with_deadline(PATIENCE);
            send_at(&caller, (&r, n % 3), &route, after, format!("new-{n}"))
        })
        .collect();
    r.site.vms.iter().for_each(|vm| vm.signal(Signal::TERM));
    for request in requests {
        let (answer, _) = request.await.expect("the task ends");
        assert!(is_right(&answer.outcome), "{answer:?}");
    }
}
