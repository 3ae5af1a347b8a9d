//! Tests that replies whose bytes never end are bounded in time and in bytes read.

mod endless;

use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_http::ExchangeError;
use rstest::rstest;

use endless::Endless;
use endless::EndlessServer;
use endless::GIVEN_UP_WITHIN;
use endless::fail;

/// The most bytes that a connection may accept for one reply, buffers of the sockets included.
const ACCEPTED_BYTES_MAX: usize = 24 << 20;

/// Prevents bytes without an end from being read until the caller's timeout, and their connection from staying open.
#[tokio::test]
async fn bytes_without_end_are_given_up() {
    for endless in Endless::ALL {
        let server = EndlessServer::start(endless, None).await;
        let failed = tokio::time::timeout(GIVEN_UP_WITHIN, fail(&server)).await;
        let e = failed.unwrap_or_else(|_| panic!("{endless:?} is not given up"));
        assert_ne!(e, ExchangeError::NotSent);
        let closed = tokio::time::timeout(GIVEN_UP_WITHIN, server.closed.notified()).await;
        closed.unwrap_or_else(|_| panic!("the connection of {endless:?} stays open"));
        let accepted = server.accepted_bytes.load(Ordering::Relaxed);
        assert!(
            accepted <= ACCEPTED_BYTES_MAX,
            "{endless:?}: {accepted} bytes"
        );
    }
}

/// Prevents a server that sends a byte now and then from holding a connection after its request was given up.
#[rstest]
#[case(Endless::Header)]
#[case(Endless::InterimHeads)]
#[case(Endless::UnframedBody)]
#[case(Endless::TinyChunks)]
#[tokio::test]
async fn slow_bytes_without_end_are_closed_when_the_caller_gives_up(#[case] endless: Endless) {
    let server = EndlessServer::start(endless, Some(Duration::from_millis(20))).await;
    let failed = tokio::time::timeout(Duration::from_millis(300), fail(&server)).await;
    assert!(failed.is_err(), "{failed:?}");
    let closed = tokio::time::timeout(GIVEN_UP_WITHIN, server.closed.notified()).await;
    closed.expect("its connection is closed");
}
