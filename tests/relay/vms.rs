//! VMs that are stopped, killed, paused or instructed to reload their settings.

use std::time::Duration;

use gs_rig::site::BackendFaults;
use gs_rig::site::CallOutcome;
use rustix::process::Signal;

use crate::support::TestSite;
use crate::support::assert_all;
use crate::support::is_complete;
use crate::support::is_right;
use crate::support::start_site;

/// Prevents requests cut off by a graceful shutdown.
#[tokio::test]
async fn a_terminated_vm_answers_all_requests_before_it_exits() {
    let mut r = start_site().await;
    let route = r.route("/page/");
    let addr = r.site.vms[0].plan().callers;
    let requests: Vec<_> = (0..20)
        .map(|n| {
            let (caller, route) = (r.caller.clone(), route.clone());
            tokio::spawn(async move { caller.request(addr, &route, &format!("t{n}")).await })
        })
        .collect();
    r.site.vms[0].signal(Signal::TERM);
    for request in requests {
        let answer = request.await.expect("the task ends");
        assert!(is_right(&answer.outcome), "{answer:?}");
    }
    let code = r.site.vms[0].wait_for_exit(Duration::from_secs(6)).await;
    assert_eq!(code.expect("it ends"), Some(0));
}

/// Prevents pages with missing shards in every data centre for as long as one VM is down: peers might keep waiting for
/// the parts delegated to it.
#[tokio::test]
async fn pages_continue_while_a_vm_is_killed_and_after_it_restarts() {
    let mut r = start_site().await;
    let route = r.route("/page/");
    assert_all(&r.request_all(5, &route).await, is_complete);
    r.kill(2).await;
    for n in 0..10 {
        let answer = r.request(n % 2, &route).await;
        assert!(is_right(&answer.outcome), "{answer:?}");
    }
    r.restart(2).await;
    for vm in 0..3 {
        r.wait_until_complete(vm, &route, Duration::from_secs(10))
            .await;
    }
}

/// Prevents a VM that crashed without notice from staying listed: parts would still be delegated to it and its share of
/// the servers' connections would stay unused. The other VMs remove it once it no longer renews its announcement.
#[tokio::test]
async fn a_vm_lost_without_notice_is_removed_from_the_list_and_a_paused_one_returns() {
    let mut r = start_site().await;
    let listed = |r: &TestSite| r.site.store.names("gentiansill-vms").len();
    r.wait_until("all VMs to be listed", |r| listed(r) == 3)
        .await;
    r.site.vms[2].signal(Signal::STOP);
    r.wait_until("the removal of one VM", |r| listed(r) == 2)
        .await;
    r.site.vms[2].signal(Signal::CONT);
    r.wait_until("the paused VM to be listed again", |r| listed(r) == 3)
        .await;
    r.kill(1).await;
    r.wait_until("the removal of one VM", |r| listed(r) == 2)
        .await;
    assert!(r.logs().contains("event=vm-removed"));
}

/// Prevents incomplete pages while a paused VM holds bundles of its peers: only its silence shows that it is paused.
#[tokio::test]
async fn pages_continue_while_a_vm_is_paused() {
    let mut r = start_site().await;
    let route = r.route("/page/");
    assert_all(&r.request_all(5, &route).await, is_complete);
    r.site.vms[1].signal(Signal::STOP);
    let mut complete = 0;
    for n in 0..12 {
        let answer = r.request((n % 2) * 2, &route).await;
        assert!(
            !matches!(answer.outcome, CallOutcome::Wrong(_)),
            "{answer:?}"
        );
        complete += usize::from(is_complete(&answer.outcome));
    }
    r.site.vms[1].signal(Signal::CONT);
    assert!(complete >= 6, "only {complete} of 12 were complete");
    for vm in 0..3 {
        r.wait_until_complete(vm, &route, Duration::from_secs(10))
            .await;
    }
}

/// Prevents a syntax error in the settings file from stopping a running VM that reloads it.
#[tokio::test]
async fn settings_that_cannot_be_read_change_nothing() {
    let mut r = start_site().await;
    std::fs::write(r.site.vms[0].settings(), "[vm\n").expect("the file");
    r.site.vms[0].signal(Signal::HUP);
    let end = tokio::time::Instant::now() + Duration::from_secs(5);
    while !r.logs().contains("event=settings-refused") {
        assert!(
            tokio::time::Instant::now() < end,
            "the refusal is not logged"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let route = r.route("/page/");
    assert_all(&r.request_all(2, &route).await, is_complete);
}

/// Prevents a page that misses shards whose answers arrived while its VM was paused.
#[tokio::test]
async fn a_page_after_a_pause_of_its_vm_is_complete() {
    let mut r = start_site().await;
    let route = r.route("/page/");
    assert_all(&r.request_all(5, &route).await, is_complete);
    let stall = BackendFaults {
        pause: Some(Duration::from_millis(150)),
        ..BackendFaults::default()
    };
    r.site.backends.iter().for_each(|b| b.set_faults(stall));
    for round in 0..5 {
        let (caller, route) = (r.caller.clone(), route.clone());
        let vm = &r.site.vms[round % 3];
        let addr = vm.plan().callers;
        let id = format!("paused-{round}");
        let request = tokio::spawn(async move { caller.request(addr, &route, &id).await });
        tokio::time::sleep(Duration::from_millis(50)).await;
        vm.signal(Signal::STOP);
        tokio::time::sleep(Duration::from_millis(600)).await;
        vm.signal(Signal::CONT);
        assert_all(&[request.await.expect("it does not panic")], is_complete);
    }
}
