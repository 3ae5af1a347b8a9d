//! Tests of requests that arrive around the stop of a server.

use std::time::Duration;

use super::common::Client;
use super::common::WAIT_MAX;
use super::common::get;
use super::common::limits;
use super::common::start;
use super::common::wait_until;

/// A request in the socket buffer of a kept connection was closed without an answer at the stop.
#[tokio::test]
async fn a_request_in_the_buffer_of_a_kept_connection_is_answered_at_stop() {
    let s = start(limits()).await;
    let mut clients = Vec::new();
    for _ in 0..8 {
        let mut client = Client::connect(s.addr);
        client.write(&get("/"));
        let (client, res) = client.read_response().await;
        assert!(res.starts_with("HTTP/1.1 200 OK\r\n"), "{res}");
        clients.push(client);
    }
    for client in &mut clients {
        client.write(&get("/"));
    }
    s.stop.send(true).expect("running");
    for client in clients {
        let res = client.read_to_end().await;
        assert!(res.starts_with("HTTP/1.1 200 OK\r\n"), "`{res}`");
        assert!(res.contains("connection: close\r\n"), "{res}");
    }
    let ended = tokio::time::timeout(WAIT_MAX, s.running).await;
    assert!(ended.is_ok(), "the server did not end");
}

/// Half of a head on a kept connection was closed without an answer at the stop, and the other half met a closed socket.
#[tokio::test]
async fn a_head_that_is_half_received_is_answered_at_stop() {
    let s = start(limits()).await;
    let mut client = Client::connect(s.addr);
    client.write(&get("/"));
    let (mut client, _) = client.read_response().await;
    let req = get("/");
    let (first, rest) = req.split_at(10);
    client.write(first);
    tokio::time::sleep(Duration::from_millis(50)).await;
    s.stop.send(true).expect("running");
    tokio::time::sleep(Duration::from_millis(50)).await;
    client.write(rest);
    let res = client.read_to_end().await;
    assert!(res.starts_with("HTTP/1.1 200 OK\r\n"), "`{res}`");
}

/// Connections that the kernel had accepted and the process had not were reset at the stop.
#[tokio::test]
async fn the_accept_queue_is_answered_at_stop() {
    let s = start(limits()).await;
    tokio::task::yield_now().await;
    let mut clients = Vec::new();
    for _ in 0..16 {
        let mut client = Client::connect(s.addr);
        client.write(&get("/"));
        clients.push(client);
    }
    s.stop.send(true).expect("running");
    for client in clients {
        let res = client.read_to_end().await;
        assert!(res.starts_with("HTTP/1.1 200 OK\r\n"), "`{res}`");
    }
    let ended = tokio::time::timeout(WAIT_MAX, s.running).await;
    assert!(ended.is_ok(), "the server did not end");
}

/// Connections beyond the limit wait in the accept queue, and were reset at the stop.
#[tokio::test]
async fn connections_beyond_the_limit_are_answered_at_stop() {
    let s = start(gs_http::Limits {
        connections_max: 2,
        ..limits()
    })
    .await;
    let mut holders = Vec::new();
    for _ in 0..2 {
        let mut client = Client::connect(s.addr);
        client.write(&get("/release"));
        s.handler.arrived.notified().await;
        holders.push(client);
    }
    let mut clients = Vec::new();
    for _ in 0..4 {
        let mut client = Client::connect(s.addr);
        client.write(&get("/"));
        clients.push(client);
    }
    s.stop.send(true).expect("running");
    tokio::time::sleep(Duration::from_millis(50)).await;
    s.handler.release.notify_waiters();
    for client in holders.into_iter().chain(clients) {
        let res = client.read_to_end().await;
        assert!(res.starts_with("HTTP/1.1 200 OK\r\n"), "`{res}`");
    }
}

/// A connection from the accept queue whose request was still on its way was reset at the stop.
#[tokio::test]
async fn the_first_request_of_a_connection_may_come_just_after_the_stop() {
    let s = start(limits()).await;
    tokio::task::yield_now().await;
    let mut client = Client::connect(s.addr);
    s.stop.send(true).expect("running");
    tokio::time::sleep(Duration::from_millis(20)).await;
    client.write(&get("/"));
    let res = client.read_to_end().await;
    assert!(res.starts_with("HTTP/1.1 200 OK\r\n"), "`{res}`");
}

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

/// A request in the socket buffer was closed without an answer when the idle timeout expired at the same time.
#[tokio::test]
async fn a_request_that_arrives_as_the_idle_timeout_expires_is_answered() {
    let s = start(gs_http::Limits {
        idle_timeout: Duration::from_millis(100),
        ..limits()
    })
    .await;
    let mut clients = Vec::new();
    for _ in 0..8 {
        let mut client = Client::connect(s.addr);
        client.write(&get("/"));
        clients.push(client.read_response().await.0);
    }
    // The runtime sees the timer and the bytes in one step.
    std::thread::sleep(Duration::from_millis(200));
    for client in &mut clients {
        client.write(&get("/"));
    }
    for client in clients {
        let (_, res) = client.read_response().await;
        assert!(res.starts_with("HTTP/1.1 200 OK\r\n"), "`{res}`");
    }
}

/// A request was closed without an answer whose beginning was received together with the request before it.
#[tokio::test]
async fn half_of_a_pipelined_head_is_answered_at_stop() {
    let s = start(limits()).await;
    let mut client = Client::connect(s.addr);
    let req = get("/");
    let (first, rest) = req.split_at(10);
    client.write(&format!("{req}{first}"));
    let (mut client, _) = client.read_response().await;
    tokio::time::sleep(Duration::from_millis(150)).await;
    s.stop.send(true).expect("running");
    tokio::time::sleep(Duration::from_millis(50)).await;
    client.write(rest);
    let res = client.read_to_end().await;
    assert!(res.starts_with("HTTP/1.1 200 OK\r\n"), "`{res}`");
}
