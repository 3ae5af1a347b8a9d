//! Tests of handlers that panic.

use super::common::Client;
use super::common::get;
use super::common::keep_log;
use super::common::limits;
use super::common::lines_of;
use super::common::start;

/// A panic in a handler ended its connection without an answer.
#[tokio::test]
async fn a_panic_in_a_handler_is_answered() {
    keep_log();
    let s = start(limits()).await;
    let mut client = Client::connect(s.addr);
    client.write(&get("/panic"));
    let peer = client.addr();
    let res = client.read_to_end().await;
    assert!(
        res.starts_with("HTTP/1.1 500 Internal Server Error\r\n"),
        "`{res}`"
    );
    assert!(res.contains("connection: close\r\n"), "{res}");
    let lines = lines_of(peer);
    let is_logged = |l: &String| l.starts_with("ERROR event=handler-panicked ");
    assert!(lines.iter().any(is_logged), "{lines:?}");

    let mut other = Client::connect(s.addr);
    other.write(&get("/"));
    let (_, res) = other.read_response().await;
    assert!(res.starts_with("HTTP/1.1 200 OK\r\n"), "`{res}`");
}

/// The relay learns from the drop of a handler's future that its caller has left.
#[tokio::test]
async fn a_caller_that_disconnects_drops_the_handler() {
    let s = start(limits()).await;
    let mut client = Client::connect(s.addr);
    client.write(&get("/hold"));
    s.handler.arrived.notified().await;
    drop(client);
    let dropped = tokio::time::timeout(super::common::WAIT_MAX, s.handler.dropped.notified());
    assert!(dropped.await.is_ok(), "the handler still runs");
}
