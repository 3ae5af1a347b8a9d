//! Tests of requests that arrive around the stop of a server.

use std::time::Duration;

use super::common::Client;
use super::common::get;
use super::common::limits;
use super::common::start;
use super::common::wait_until;

/// A stop that waits for first requests must not wait for connections on which none comes.
#[tokio::test]
async fn idle_connections_are_closed_at_stop() {
    let s = start(limits()).await;
    let unused = Client::connect(s.addr);
    let mut kept = Client::connect(s.addr);
    kept.write(&get("/"));
    let (kept, _) = kept.read_response().await;
    wait_until("accepted", || s.state.open() == 2).await;
    s.stop.send(true).expect("running");
    let ended = tokio::time::timeout(Duration::from_secs(2), s.running).await;
    assert!(ended.is_ok(), "the server did not end");
    assert_eq!(unused.read_to_end().await, "");
    assert_eq!(kept.read_to_end().await, "");
}

/// A response that is in progress at the stop ends its connection once it is written, without waiting for the idle timeout.
#[tokio::test]
async fn a_connection_ends_after_the_response_in_progress_at_stop() {
    let s = start(limits()).await;
    let mut client = Client::connect(s.addr);
    client.write(&get("/release"));
    s.handler.arrived.notified().await;
    s.stop.send(true).expect("running");
    tokio::time::sleep(Duration::from_millis(20)).await;
    s.handler.release.notify_waiters();
    let res = client.read_to_end().await;
    assert!(res.starts_with("HTTP/1.1 200 OK\r\n"), "`{res}`");
    let ended = tokio::time::timeout(Duration::from_secs(2), s.running).await;
    assert!(ended.is_ok(), "the server did not end");
}
