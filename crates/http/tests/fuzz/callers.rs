//! Fuzz tests of the server for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::future::join_all;
use gs_http::CallerHandler;
use gs_http::Limits;
use gs_http::LookupReply;
use gs_http::LookupService;
use gs_http::Server;
use gs_http::ServerState;
use gs_types::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::bytes::Corruption;
use crate::bytes::corruption;
use crate::config;
use crate::panics;
use crate::runtime;

/// The timeout for the headers and for the body of a request.
const PHASE_TIMEOUT: Duration = Duration::from_millis(60);

/// An exchange that takes this long counts as hanging.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// The largest size of all answers on one connection, in bytes.
const ANSWERS_BYTES_MAX: usize = 256 * 1024;

/// The longest query or key in bytes, as specified in docs/INTERFACE.md.
const TEXT_BYTES_MAX: usize = 4096;

/// The longest deadline, as specified in docs/INTERFACE.md.
const DEADLINE_MAX: Duration = Duration::from_secs(600);

/// The statuses that the interface may answer with when no lookup is refused.
const EXPECTED_STATUSES: &[&str] = &["100", "200", "400", "404", "413", "414", "431"];

/// A valid request.
const VALID_REQUEST: &str = "POST /v1/fronts/archive/lookups/quotes HTTP/1.1\r\nhost: x\r\n\
    content-type: application/json\r\nidempotency-key: 1796256000-3f9a7c21\r\n\
    content-length: 74\r\n\r\n\
    {\"query\": \"brook trout\", \"key\": \"book-7\", \"deadline\": \"80ms\", \"floor\": 41}";

/// A chunked request, followed by a second one.
const CHUNKED_REQUESTS: &str = "POST /v1/fronts/archive/lookups/quotes HTTP/1.1\r\nhost: x\r\n\
    transfer-encoding: chunked\r\n\r\n11\r\n{\"query\":\"trout\"}\r\n0\r\n\r\n\
    POST /v1/fronts/archive/lookups/quotes HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
    content-length: 17\r\n\r\n{\"query\":\"trout\"}";

/// Answers every lookup, and records those that the interface should have rejected.
#[derive(Default)]
struct CheckingService {
    bad: Mutex<Vec<LookupRequest>>,
}

impl CheckingService {
    fn bad(&self) -> Vec<LookupRequest> {
        self.bad.lock().expect("not poisoned").clone()
    }
}

fn is_valid_text(s: &str) -> bool {
    (1..=TEXT_BYTES_MAX).contains(&s.len()) && !s.chars().any(char::is_control)
}

fn is_allowed(req: &LookupRequest) -> bool {
    let in_time = |d: Duration| !d.is_zero() && d <= DEADLINE_MAX;
    is_valid_text(&req.query)
        && req.key.as_deref().is_none_or(is_valid_text)
        && req.deadline.is_none_or(in_time)
}

#[async_trait]
impl LookupService for CheckingService {
    async fn lookup(&self, req: LookupRequest) -> LookupReply {
        if !is_allowed(&req) {
            self.bad.lock().expect("not poisoned").push(req);
        }
        LookupReply {
            request: RequestId {
                vm: "vm-1".parse().expect("a name"),
                incarnation: Incarnation(7),
                seq: LookupSeq(1),
            },
            outcome: Outcome::Answered(Answer {
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
        }
    }
}

/// A running server.
struct RunningServer {
    addr: SocketAddr,
    state: Arc<ServerState>,
    service: Arc<CheckingService>,
    _stop: watch::Sender<bool>,
}

async fn start() -> RunningServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let limits = Limits {
        idle_timeout: std::time::Duration::from_secs(60),
        head_bytes_max: 8192,
        header_timeout: PHASE_TIMEOUT,
        connections_max: 32,
    };
    let service = Arc::new(CheckingService::default());
    let server = Server::new(listener, limits);
    let state = server.state();
    let (stop, stopped) = watch::channel(false);
    let callers = CallerHandler::new(
        Arc::clone(&service) as Arc<dyn LookupService>,
        8192,
        PHASE_TIMEOUT,
    );
    tokio::spawn(server.run(Arc::new(callers), stopped));
    RunningServer {
        addr,
        state,
        service,
        _stop: stop,
    }
}

/// Sends bytes in two writes, and reads until the server closes the connection or sends nothing more.
///
/// With `half_close`, shuts down its sending side first.
async fn exchange(addr: SocketAddr, bytes: &[u8], half_close: bool) -> Vec<u8> {
    let mut tcp = TcpStream::connect(addr).await.expect("listening");
    let (first, second) = bytes.split_at(bytes.len() / 2);
    // The server may close the connection before it has read everything.
    let _ = tcp.write_all(first).await;
    let _ = tcp.write_all(second).await;
    // A connection on which nothing was sent may be idle for a minute.
    let half_close = half_close || bytes.is_empty();
    if half_close {
        // The connection may be closed already.
        let _ = tcp.shutdown().await;
    }
    let mut buf = Vec::new();
    let mut chunk = [0; 4096];
    let read = async {
        while let Ok(n @ 1..) = tcp.read(&mut chunk).await {
            buf.extend_from_slice(&chunk[..n]);
            // A keep-alive connection may be idle for a minute; nothing more is received on it.
            if !half_close && is_idle(&mut tcp).await {
                return;
            }
        }
    };
    let ended = tokio::time::timeout(HANG_TIMEOUT, read).await;
    assert!(ended.is_ok(), "hangs: {}", bytes.escape_ascii());
    buf
}

/// Returns whether nothing is received for longer than a request may take.
async fn is_idle(tcp: &mut TcpStream) -> bool {
    let more = tokio::time::timeout(4 * PHASE_TIMEOUT, tcp.readable());
    more.await.is_err()
}

/// Returns the statuses of the answers on one connection.
fn statuses(answers: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(answers);
    let heads = text.split("HTTP/1.").skip(1);
    heads
        .filter_map(|h| h.get(2..5).map(str::to_owned))
        .collect()
}

/// Asserts that a valid request is answered, and that all connections are closed then.
async fn assert_keeps_serving(s: &RunningServer) {
    let valid = VALID_REQUEST.replace("host: x\r\n", "host: x\r\nconnection: close\r\n");
    let res = exchange(s.addr, valid.as_bytes(), false).await;
    assert!(
        res.starts_with(b"HTTP/1.1 200 OK\r\n"),
        "{}",
        res.escape_ascii()
    );
    let closed = async {
        while s.state.open() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let closed = tokio::time::timeout(HANG_TIMEOUT, closed).await;
    assert!(closed.is_ok(), "{} connections open", s.state.open());
}

/// A batch of malformed requests, sent at the same time.
fn batch() -> impl Strategy<Value = Vec<(bool, bool, Corruption)>> {
    vec((any::<bool>(), any::<bool>(), corruption()), 24)
}

#[test]
fn any_bytes_from_callers_leave_the_server_serving() {
    let rt = runtime();
    let s = rt.block_on(start());
    let mut runner = TestRunner::new(config());
    let run = runner.run(&batch(), |batch| {
        let sent: Vec<(Vec<u8>, bool)> = batch
            .iter()
            .map(|(chunked, half, corruption)| {
                let valid = if *chunked {
                    CHUNKED_REQUESTS
                } else {
                    VALID_REQUEST
                };
                (corruption.apply_to(valid.as_bytes()), *half)
            })
            .collect();
        let exchanges = sent.iter().map(|(b, half)| exchange(s.addr, b, *half));
        let answers = rt.block_on(join_all(exchanges));
        for (answer, (bytes, _)) in answers.iter().zip(&sent) {
            let (request, got) = (bytes.escape_ascii(), answer.escape_ascii());
            prop_assert!(answer.len() <= ANSWERS_BYTES_MAX, "{} bytes", answer.len());
            prop_assert!(
                answer.is_empty() || answer.starts_with(b"HTTP/1."),
                "{request}\n{got}"
            );
            for status in statuses(answer) {
                prop_assert!(
                    EXPECTED_STATUSES.contains(&&*status),
                    "{status} to {request}"
                );
            }
        }
        prop_assert_eq!(s.service.bad(), Vec::new());
        prop_assert_eq!(panics(), 0);
        Ok(())
    });
    rt.block_on(assert_keeps_serving(&s));
    run.unwrap_or_else(|e| panic!("{e}\n{runner}"));
}
