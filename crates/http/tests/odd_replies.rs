//! Tests of replies that a faulty server sends in place of a final response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gs_http::CompleteReply;
use gs_http::ConnectOptions;
use gs_http::ConnectionPool;
use gs_http::ConnectionSink;
use gs_http::ExchangeError;
use gs_http::exchange;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// How long anything may take here.
const WITHIN: Duration = Duration::from_secs(5);

struct IgnoreConnections;

impl ConnectionSink for IgnoreConnections {
    fn on_opened(&self, _: &ServerName, _: Duration) {}

    fn on_closed(&self, _: &ServerName, _: bool) {}
}

/// Starts a server that sends `reply` to each request and keeps its connections open; `closed` is notified when one of
/// them has ended.
async fn start(reply: &'static str, closed: Arc<tokio::sync::Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        loop {
            let (mut tcp, _) = listener.accept().await.expect("accepting");
            let closed = Arc::clone(&closed);
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                while tcp.read(&mut buf).await.is_ok_and(|read| read > 0) {
                    if tcp.write_all(reply.as_bytes()).await.is_err() {
                        break;
                    }
                }
                closed.notify_one();
            });
        }
    });
    addr
}

fn pool(addr: SocketAddr) -> Arc<ConnectionPool> {
    let opts = ConnectOptions {
        source: None,
        connect_timeout: WITHIN,
    };
    let name = "desk-01-a".parse().expect("a name");
    let pool = ConnectionPool::new(name, addr, opts, Arc::new(IgnoreConnections));
    pool.set_share(Connections(1));
    pool
}

fn request(method: &str) -> Request<Full<Bytes>> {
    let req = Request::builder().method(method).uri("/q");
    let req = req.header("host", "a.example");
    req.body(Full::default()).expect("a request")
}

async fn send(
    pool: &Arc<ConnectionPool>,
    method: &str,
) -> (
    Result<CompleteReply, ExchangeError>,
    gs_http::PooledConnection,
) {
    let mut conn = pool.take(WITHIN).await.expect("a connection");
    let reply = exchange(&mut conn, request(method), 1 << 20);
    let reply = tokio::time::timeout(WITHIN, reply).await.expect("in time");
    (reply, conn)
}

/// Prevents a faulty server's `101`, which ends the caller's connection, and statuses that mean nothing from being
/// relayed; the connection to that server is closed.
#[rstest]
#[case::switching_protocols(
    "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nnoise"
)]
#[case::bare_101("HTTP/1.1 101 Switching Protocols\r\n\r\n")]
#[case::status_600("HTTP/1.1 600 Odd\r\ncontent-length: 0\r\n\r\n")]
#[case::status_999("HTTP/1.1 999 Odd\r\ncontent-length: 0\r\n\r\n")]
#[tokio::test]
async fn a_reply_that_is_no_final_response_is_garbled(#[case] reply: &'static str) {
    let closed = Arc::new(tokio::sync::Notify::new());
    let pool = pool(start(reply, Arc::clone(&closed)).await);
    let (reply, conn) = send(&pool, "GET").await;
    let status = reply.as_ref().map(|r| r.status);
    assert!(
        matches!(reply, Err(ExchangeError::NotFinal(_))),
        "{status:?}"
    );
    drop(conn);
    let closed = tokio::time::timeout(WITHIN, closed.notified()).await;
    closed.expect("the connection is closed");
}

/// Prevents a reply that no HTTP client can frame from being taken for an answer.
#[rstest]
#[case::status_0("HTTP/1.1 000 Odd\r\ncontent-length: 0\r\n\r\n")]
#[case::status_of_two_digits("HTTP/1.1 20 OK\r\ncontent-length: 0\r\n\r\n")]
#[case::status_of_four_digits("HTTP/1.1 2000 OK\r\ncontent-length: 0\r\n\r\n")]
#[case::no_head("<html>hello</html>\r\n\r\n")]
#[case::lengths_that_differ("HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab")]
#[case::lengths_that_differ_in_one_header("HTTP/1.1 200 OK\r\ncontent-length: 1, 2\r\n\r\nab")]
#[case::negative_length("HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n")]
#[case::length_over_64_bits("HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n\r\n")]
#[case::http_2("HTTP/2 200 OK\r\ncontent-length: 0\r\n\r\n")]
#[tokio::test]
async fn a_malformed_reply_is_no_answer(#[case] reply: &'static str) {
    let pool = pool(start(reply, Arc::default()).await);
    let (reply, _) = send(&pool, "GET").await;
    let status = reply.as_ref().map(|r| r.status);
    assert!(matches!(reply, Err(ExchangeError::Broken(_))), "{status:?}");
}

/// Prevents bytes after a reply that has no body from being taken for the reply to the next request.
#[rstest]
#[case::head(
    "HEAD",
    "HTTP/1.1 200 OK\r\ncontent-length: 38\r\n\r\nHTTP/1.1 203 Odd\r\ncontent-length: 0\r\n\r\n"
)]
#[case::no_content(
    "GET",
    "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 203 Odd\r\ncontent-length: 0\r\n\r\n"
)]
#[case::not_modified(
    "GET",
    "HTTP/1.1 304 Not Modified\r\n\r\nHTTP/1.1 203 Odd\r\ncontent-length: 0\r\n\r\n"
)]
#[case::after_the_length(
    "GET",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 203 Odd\r\ncontent-length: 0\r\n\r\n"
)]
#[tokio::test]
async fn bytes_after_a_reply_are_not_the_next_reply(
    #[case] method: &str,
    #[case] reply: &'static str,
) {
    let pool = pool(start(reply, Arc::default()).await);
    for _ in 0..20 {
        let (reply, conn) = send(&pool, method).await;
        match reply {
            Ok(reply) => assert_ne!(reply.status.as_u16(), 203),
            Err(e) => assert_eq!(e, ExchangeError::NotSent),
        }
        pool.put_back(conn);
    }
}

/// Prevents replies of old servers, and headers that only concern their connection, from being refused.
#[rstest]
#[case::http_1_0("HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok")]
#[case::upgrade_offered(
    "HTTP/1.1 200 OK\r\nconnection: upgrade\r\nupgrade: h2c\r\ncontent-length: 2\r\n\r\nok"
)]
#[case::equal_lengths("HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 2\r\n\r\nok")]
#[case::after_interim_heads(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
)]
#[tokio::test]
async fn unusual_replies_are_read(#[case] reply: &'static str) {
    let pool = pool(start(reply, Arc::default()).await);
    let (reply, _) = send(&pool, "GET").await;
    let reply = reply.unwrap_or_else(|e| panic!("{e:?}"));
    assert_eq!((reply.status.as_u16(), &*reply.body), (200, &b"ok"[..]));
}
