//! Tests of callers that read their response slowly or not at all.

use std::io::Read;
use std::time::Duration;

use super::common::Client;
use super::common::LARGE_BYTES;
use super::common::get;
use super::common::keep_log;
use super::common::limits;
use super::common::lines_of;
use super::common::start;
use super::common::wait_until;

/// The timeout of an idle connection and of a write without progress.
const IDLE_TIMEOUT: Duration = Duration::from_millis(400);

/// The idle timeout ran while a response was written, and cut it at a caller that read it slowly.
#[tokio::test]
async fn the_idle_timeout_does_not_cut_a_response() {
    let s = start(gs_http::Limits {
        idle_timeout: IDLE_TIMEOUT,
        ..limits()
    })
    .await;
    let mut client = Client::connect(s.addr);
    client.write(&get("/large"));
    let read = client.run(|tcp| {
        let (mut len, mut buf) = (0, vec![0; 128 << 10]);
        while len < LARGE_BYTES {
            std::thread::sleep(Duration::from_millis(5));
            match tcp.read(&mut buf) {
                Ok(0) => break,
                Ok(n) => len += n,
                Err(e) => return (len, e.to_string()),
            }
        }
        (len, String::new())
    });
    let (_, (len, error)) = read.await;
    assert!(len >= LARGE_BYTES, "{len} of {LARGE_BYTES} bytes {error}");
}

/// A caller that never reads its response would hold the connection for ever.
#[tokio::test]
async fn a_response_that_is_not_read_ends_the_connection() {
    keep_log();
    let s = start(gs_http::Limits {
        idle_timeout: IDLE_TIMEOUT,
        ..limits()
    })
    .await;
    let mut client = Client::connect(s.addr);
    client.write(&get("/large"));
    wait_until("accepted", || s.state.accepted() == 1).await;
    wait_until("closed", || s.state.open() == 0).await;
    let lines = lines_of(client.addr());
    let is_named = lines
        .iter()
        .any(|l| l.contains("phase=response") && l.contains("cause=timeout"));
    assert!(is_named, "{lines:?}");
}
