//! Tests that the log names each request that was read and not answered, and why.

use std::io::Write;
use std::time::Duration;

use rstest::rstest;

use super::common::Client;
use super::common::get;
use super::common::keep_log;
use super::common::limits;
use super::common::lines_of;
use super::common::start;
use super::common::wait_until;

/// A connection that ended without an answer left no line that tells in which phase and why.
#[rstest]
#[case::head_timeout("GET / HT", false, "phase=head", "cause=timeout")]
#[case::head_of_a_caller_that_left("GET / HT", true, "phase=head", "cause=caller-closed")]
#[case::caller_that_left(
    "GET /hold HTTP/1.1\r\nhost: x\r\n\r\n",
    true,
    "phase=handler",
    "cause=caller-closed"
)]
#[tokio::test]
async fn an_unanswered_request_leaves_a_line(
    #[case] bytes: &str,
    #[case] leaves: bool,
    #[case] phase: &str,
    #[case] cause: &str,
) {
    keep_log();
    let s = start(gs_http::Limits {
        header_timeout: Duration::from_millis(200),
        ..limits()
    })
    .await;
    let mut client = Client::connect(s.addr);
    client.write(bytes);
    let peer = client.addr();
    wait_until("accepted", || s.state.accepted() == 1).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let kept = (!leaves).then_some(client);
    wait_until("closed", || s.state.open() == 0).await;
    drop(kept);
    let lines = lines_of(peer);
    let is_named = |l: &String| {
        l.starts_with("INFO event=request-unanswered ")
            && [phase, cause, "after_ms="].iter().all(|s| l.contains(s))
    };
    assert_eq!(lines.iter().filter(|l| is_named(l)).count(), 1, "{lines:?}");
}

/// A process that ended with requests in progress left no line about them.
#[test]
fn a_request_cut_by_the_end_of_the_process_leaves_a_line() {
    keep_log();
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    let client = rt.block_on(async {
        let s = start(limits()).await;
        let mut client = Client::connect(s.addr);
        client.write(&get("/hold"));
        s.handler.arrived.notified().await;
        s.stop.send(true).expect("running");
        client
    });
    drop(rt);
    let lines = lines_of(client.addr());
    let is_named = |l: &&String| l.contains("phase=handler") && l.contains("cause=stop");
    assert_eq!(lines.iter().filter(is_named).count(), 1, "{lines:?}");
}

/// Connections that end while idle, or with a complete response, must not fill the log.
#[tokio::test]
async fn an_idle_connection_ends_without_a_line() {
    keep_log();
    let s = start(gs_http::Limits {
        idle_timeout: Duration::from_millis(100),
        ..limits()
    })
    .await;
    let mut clients = Vec::new();
    for _ in 0..3 {
        let mut client = Client::connect(s.addr);
        client.write(&get("/"));
        let (client, _) = client.read_response().await;
        clients.push(client);
    }
    let peers: Vec<_> = clients.iter().map(Client::addr).collect();
    // One leaves, one asks for the close with its last request, one exceeds the idle timeout.
    drop(clients.pop());
    let closing = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let (client, written) = clients
        .pop()
        .expect("three clients")
        .run(|tcp| tcp.write_all(closing.as_bytes()))
        .await;
    assert!(written.is_ok(), "{written:?}");
    assert!(client.read_to_end().await.starts_with("HTTP/1.1 200 OK"));
    wait_until("closed", || s.state.open() == 0).await;
    for peer in peers {
        let lines = lines_of(peer);
        assert!(lines.is_empty(), "{lines:?}");
    }
}
