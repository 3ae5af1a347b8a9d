//! The stand-in backend servers serve parts and show the injected faults.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gs_rig::control::Command;
use gs_rig::control::ReplyFault;
use gs_rig::corpus::Corpus;
use gs_rig::index::SnapshotIndex;
use gs_rig::net::Net;
use gs_rig::reference::ReferenceSearch;
use gs_rig::reference::SearchRequest;
use gs_rig::server::ServerSpec;
use gs_rig::server::Servers;
use gs_types::prelude::*;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64;

const SNAPSHOT: SnapshotId = SnapshotId(1);

fn name() -> ServerName {
    "s-0".parse().expect("a name")
}

async fn one_server(corpus: &Corpus) -> Servers {
    let net = Arc::new(Net::with_unused_network(Duration::ZERO));
    let group: GroupName = "g".parse().expect("a name");
    let spec = ServerSpec::builder()
        .name(name())
        .group(group.clone())
        .service("s".parse().expect("a name"))
        .site(1)
        .slots(1)
        .connections(2)
        .service_time(Duration::from_millis(1))
        .build();
    let servers = Servers::start(net, vec![spec]).await.expect("a free port");
    servers.publish(&group, SnapshotIndex::build(corpus, SNAPSHOT, 1));
    servers
}

type Exchange = std::result::Result<(u16, HeaderMap, Bytes), hyper::Error>;

async fn search(servers: &Servers, query: &str, attempt: &str) -> Exchange {
    let (head, body) = send(servers, query, attempt).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok((head.status.as_u16(), head.headers, body))
}

async fn send(servers: &Servers, query: &str, attempt: &str) -> hyper::Result<Response<Incoming>> {
    let addr = servers.addr(&name()).expect("the server");
    let io = TcpStream::connect(addr).await.expect("it listens");
    let (mut tx, driver) = http1::handshake(TokioIo::new(io)).await?;
    tokio::spawn(driver);
    let req = Request::post("/search")
        .header("x-attempt", attempt)
        .header("x-snapshot", "1")
        .header("x-shard", "0")
        .header("x-page", "5")
        .header("x-idempotency-key", "1-abcdefgh")
        .body(Full::new(Bytes::from(query.to_owned())))
        .expect("a request");
    tx.send_request(req).await
}

fn digest_fits(headers: &HeaderMap, body: &[u8]) -> bool {
    headers["x-digest"] == format!("{:016x}", xxh3_64(body))
}

#[tokio::test]
async fn merged_shards_equal_the_brute_force_page() {
    let corpus = Arc::new(Corpus::sample(300));
    let reference = ReferenceSearch::new(corpus.clone());
    let index = SnapshotIndex::build(&corpus, SNAPSHOT, 7);
    let mut hits = Vec::new();
    let mut matched = 0;
    for shard in 0..7 {
        let part = index.search(ShardId(shard), "larch levy", None, 10);
        let part = part.expect("the shard");
        matched += part.matched;
        hits.extend(part.hits);
    }
    hits.sort_by(|a, b| b.score.cmp(&a.score).then_with(|| a.doc.cmp(&b.doc)));
    hits.truncate(10);
    let request = SearchRequest {
        query: "larch levy",
        key: None,
        snapshot: SNAPSHOT,
        shards: 7,
        page: 10,
    };
    assert_eq!(
        reference.search(&request, &|_| true),
        Part { hits, matched }
    );
}

#[tokio::test]
async fn a_part_has_the_headers_of_the_protocol() {
    let corpus = Corpus::sample(50);
    let servers = one_server(&corpus).await;
    let (status, headers, body) = search(&servers, "larch", "v/1/2/0/0")
        .await
        .expect("a reply");
    assert_eq!(status, 200);
    assert_eq!(headers["x-attempt"], "v/1/2/0/0");
    assert_eq!(headers["x-snapshot"], "1");
    assert!(digest_fits(&headers, &body));
    let counts = servers.counts();
    assert_eq!(counts.runs_of_request("v.1.2"), 1);
    assert_eq!(counts.runs_of_key("1-abcdefgh"), 1);
}

#[tokio::test]
async fn a_garbled_part_does_not_match_its_digest() {
    let servers = one_server(&Corpus::sample(50)).await;
    let spoil = Command::Spoil {
        server: None,
        how: ReplyFault::Garbled,
        share: 1.0,
    };
    servers.apply(spoil).await.expect("applied");
    let (_, headers, body) = search(&servers, "larch", "v/1/2/0/0")
        .await
        .expect("a reply");
    assert!(!digest_fits(&headers, &body));
}

/// Regression test: the connection of a truncated part was closed before any byte of it was sent.
#[tokio::test]
async fn a_truncated_part_sends_its_headers_and_some_of_its_body() {
    let servers = one_server(&Corpus::sample(50)).await;
    let command = Command::Spoil {
        server: None,
        how: ReplyFault::Truncated,
        share: 1.0,
    };
    servers.apply(command).await.expect("applied");
    let res = send(&servers, "larch", "v/1/2/0/0").await.expect("a head");
    let length: usize = res.headers()["content-length"]
        .to_str()
        .ok()
        .and_then(|l| l.parse().ok())
        .expect("a length");
    let mut body = res.into_body();
    let first = body.frame().await.expect("a frame").expect("some bytes");
    let first = first.into_data().expect("data");
    assert!(!first.is_empty() && first.len() < length, "{first:?}");
    assert!(body.frame().await.is_some_and(|f| f.is_err()));
}

#[tokio::test]
async fn a_draining_server_executes_nothing() {
    let servers = one_server(&Corpus::sample(50)).await;
    servers
        .apply(Command::Drain { server: name() })
        .await
        .expect("applied");
    let (status, headers, _) = search(&servers, "larch", "v/1/2/0/0")
        .await
        .expect("a reply");
    assert_eq!(
        (status, &headers["x-not-run"]),
        (503, &"1".parse().expect("a value"))
    );
    assert_eq!(headers["x-reason"], "draining");
    assert_eq!(servers.counts().summary().total.runs, 0);
}

#[tokio::test]
async fn a_connection_above_the_limit_is_closed_and_counted() {
    let servers = one_server(&Corpus::sample(10)).await;
    let addr = servers.addr(&name()).expect("the server");
    let mut held = Vec::new();
    for _ in 0..3 {
        held.push(TcpStream::connect(addr).await.expect("it listens"));
    }
    let mut buf = [0; 1];
    let read = held[2].read(&mut buf).await;
    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
    assert_eq!(servers.counts().of(&name()).over_limit, 1);
}

#[tokio::test]
async fn a_poisoned_lookup_crashes_the_server_until_it_restarts() {
    let servers = one_server(&Corpus::sample(50)).await;
    let poison = Command::Poison {
        word: Some("boom".to_owned()),
        down_ms: 600_000,
    };
    servers.apply(poison).await.expect("applied");
    let broken = search(&servers, "boom", "v/1/2/0/0").await;
    assert!(broken.is_err(), "{broken:?}");
    assert_eq!(servers.counts().of(&name()).crashes, 1);
    servers
        .apply(Command::Restart { server: name() })
        .await
        .expect("applied");
    let (status, ..) = search(&servers, "larch", "v/1/3/0/0")
        .await
        .expect("a reply");
    assert_eq!(status, 200);
}
