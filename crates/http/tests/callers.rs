//! Tests that the interface for callers answers valid and invalid requests within its limits, and keeps serving.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use gs_http::CallerHandler;
use gs_http::Limits;
use gs_http::LookupReply;
use gs_http::LookupService;
use gs_http::Server;
use gs_types::prelude::*;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

const BODY_BYTES_MAX: usize = 256;

/// Answers every lookup with an empty page, or with the refusal named by its query.
struct StubService;

#[async_trait]
impl LookupService for StubService {
    async fn lookup(&self, req: LookupRequest) -> LookupReply {
        let request = RequestId {
            vm: "vm-1".parse().expect("a name"),
            incarnation: Incarnation(7),
            seq: LookupSeq(1),
        };
        let outcome = match &*req.query {
            "overload" => Outcome::NotRun(Refusal::new(
                RefusalReason::Overload,
                Some(Duration::from_millis(1200)),
            )),
            _ => Outcome::Answered(Answer {
                snapshot: SnapshotId(3),
                hits: Vec::new(),
                matched: 0,
                coverage: Coverage {
                    shards: 2,
                    whole: 2,
                    missing: Vec::new(),
                },
                ended_early: false,
                extra_attempts: 0,
            }),
        };
        LookupReply { request, outcome }
    }
}

/// A running server.
struct RunningServer {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
}

async fn start() -> RunningServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let limits = Limits {
        head_bytes_max: 8192,
        header_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_secs(60),
        connections_max: 16,
    };
    let callers = Arc::new(CallerHandler::new(
        Arc::new(StubService),
        BODY_BYTES_MAX,
        Duration::from_millis(300),
    ));
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(Server::new(listener, limits).run(callers, stopped));
    RunningServer { addr, stop }
}

/// Sends bytes and reads until the server closes the connection.
async fn exchange(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut tcp = TcpStream::connect(addr).await.expect("listening");
    // A server that rejects the request may close the connection before it has read everything; its answer is read below.
    let _ = tcp.write_all(bytes).await;
    let mut buf = Vec::new();
    // A reset ends the answer like a normal close.
    let _ = tcp.read_to_end(&mut buf).await;
    String::from_utf8_lossy(&buf).into_owned()
}

fn post(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

const PATH: &str = "/v1/fronts/archive/lookups/quotes";

#[tokio::test]
async fn an_answer_contains_its_coverage() {
    let s = start().await;
    let res = exchange(s.addr, post(PATH, "", r#"{"query":"trout"}"#).as_bytes()).await;
    let body = res.split_once("\r\n\r\n").expect("a head").1;
    assert!(res.starts_with("HTTP/1.1 200 OK\r\n"), "{res}");
    assert_eq!(
        body,
        r#"{"request_id":"vm-1.7.1","front":"archive","lookup":"quotes","outcome":"answered","snapshot":3,"hits":[],"matched":0,"coverage":{"shards":2,"whole":2,"missing":[]},"ended_early":false,"extra_attempts":0}"#
    );
}

#[tokio::test]
async fn a_refusal_says_when_to_retry() {
    let s = start().await;
    let res = exchange(s.addr, post(PATH, "", r#"{"query":"overload"}"#).as_bytes()).await;
    assert!(
        res.starts_with("HTTP/1.1 503 Service Unavailable\r\n"),
        "{res}"
    );
    assert!(res.contains("retry-after: 2\r\n"), "{res}");
    assert!(
        res.ends_with(
            r#""outcome":"not-run","reason":"overload","retry_after":"1s 200ms","missing":[]}"#
        ),
        "{res}"
    );
}

#[rstest]
#[case::unknown_path("/v1/fronts/archive", "", r#"{"query":"x"}"#, 404, "no such path")]
#[case::invalid_front_name(
    "/v1/fronts/Archive/lookups/q",
    "",
    r#"{"query":"x"}"#,
    400,
    "not a front name"
)]
#[case::not_json(PATH, "", "query=x", 400, "expected value")]
#[case::no_query(PATH, "", "{}", 400, "missing field `query`")]
#[case::wrong_type(PATH, "", r#"{"query":7}"#, 400, "invalid type")]
#[case::unknown_key(PATH, "", r#"{"query":"x","quety":"y"}"#, 400, "unknown field `quety`")]
#[case::empty_query(PATH, "", r#"{"query":""}"#, 400, "`query` is empty")]
#[case::control_character(PATH, "", r#"{"query":"a\u0000b"}"#, 400, "not plain text")]
#[case::invalid_deadline(PATH, "", r#"{"query":"x","deadline":"soon"}"#, 400, "deadline `soon`")]
#[case::zero_deadline(PATH, "", r#"{"query":"x","deadline":"0ms"}"#, 400, "out of range")]
#[case::invalid_key(
    PATH,
    "idempotency-key: 12\r\n",
    r#"{"query":"x"}"#,
    400,
    "not an idempotency key"
)]
#[tokio::test]
async fn bad_input_gets_a_clear_error(
    #[case] path: &str,
    #[case] headers: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] why: &str,
) {
    let s = start().await;
    let res = exchange(s.addr, post(path, headers, body).as_bytes()).await;
    assert!(res.starts_with(&format!("HTTP/1.1 {status} ")), "{res}");
    assert!(res.contains(why), "{res}");
    // An earlier submission under the same key may have run.
    let outcome = if headers.is_empty() {
        "not-run"
    } else {
        "unknown"
    };
    assert!(res.contains(&format!(r#""outcome":"{outcome}""#)), "{res}");
}

#[tokio::test]
async fn an_oversized_body_is_refused_naming_the_limit() {
    let s = start().await;
    let body = format!(r#"{{"query":"{}"}}"#, "x".repeat(BODY_BYTES_MAX));
    let res = exchange(s.addr, post(PATH, "", &body).as_bytes()).await;
    assert!(
        res.starts_with("HTTP/1.1 413 Payload Too Large\r\n"),
        "{res}"
    );
    assert!(res.contains("the body is over 256 bytes"), "{res}");
}

/// Prevents a body that is always too large from being told to come again.
#[tokio::test]
async fn a_length_over_all_memory_is_oversized_and_not_refused_for_now() {
    let s = start().await;
    let head = format!("POST {PATH} HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000000000\r\n\r\n");
    let res = exchange(s.addr, format!("{head}{}", "x".repeat(1000)).as_bytes()).await;
    assert!(res.starts_with("HTTP/1.1 413 "), "{res}");
}

#[tokio::test]
async fn oversized_headers_are_refused() {
    let s = start().await;
    let res = exchange(
        s.addr,
        post(PATH, &format!("x-a: {}\r\n", "y".repeat(20_000)), "").as_bytes(),
    )
    .await;
    assert!(
        res.starts_with("HTTP/1.1 431 Request Header Fields Too Large\r\n"),
        "{res}"
    );
}

/// A caller sends half of the headers, or half of the body, and nothing more. Without timeouts each such caller would hold
/// a connection forever, until none is left for the others.
#[rstest]
#[case::headers("POST /v1/fronts/archive/lookups/quotes HTTP/1.1\r\nhost: x\r\nconte")]
#[case::body(
    "POST /v1/fronts/archive/lookups/quotes HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n{"
)]
#[tokio::test]
async fn an_incomplete_request_times_out_and_others_are_served(#[case] half: &str) {
    let s = start().await;
    let mut slow = Vec::new();
    for _ in 0..16 {
        let mut tcp = TcpStream::connect(s.addr).await.expect("listening");
        tcp.write_all(half.as_bytes()).await.expect("sent");
        slow.push(tcp);
    }
    let res = exchange(s.addr, post(PATH, "", r#"{"query":"trout"}"#).as_bytes()).await;
    assert!(res.starts_with("HTTP/1.1 200 OK\r\n"), "{res}");
}

#[tokio::test]
async fn a_stopping_server_finishes_the_request_in_progress() {
    let s = start().await;
    let mut tcp = TcpStream::connect(s.addr).await.expect("listening");
    let request = post(PATH, "", r#"{"query":"trout"}"#);
    let (first, rest) = request.split_at(request.len() - 3);
    tcp.write_all(first.as_bytes()).await.expect("sent");
    tokio::time::sleep(Duration::from_millis(20)).await;
    s.stop.send(true).expect("running");
    tcp.write_all(rest.as_bytes()).await.expect("sent");
    let mut res = String::new();
    tcp.read_to_string(&mut res).await.expect("answered");
    assert!(res.starts_with("HTTP/1.1 200 OK\r\n"), "{res}");
}

/// A caller keeps a connection open for its next lookup. If it is idle for longer than the header timeout, it must not be
/// closed: the next request would fail.
#[tokio::test]
async fn a_kept_alive_connection_outlives_the_header_timeout() {
    let s = start().await;
    let mut tcp = TcpStream::connect(s.addr).await.expect("listening");
    let req = post(PATH, "", r#"{"query":"trout"}"#).replace("connection: close\r\n", "");
    for pause in [0, 500] {
        tokio::time::sleep(Duration::from_millis(pause)).await;
        tcp.write_all(req.as_bytes()).await.expect("sent");
        let mut buf = [0; 2048];
        let n = tcp.read(&mut buf).await.expect("answered");
        assert!(
            buf[..n].starts_with(b"HTTP/1.1 200 OK\r\n"),
            "after {pause} ms: {n} bytes"
        );
    }
}

/// A caller keeps a connection open, and later sends half of the headers on it and nothing more. The header timeout must
/// also apply if the server is waiting for the idle timeout when the first byte arrives. If it went on waiting for the
/// idle timeout of a minute, the connection would be occupied for that long, and other callers would be kept out.
#[tokio::test]
async fn incomplete_headers_on_a_kept_alive_connection_time_out() {
    let s = start().await;
    let mut tcp = TcpStream::connect(s.addr).await.expect("listening");
    let req = post(PATH, "", r#"{"query":"trout"}"#).replace("connection: close\r\n", "");
    tcp.write_all(req.as_bytes()).await.expect("sent");
    let mut buf = [0; 2048];
    let n = tcp.read(&mut buf).await.expect("answered");
    assert!(buf[..n].starts_with(b"HTTP/1.1 200 OK\r\n"), "{n} bytes");
    tokio::time::sleep(Duration::from_millis(500)).await;
    tcp.write_all(b"POST /v1/fro").await.expect("sent");
    let ended = tokio::time::timeout(Duration::from_secs(10), tcp.read(&mut buf)).await;
    assert!(ended.is_ok(), "the connection is still open");
}
