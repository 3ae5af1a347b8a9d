//! Backend servers that pause, crash, spoil answers or leave.

use std::time::Duration;

use gs_rig::site::BackendFaults;
use gs_rig::site::CallOutcome;
use rstest::rstest;

use crate::support::all;
use crate::support::is_right;
use crate::support::is_whole;
use crate::support::site;

/// A page misses its objective, as one server pauses for longer than that.
#[tokio::test]
async fn a_page_does_not_wait_for_a_stalled_server() {
    let mut r = site().await;
    let route = r.route("/page/");
    all(&r.ask_all(5, &route).await, is_whole);
    let pauses = BackendFaults {
        pause: Some(Duration::from_secs(2)),
        ..BackendFaults::default()
    };
    r.site
        .backend("i-shard0-0")
        .expect("a server")
        .set_faults(pauses);
    let begun = tokio::time::Instant::now();
    let answers = r.ask_all(2, &route).await;
    all(&answers, is_whole);
    assert!(
        begun.elapsed() < Duration::from_secs(3),
        "{:?}",
        begun.elapsed()
    );
}

/// A page holds lines that no server of ours has sent for it, or counts a shard that sent nothing.
#[rstest]
#[case::answer_lost(BackendFaults { loses: true, ..BackendFaults::default() })]
#[case::truncated(BackendFaults { truncates: true, ..BackendFaults::default() })]
#[case::answer_to_another_request(BackendFaults { crosses: true, ..BackendFaults::default() })]
#[case::error_response(BackendFaults { fails: true, ..BackendFaults::default() })]
#[case::shed(BackendFaults { sheds: true, ..BackendFaults::default() })]
#[tokio::test]
async fn pages_are_complete_while_servers_return_bad_answers(#[case] faults: BackendFaults) {
    let mut r = site().await;
    let route = r.route("/page/");
    for shard in [0, 3] {
        let id = format!("i-shard{shard}-0");
        r.site.backend(&id).expect("a server").set_faults(faults);
    }
    all(&r.ask_all(8, &route).await, is_whole);
}

/// A shard stays lost after its servers are back.
#[tokio::test]
async fn a_crashed_shard_is_reported_missing_and_returns_with_its_servers() {
    let mut r = site().await;
    let route = r.route("/page/");
    for copy in 0..2 {
        r.site
            .backend(&format!("i-shard1-{copy}"))
            .expect("a server")
            .crash();
    }
    all(&r.ask_all(6, &route).await, is_right);
    for copy in 0..2 {
        let server = r
            .site
            .backend(&format!("i-shard1-{copy}"))
            .expect("a server");
        server.restart().await.expect("it starts again");
    }
    for vm in 0..3 {
        r.until_whole(vm, &route, Duration::from_secs(10)).await;
    }
}

/// A server that says it leaves is given work for seconds.
#[tokio::test]
async fn a_draining_server_gets_no_new_work() {
    let mut r = site().await;
    let route = r.route("/page/");
    all(&r.ask_all(3, &route).await, is_whole);
    let leaving = r.site.backends.iter().position(|b| b.id() == "i-shard2-0");
    let leaving = leaving.expect("a server");
    r.site.backends[leaving].register(&r.site.store, "draining");
    let end = tokio::time::Instant::now() + Duration::from_secs(3);
    loop {
        r.clear_runs();
        all(&r.ask_all(3, &route).await, is_whole);
        if !r.busy().contains("i-shard2-0") {
            break;
        }
        assert!(tokio::time::Instant::now() < end, "it still gets work");
    }
    all(&r.ask_all(3, &route).await, is_whole);
    assert!(!r.busy().contains("i-shard2-0"));
}

/// One search takes every shard down again each time its reader repeats it, at whatever VM.
#[tokio::test]
async fn a_request_that_crashes_servers_is_refused_at_every_vm() {
    let r = site().await;
    let route = r.route("/page/");
    let loses = BackendFaults {
        loses: true,
        ..BackendFaults::default()
    };
    r.site.backends.iter().for_each(|b| b.set_faults(loses));
    let first = r.site.vms[0].plan().callers;
    let answer = r.caller.request(first, &route, "poison").await;
    assert!(!is_right(&answer.outcome), "{answer:?}");
    let well = BackendFaults::default();
    r.site.backends.iter().for_each(|b| b.set_faults(well));
    for vm in &r.site.vms {
        let addr = vm.plan().callers;
        let end = tokio::time::Instant::now() + Duration::from_secs(4);
        loop {
            let answer = r.caller.request(addr, &route, "poison").await;
            if matches!(answer.outcome, CallOutcome::NotRun(Some(_))) {
                break;
            }
            assert!(tokio::time::Instant::now() < end, "{answer:?}");
        }
    }
}
