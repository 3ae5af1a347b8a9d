//! Tests of responses that are sent before the request's body was read.

use std::io::Write;
use std::time::Duration;

use super::common::Client;
use super::common::limits;
use super::common::start;
use super::common::wait_until;

/// A caller that goes on sending after its response would hold the connection for as long as it likes.
#[tokio::test]
async fn a_body_without_end_is_not_read_for_ever() {
    let s = start(limits()).await;
    let head = "POST /refuse HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut client = Client::connect(s.addr);
    client.write(head);
    let sender = tokio::spawn(client.run(|tcp| {
        while tcp.write_all(b"1\r\nx\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(10));
        }
    }));
    wait_until("accepted", || s.state.accepted() == 1).await;
    wait_until("closed", || s.state.open() == 0).await;
    assert!(sender.await.is_ok(), "the sender saw no end");
}

/// A caller that keeps its own side open after its last response must not delay the end of the server.
#[tokio::test]
async fn a_connection_whose_request_was_read_is_closed_at_once() {
    let s = start(limits()).await;
    let mut client = Client::connect(s.addr);
    client.write("GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    wait_until("accepted", || s.state.accepted() == 1).await;
    let start = std::time::Instant::now();
    wait_until("closed", || s.state.open() == 0).await;
    assert!(start.elapsed() < Duration::from_millis(400));
    drop(client);
}
