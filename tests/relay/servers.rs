//! Backend servers that stall, crash, drain or send bad answers.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_rig::site::BackendFaults;
use gs_rig::site::CallOutcome;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::support::assert_all;
use crate::support::is_complete;
use crate::support::is_right;
use crate::support::start_site;

/// Prevents a page from missing its objective because one server stalls for longer than that.
#[tokio::test]
async fn a_page_does_not_wait_for_a_stalled_server() {
    let mut r = start_site().await;
    let route = r.route("/page/");
    assert_all(&r.request_all(5, &route).await, is_complete);
    let stall = BackendFaults {
        pause: Some(Duration::from_secs(2)),
        ..BackendFaults::default()
    };
    r.site
        .backend("i-shard0-0")
        .expect("a server")
        .set_faults(stall);
    let start = tokio::time::Instant::now();
    let answers = r.request_all(2, &route).await;
    assert_all(&answers, is_complete);
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
}

/// Prevents a page with lines that no server sent for it, or that counts a shard whose answer was lost, truncated,
/// without an end, failed or refused.
#[rstest]
#[case::answer_lost(BackendFaults { loses: true, ..BackendFaults::default() })]
#[case::truncated(BackendFaults { truncates: true, ..BackendFaults::default() })]
#[case::body_without_end(BackendFaults { endless: true, ..BackendFaults::default() })]
#[case::answer_to_another_request(BackendFaults { crosses: true, ..BackendFaults::default() })]
#[case::error_response(BackendFaults { fails: true, ..BackendFaults::default() })]
#[case::shed(BackendFaults { sheds: true, ..BackendFaults::default() })]
#[tokio::test]
async fn pages_are_complete_while_servers_return_bad_answers(#[case] faults: BackendFaults) {
    let mut r = start_site().await;
    let route = r.route("/page/");
    for shard in [0, 3] {
        let id = format!("i-shard{shard}-0");
        r.site.backend(&id).expect("a server").set_faults(faults);
    }
    assert_all(&r.request_all(8, &route).await, is_complete);
}

/// Prevents a shard from staying missing after its crashed servers have restarted.
#[tokio::test]
async fn a_crashed_shard_is_reported_missing_and_returns_with_its_servers() {
    let mut r = start_site().await;
    let route = r.route("/page/");
    for replica in 0..2 {
        r.site
            .backend(&format!("i-shard1-{replica}"))
            .expect("a server")
            .crash();
    }
    assert_all(&r.request_all(6, &route).await, is_right);
    for replica in 0..2 {
        let server = r
            .site
            .backend(&format!("i-shard1-{replica}"))
            .expect("a server");
        server.restart().await.expect("it starts again");
    }
    for vm in 0..3 {
        r.wait_until_complete(vm, &route, Duration::from_secs(10))
            .await;
    }
}

/// Prevents requests at a server more than 3 s after it registered as draining.
#[tokio::test]
async fn a_draining_server_gets_no_new_work() {
    let mut r = start_site().await;
    let route = r.route("/page/");
    assert_all(&r.request_all(3, &route).await, is_complete);
    let draining = r.site.backends.iter().position(|b| b.id() == "i-shard2-0");
    let draining = draining.expect("a server");
    r.site.backends[draining].register(&r.site.store, "draining");
    let end = tokio::time::Instant::now() + Duration::from_secs(3);
    loop {
        r.clear_runs();
        assert_all(&r.request_all(3, &route).await, is_complete);
        if !r.busy_servers().contains("i-shard2-0") {
            break;
        }
        assert!(
            tokio::time::Instant::now() < end,
            "the draining server still gets requests"
        );
    }
    assert_all(&r.request_all(3, &route).await, is_complete);
    assert!(!r.busy_servers().contains("i-shard2-0"));
}

/// Prevents a faulty server's `101` from being relayed, which ends the caller's connection.
#[tokio::test]
async fn switching_protocols_is_no_answer() {
    let mut r = start_site().await;
    let route = r.route("/once/");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let asked = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&asked);
    tokio::spawn(async move {
        while let Ok((mut tcp, _)) = listener.accept().await {
            let count = Arc::clone(&count);
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                while tcp.read(&mut buf).await.is_ok_and(|read| read > 0) {
                    count.fetch_add(1, Ordering::Relaxed);
                    let reply = b"HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n";
                    if tcp.write_all(reply).await.is_err() {
                        break;
                    }
                }
            });
        }
    });
    let entry = json!({"backend": route.services[0], "address": addr.to_string(), "zone": "east", "max_concurrent": 2, "state": "ready"});
    r.site.store.put("servers", "i-odd", entry);
    let end = tokio::time::Instant::now() + Duration::from_secs(10);
    while asked.load(Ordering::Relaxed) == 0 {
        for answer in r.request_all(2, &route).await {
            let is_answered = matches!(
                answer.outcome,
                CallOutcome::Right(0) | CallOutcome::Failed(502)
            );
            assert!(is_answered, "{answer:?}");
        }
        assert!(tokio::time::Instant::now() < end, "the server is not asked");
    }
}
