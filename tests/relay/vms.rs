//! VMs that are stopped, killed, frozen or told to read their settings again.

use std::time::Duration;

use gs_rig::site::BackendFaults;
use gs_rig::site::CallOutcome;
use rustix::process::Signal;

use crate::support::Running;
use crate::support::all;
use crate::support::is_right;
use crate::support::is_whole;
use crate::support::site;

/// A reader's request is cut by a planned restart.
#[tokio::test]
async fn a_terminated_vm_answers_all_requests_before_it_exits() {
    let mut r = site().await;
    let route = r.route("/page/");
    let addr = r.site.vms[0].plan().callers;
    let asked: Vec<_> = (0..20)
        .map(|n| {
            let (caller, route) = (r.caller.clone(), route.clone());
            tokio::spawn(async move { caller.request(addr, &route, &format!("t{n}")).await })
        })
        .collect();
    r.site.vms[0].signal(Signal::TERM);
    for a in asked {
        let answer = a.await.expect("the task ends");
        assert!(is_right(&answer.outcome), "{answer:?}");
    }
    let code = r.site.vms[0].wait_for_exit(Duration::from_secs(6)).await;
    assert_eq!(code.expect("it ends"), Some(0));
}

/// Readers of every data centre lose shards for as long as one VM is away: what peers asked it for is
/// waited for in vain.
#[tokio::test]
async fn pages_continue_while_a_vm_is_killed_and_after_it_restarts() {
    let mut r = site().await;
    let route = r.route("/page/");
    all(&r.ask_all(5, &route).await, is_whole);
    r.kill(2).await;
    for n in 0..10 {
        let answer = r.ask(n % 2, &route).await;
        assert!(is_right(&answer.outcome), "{answer:?}");
    }
    r.start(2).await;
    for vm in 0..3 {
        r.until_whole(vm, &route, Duration::from_secs(10)).await;
    }
}

/// A VM loses power and stays in the list of VMs for good: pages are left to it, and its part of what
/// servers accept is never used again. The others see that it no longer renews, and take it out.
#[tokio::test]
async fn a_vm_lost_without_notice_is_removed_from_the_list_and_a_paused_one_returns() {
    let mut r = site().await;
    let listed = |r: &Running| r.site.store.names("gentiansill-vms").len();
    r.until("all are listed", |r| listed(r) == 3).await;
    r.site.vms[2].signal(Signal::STOP);
    r.until("one is taken out", |r| listed(r) == 2).await;
    r.site.vms[2].signal(Signal::CONT);
    r.until("it is back", |r| listed(r) == 3).await;
    r.kill(1).await;
    r.until("one is taken out", |r| listed(r) == 2).await;
    assert!(r.logs().contains("event=vm-removed"));
}

/// A VM stands still with bundles of others: nothing tells of it but silence.
#[tokio::test]
async fn pages_continue_while_a_vm_is_paused() {
    let mut r = site().await;
    let route = r.route("/page/");
    all(&r.ask_all(5, &route).await, is_whole);
    r.site.vms[1].signal(Signal::STOP);
    let mut whole = 0;
    for n in 0..12 {
        let answer = r.ask((n % 2) * 2, &route).await;
        assert!(
            !matches!(answer.outcome, CallOutcome::Wrong(_)),
            "{answer:?}"
        );
        whole += usize::from(is_whole(&answer.outcome));
    }
    r.site.vms[1].signal(Signal::CONT);
    assert!(whole >= 6, "only {whole} of 12 were whole");
    for vm in 0..3 {
        r.until_whole(vm, &route, Duration::from_secs(10)).await;
    }
}

/// A typing error in the settings takes a running VM down.
#[tokio::test]
async fn settings_that_cannot_be_read_change_nothing() {
    let mut r = site().await;
    std::fs::write(r.site.vms[0].settings(), "[vm\n").expect("the file");
    r.site.vms[0].signal(Signal::HUP);
    let end = tokio::time::Instant::now() + Duration::from_secs(5);
    while !r.logs().contains("event=settings-refused") {
        assert!(tokio::time::Instant::now() < end, "no line tells of it");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let route = r.route("/page/");
    all(&r.ask_all(2, &route).await, is_whole);
}

/// A page lacks shards whose answers had come to its VM while that stood still.
#[tokio::test]
async fn a_page_after_a_pause_of_its_vm_is_complete() {
    let mut r = site().await;
    let route = r.route("/page/");
    all(&r.ask_all(5, &route).await, is_whole);
    let pauses = BackendFaults {
        pause: Some(Duration::from_millis(150)),
        ..BackendFaults::default()
    };
    r.site.backends.iter().for_each(|b| b.set_faults(pauses));
    for round in 0..5 {
        let (caller, route) = (r.caller.clone(), route.clone());
        let vm = &r.site.vms[round % 3];
        let addr = vm.plan().callers;
        let id = format!("frozen-{round}");
        let asked = tokio::spawn(async move { caller.request(addr, &route, &id).await });
        tokio::time::sleep(Duration::from_millis(50)).await;
        vm.signal(Signal::STOP);
        tokio::time::sleep(Duration::from_millis(600)).await;
        vm.signal(Signal::CONT);
        all(&[asked.await.expect("it does not panic")], is_whole);
    }
}
