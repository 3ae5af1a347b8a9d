//! Tests of which connection a request takes from a pool, and that none carries two exchanges of one request.

use std::sync::Arc;
use std::time::Duration;

use gs_http::ConnectOptions;
use gs_http::ConnectionNeeds;
use gs_http::ConnectionPool;
use gs_http::ConnectionSink;
use gs_http::ExchangeKey;
use gs_types::prelude::*;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// How long a request waits for a connection that must become available.
const TIMEOUT: Duration = Duration::from_secs(5);

struct IgnoreConnections;

impl ConnectionSink for IgnoreConnections {
    fn on_opened(&self, _: &ServerName, _: Duration) {}

    fn on_closed(&self, _: &ServerName, _: bool) {}
}

/// A server that accepts connections and answers nothing.
struct SilentServer {
    pool: Arc<ConnectionPool>,
    task: JoinHandle<()>,
}

impl SilentServer {
    async fn start(share: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("bound");
        let opts = ConnectOptions {
            source: None,
            connect_timeout: TIMEOUT,
        };
        let name = "desk-01-a".parse().expect("a name");
        let pool = ConnectionPool::new(name, addr, opts, Arc::new(IgnoreConnections));
        pool.set_share(Connections(share));
        let task = tokio::spawn(async move {
            let mut open: Vec<TcpStream> = Vec::new();
            loop {
                let (tcp, _) = listener.accept().await.expect("accepting");
                open.push(tcp);
            }
        });
        Self { pool, task }
    }
}

impl Drop for SilentServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn needs(id: &str) -> ConnectionNeeds {
    ConnectionNeeds {
        exchange: Some(ExchangeKey::of(id)),
        ..ConnectionNeeds::any(TIMEOUT)
    }
}

/// Prevents a late copy of the first attempt's answer from being taken for the answer to the second attempt.
#[rstest]
#[case::the_only_connection_is_replaced(1)]
#[case::another_connection_is_opened(2)]
#[tokio::test]
async fn the_next_attempt_of_a_request_takes_another_connection(#[case] share: u32) {
    let s = SilentServer::start(share).await;
    let first = s.pool.take_for(&needs("a")).await.expect("a connection");
    let first_number = first.number();
    s.pool.put_back(first);
    let second = s.pool.take_for(&needs("a")).await.expect("a connection");
    assert_ne!(second.number(), first_number);
    assert!(s.pool.open() <= share);
}

/// Prevents new connections, which cost a server time, for requests that a connection has not carried.
#[tokio::test]
async fn a_connection_that_is_passed_over_carries_other_requests() {
    let s = SilentServer::start(2).await;
    let first = s.pool.take_for(&needs("a")).await.expect("a connection");
    let first_number = first.number();
    s.pool.put_back(first);
    let second = s.pool.take_for(&needs("a")).await.expect("a connection");
    let other = s.pool.take_for(&needs("b")).await.expect("a connection");
    assert_eq!(other.number(), first_number);
    assert_eq!(s.pool.open(), 2);
    drop(second);
}

/// Prevents an attempt from waiting for its whole timeout beside an idle connection that it must not use.
#[tokio::test]
async fn an_attempt_that_waits_replaces_a_returned_connection_that_carried_its_request() {
    let s = SilentServer::start(1).await;
    let first = s.pool.take_for(&needs("a")).await.expect("a connection");
    let first_number = first.number();
    let second_needs = needs("a");
    let second = s.pool.take_for(&second_needs);
    tokio::pin!(second);
    let waiting = tokio::time::timeout(Duration::from_millis(20), &mut second).await;
    assert!(waiting.is_err(), "the share has one connection");
    s.pool.put_back(first);
    let second = second.await.expect("a connection");
    assert_ne!(second.number(), first_number);
}

/// Prevents a copy that arrives later than in place of the next answer from being taken for another attempt's answer.
#[tokio::test]
async fn a_connection_remembers_a_request_after_it_has_carried_others() {
    let s = SilentServer::start(1).await;
    for id in ["a", "b", "c", "d"] {
        let conn = s.pool.take_for(&needs(id)).await.expect("a connection");
        assert_eq!(conn.number(), 1, "{id}");
        s.pool.put_back(conn);
    }
    let again = s.pool.take_for(&needs("a")).await.expect("a connection");
    assert_eq!(again.number(), 2);
}

/// Prevents an attempt from waiting for its whole timeout at a server that has left.
#[tokio::test]
async fn an_attempt_that_waits_at_a_closed_pool_is_refused_at_once() {
    let s = SilentServer::start(1).await;
    let busy = s.pool.take_for(&needs("a")).await.expect("a connection");
    let second_needs = needs("b");
    let second = s.pool.take_for(&second_needs);
    tokio::pin!(second);
    let waiting = tokio::time::timeout(Duration::from_millis(20), &mut second).await;
    assert!(waiting.is_err(), "the share has one connection");
    s.pool.close();
    let refused = tokio::time::timeout(TIMEOUT / 2, second).await;
    assert!(refused.expect("it does not wait").is_err());
    drop(busy);
}
