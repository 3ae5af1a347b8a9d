//! Tests of responses that are sent before the request's body was read.

use std::io::Read;
use std::io::Write;
use std::time::Duration;

use rstest::rstest;

use super::common::Client;
use super::common::get;
use super::common::limits;
use super::common::start;
use super::common::wait_until;

/// The size of a body that the kernel does not buffer as a whole.
const BODY_BYTES: usize = 8 << 20;

/// A response sent before the body was read was followed by a reset, which ends a caller that still sends.
#[rstest]
#[case::refused("/refuse", "", "503")]
#[case::head_too_large("/", "x: ", "431")]
#[tokio::test]
async fn a_caller_that_sends_all_before_it_reads_gets_the_response(
    #[case] path: &'static str,
    #[case] header: &'static str,
    #[case] status: &'static str,
) {
    let s = start(limits()).await;
    let read = Client::connect(s.addr).run(move |tcp| {
        let header = match header {
            "" => String::new(),
            name => format!("{name}{}\r\n", "y".repeat(20_000)),
        };
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: x\r\n{header}content-length: {BODY_BYTES}\r\n\r\n"
        );
        let sent = tcp
            .write_all(head.as_bytes())
            .and_then(|()| tcp.write_all(&vec![0; BODY_BYTES]));
        let mut res = Vec::new();
        let read = tcp.read_to_end(&mut res);
        (sent, read, String::from_utf8_lossy(&res).into_owned())
    });
    let (_, (sent, read, res)) = read.await;
    assert!(sent.is_ok(), "{sent:?}, {read:?}, `{res}`");
    assert!(read.is_ok(), "{read:?}, `{res}`");
    assert!(res.starts_with(&format!("HTTP/1.1 {status} ")), "`{res}`");
}

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

/// A connection was closed after a response that had not announced it, as the request's body was not read.
#[tokio::test]
async fn a_response_before_the_body_announces_the_close() {
    let s = start(limits()).await;
    let mut client = Client::connect(s.addr);
    client.write("POST /refuse HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nhalf");
    let (_, res) = client.read_response().await;
    assert!(res.contains("connection: close\r\n"), "`{res}`");
}

/// A body that was not read but has arrived does not cost the connection.
#[tokio::test]
async fn a_connection_is_kept_after_a_whole_request() {
    let s = start(limits()).await;
    let mut client = Client::connect(s.addr);
    for path in ["/body", "/refuse"] {
        client.write(&format!(
            "POST {path} HTTP/1.1\r\nhost:x\r\ncontent-length:4\r\n\r\nbody"
        ));
        let (kept, res) = client.read_response().await;
        assert!(!res.is_empty() && !res.contains("connection"), "`{res}`");
        client = kept;
    }
}

/// Requests that arrive together must not be taken for incomplete ones, whose connection is closed.
#[rstest]
#[case::whole(0)]
#[case::first_line(4)]
#[case::second_head(72)]
#[case::second_body(120)]
#[case::last_body(362)]
#[tokio::test]
async fn requests_that_arrive_together_are_all_answered(#[case] split: usize) {
    let s = start(limits()).await;
    let mut client = Client::connect(s.addr);
    let one =
        |path| format!("POST {path} HTTP/1.1\r\nhost: x\r\nx:y\r\ncontent-length: 4\r\n\r\nbody");
    let paths = ["/refuse", "/body", "/refuse", "/body", "/body", "/body"];
    let mut text: String = paths.into_iter().map(one).collect();
    text.push_str(&get("/"));
    let (first, rest) = text.split_at(split);
    client.write(first);
    tokio::time::sleep(Duration::from_millis(50)).await;
    client.write(rest);
    let (_, res) = client.read_responses(paths.len() + 1).await;
    let answered = res.matches("HTTP/1.1 ").count();
    assert_eq!(answered, paths.len() + 1, "`{res}`");
}
