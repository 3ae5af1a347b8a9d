//! Tests that each attempt ends with one correct reply, and that connections to a server stay within the share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gs_http::ConnectionPools;
use gs_http::ConnectionPoolsOptions;
use gs_http::EventSink;
use gs_query::Dispatch;
use gs_query::Event;
use gs_query::PartReply;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::mpsc;

const PART: &str = r#"{"hits":[{"doc":"d1","score":9,"text":"trout"}],"matched":1}"#;

const STATUS: &str = r#"{"incarnation":7,"snapshots":[3],"load":2,"draining":false}"#;

/// How the fake server answers a search.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Script {
    Complete,
    OtherId,
    NoId,
    BadDigest,
    NoJson,
    Shed,
    Draining,
    NoSnapshot,
    Error,
    Close,
    /// Answers only when the attempt is cancelled.
    Hang,
}

/// A backend server that answers every search as scripted.
struct FakeServer {
    addr: SocketAddr,
    open: AtomicU32,
    peak: AtomicU32,
    searches: AtomicU32,
    seen: Notify,
    cancelled: Notify,
}

impl FakeServer {
    async fn start(script: Script) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let fake = Arc::new(Self {
            addr: listener.local_addr().expect("bound"),
            open: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            searches: AtomicU32::new(0),
            seen: Notify::new(),
            cancelled: Notify::new(),
        });
        let this = Arc::clone(&fake);
        tokio::spawn(async move {
            loop {
                let (tcp, _) = listener.accept().await.expect("accepting");
                let open = this.open.fetch_add(1, Ordering::SeqCst) + 1;
                this.peak.fetch_max(open, Ordering::SeqCst);
                let fake = Arc::clone(&this);
                tokio::spawn(async move {
                    let service = service_fn(|req| answer(Arc::clone(&fake), script, req));
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(tcp), service)
                        .await;
                    fake.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        fake
    }

    fn decl(&self) -> Arc<ServerDecl> {
        Arc::new(ServerDecl {
            name: "desk-01-a".parse().expect("a name"),
            service: "desk-01".parse().expect("a name"),
            addr: self.addr,
            data_centre: "hobart-a".parse().expect("a name"),
            slots: Slots(2),
            connections: Connections(25),
        })
    }
}

async fn answer(
    fake: Arc<FakeServer>,
    script: Script,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Box<dyn std::error::Error + Send + Sync>> {
    if req.uri().path() == "/cancel" {
        fake.cancelled.notify_one();
        return Ok(Response::builder().status(204).body(Full::default())?);
    }
    if req.uri().path() == "/status" {
        let body = match script {
            Script::OtherId => PART,
            _ => STATUS,
        };
        return Ok(Response::new(Full::from(body)));
    }
    fake.searches.fetch_add(1, Ordering::SeqCst);
    fake.seen.notify_one();
    let id = req.headers()["x-attempt"].to_str()?.to_owned();
    let digest = xxhash_rust::xxh3::xxh3_64(PART.as_bytes());
    let ok = || {
        Response::builder()
            .header("x-snapshot", "3")
            .header("x-load", "2")
    };
    let digest = format!("{digest:016x}");
    let refusal = |reason| {
        Response::builder()
            .status(503)
            .header("x-attempt", id.as_str())
            .header("x-not-run", "1")
            .header("x-reason", reason)
    };
    let complete = |id: &str, digest: &str, body: &'static str| {
        ok().header("x-attempt", id)
            .header("x-digest", digest)
            .body(Full::from(body))
    };
    Ok(match script {
        Script::Complete => complete(&id, &digest, PART)?,
        Script::OtherId => complete("vm-9/1/1/0/0", &digest, PART)?,
        Script::NoId => ok().header("x-digest", digest).body(Full::from(PART))?,
        Script::BadDigest => complete(&id, "00000000000000aa", PART)?,
        Script::NoJson => {
            let digest = format!("{:016x}", xxhash_rust::xxh3::xxh3_64(b"{"));
            complete(&id, &digest, "{")?
        }
        Script::Shed => refusal("shed")
            .header("x-retry-after-ms", "70")
            .body(Full::default())?,
        Script::Draining => refusal("draining").body(Full::default())?,
        Script::NoSnapshot => refusal("no-snapshot")
            .header("x-holds", "4,5")
            .body(Full::default())?,
        Script::Error => Response::builder()
            .status(500)
            .header("x-attempt", id)
            .body(Full::default())?,
        Script::Close => return Err("the server fails".into()),
        Script::Hang => {
            fake.cancelled.notified().await;
            Response::builder()
                .status(499)
                .header("x-attempt", id)
                .header("x-not-run", "1")
                .body(Full::default())?
        }
    })
}

/// Sends the events to a channel.
struct ChannelSink(mpsc::UnboundedSender<Event>);

impl EventSink for ChannelSink {
    fn on_event(&self, ev: Event) {
        let _ = self.0.send(ev);
    }
}

/// A fake server and the pools under test.
struct Fixture {
    fake: Arc<FakeServer>,
    pool: ConnectionPools,
    rx: mpsc::UnboundedReceiver<Event>,
}

impl Fixture {
    async fn start(script: Script, share: u32) -> Self {
        let fake = FakeServer::start(script).await;
        let (tx, rx) = mpsc::unbounded_channel();
        let pool = ConnectionPools::new(
            ConnectionPoolsOptions::builder().build(),
            Arc::new(ChannelSink(tx)),
        );
        pool.set_shares(&[(fake.decl().name.clone(), Connections(share))]);
        Self { fake, pool, rx }
    }

    fn dispatch(&self, attempt: u16) -> AttemptId {
        let id = AttemptId {
            vm: "vm-1".parse().expect("a name"),
            incarnation: Incarnation(1),
            lookup: LookupSeq(1),
            shard: ShardId(0),
            attempt,
        };
        self.pool.dispatch(Dispatch {
            attempt: id.clone(),
            server: self.fake.decl(),
            snapshot: SnapshotId(3),
            query: "trout".into(),
            key: None,
            page: 10,
            budget: Duration::from_secs(5),
            once: false,
            idempotency_key: None,
        });
        id
    }

    /// Returns the next reply, and whether `Event::Sent` came before it.
    async fn reply(&mut self) -> (AttemptId, PartReply, bool) {
        let mut sent = Vec::new();
        loop {
            match self.rx.recv().await.expect("the pool lives") {
                Event::Sent(id) => sent.push(id),
                Event::Reply(id, r) => return (id.clone(), r, sent.contains(&id)),
                _ => {}
            }
        }
    }
}

fn complete_reply() -> PartReply {
    let part = serde_json::from_str(PART).expect("a part");
    PartReply::Whole {
        snapshot: SnapshotId(3),
        part: Arc::new(part),
        load: 2,
        draining: false,
    }
}

#[rstest]
#[case(Script::Complete, complete_reply())]
#[case(Script::OtherId, PartReply::Garbled)]
#[case(Script::NoId, PartReply::Garbled)]
#[case(Script::BadDigest, PartReply::Garbled)]
#[case(Script::NoJson, PartReply::Garbled)]
#[case(Script::Shed, PartReply::Shed { retry_after: Duration::from_millis(70) })]
#[case(Script::Draining, PartReply::Draining)]
#[case(Script::NoSnapshot, PartReply::NoSnapshot { holds: [SnapshotId(4), SnapshotId(5)].into_iter().collect() })]
#[case(Script::Error, PartReply::Failed)]
#[case(Script::Close, PartReply::Broken)]
#[tokio::test]
async fn a_reply_is_classified(#[case] script: Script, #[case] wanted: PartReply) {
    let mut b = Fixture::start(script, 2).await;
    let id = b.dispatch(0);
    assert_eq!(b.reply().await, (id, wanted, true));
}

#[tokio::test]
async fn without_a_connection_share_nothing_is_sent() {
    let mut b = Fixture::start(Script::Complete, 0).await;
    let id = b.dispatch(0);
    b.pool.cancel(&id);
    assert_eq!(b.reply().await, (id, PartReply::NotSent, false));
    assert_eq!(b.fake.searches.load(Ordering::SeqCst), 0);
}

/// The slower attempt of a hedged request is cancelled. Closing its connection each time would cost the server another
/// handshake; if another connection is idle, the cancel is sent on that one, and both stay open.
#[tokio::test]
async fn a_cancel_keeps_the_connection_when_another_is_idle() {
    let mut b = Fixture::start(Script::Hang, 2).await;
    b.pool.open_at_least(&b.fake.decl(), Connections(2));
    while b.pool.state().opened < 2 {
        tokio::task::yield_now().await;
    }
    let id = b.dispatch(0);
    b.fake.seen.notified().await;
    b.pool.cancel(&id);
    assert_eq!(b.reply().await, (id, PartReply::NotSent, true));
    let next = b.dispatch(1);
    b.fake.seen.notified().await;
    b.pool.cancel(&next);
    assert_eq!(b.reply().await, (next, PartReply::NotSent, true));
    assert_eq!(b.pool.state().opened, 2);
}

/// Prevents the end of a server from going unnoticed by a VM that has no attempt at it.
#[tokio::test]
async fn a_check_tells_whether_a_server_accepts_or_refuses_connections() {
    let mut b = Fixture::start(Script::Complete, 2).await;
    let name = b.fake.decl().name.clone();
    b.pool.check(&b.fake.decl());
    let accepted = loop {
        match b.rx.recv().await.expect("the pool lives") {
            Event::Accepted(server, _) => break server,
            Event::Refused(server) => panic!("{server} refused"),
            _ => {}
        }
    };
    assert_eq!(accepted, name);
    let unused = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = unused.local_addr().expect("bound");
    drop(unused);
    let ended = Arc::new(ServerDecl {
        addr,
        ..(*b.fake.decl()).clone()
    });
    b.pool.check(&ended);
    let refused = loop {
        match b.rx.recv().await.expect("the pool lives") {
            Event::Refused(server) => break server,
            Event::Accepted(server, _) => panic!("{server} accepted"),
            _ => {}
        }
    };
    assert_eq!(refused, name);
}

#[tokio::test]
async fn a_cancel_without_an_idle_connection_closes_the_attempts_connection() {
    let mut b = Fixture::start(Script::Hang, 1).await;
    let id = b.dispatch(0);
    b.fake.seen.notified().await;
    b.pool.cancel(&id);
    assert_eq!(b.reply().await, (id, PartReply::Cancelled, true));
}

/// A burst of attempts is dispatched with a share of two connections. If every VM opened a third one, the server's
/// connection limit would be exceeded.
#[tokio::test]
async fn a_server_never_has_more_connections_than_its_share() {
    let mut b = Fixture::start(Script::Complete, 2).await;
    for attempt in 0..40 {
        b.dispatch(attempt);
    }
    for _ in 0..40 {
        assert_eq!(b.reply().await.1, complete_reply());
    }
    assert_eq!(b.fake.peak.load(Ordering::SeqCst), 2);
}

/// A share is lowered while its connections are busy. The share may be given to another VM only after they are closed,
/// so until then the pools report that they exceed it.
#[tokio::test]
async fn a_lowered_share_is_reported_only_when_connections_are_closed() {
    let mut b = Fixture::start(Script::Hang, 2).await;
    let first = b.dispatch(0);
    b.fake.seen.notified().await;
    let second = b.dispatch(1);
    b.fake.seen.notified().await;
    b.pool
        .set_shares(&[(b.fake.decl().name.clone(), Connections(1))]);
    assert!(!b.pool.is_within_shares());
    b.pool.cancel(&first);
    b.reply().await;
    while !b.pool.is_within_shares() {
        tokio::task::yield_now().await;
    }
    b.pool.cancel(&second);
    b.reply().await;
}

/// A leaving process has closed its connections, and another VM may use its share by now. Shares set after that must not
/// open connections again: the server's connection limit would be exceeded.
#[tokio::test]
async fn a_closed_pool_ignores_later_shares() {
    let mut b = Fixture::start(Script::Complete, 2).await;
    b.pool.close();
    b.pool
        .set_shares(&[(b.fake.decl().name.clone(), Connections(2))]);
    b.pool.open_at_least(&b.fake.decl(), Connections(2));
    let id = b.dispatch(0);
    tokio::task::yield_now().await;
    b.pool.cancel(&id);
    assert_eq!(b.reply().await, (id, PartReply::NotSent, false));
    assert_eq!(b.pool.state().opened, 0);
}

/// Prevents the replies on a connection from being taken for those to the requests before them, after a late copy of
/// another reply was read as a status.
#[rstest]
#[case::a_status(Script::Complete, Some(Incarnation(7)), 1)]
#[case::another_reply(Script::OtherId, None, 2)]
#[tokio::test]
async fn a_connection_is_reused_only_after_a_readable_status(
    #[case] script: Script,
    #[case] incarnation: Option<Incarnation>,
    #[case] opened: u64,
) {
    let b = Fixture::start(script, 1).await;
    let server = b.fake.decl();
    let mut reports = 0;
    while reports < 2 {
        let report = b.pool.request_status(&server, Duration::from_secs(5));
        // None is free while a connection closes.
        if let Some(report) = report.await {
            assert_eq!(report.incarnation, incarnation);
            reports += 1;
        }
        tokio::task::yield_now().await;
    }
    assert_eq!(b.pool.state().opened, opened);
}
