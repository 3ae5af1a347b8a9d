//! Malformed register entries, routes and requests.

use std::time::Duration;

use gs_rig::site::UNREADABLE;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::assert_all;
use crate::support::is_complete;
use crate::support::start_site;

/// Prevents one malformed register entry from making every VM ignore all servers.
#[rstest]
#[case::null(Value::Null)]
#[case::text(json!("not an entry"))]
#[case::no_address(json!({"backend": "shard0", "zone": "east", "state": "ready"}))]
#[case::address_of_another_type(json!({"backend": "shard0", "address": 7, "zone": "east", "max_concurrent": 2, "state": "ready"}))]
#[case::unknown_state(json!({"backend": "shard0", "address": "127.0.0.1:1", "zone": "east", "max_concurrent": 2, "state": "asleep"}))]
#[case::bytes_that_are_no_text(json!({"backend": "shard0", "address": "127.0.0.1:1", "zone": "east", "max_concurrent": 2, "state": "ready", "version": UNREADABLE.to_string()}))]
#[tokio::test]
async fn a_server_entry_that_cannot_be_read_leaves_the_others_in_use(#[case] entry: Value) {
    let mut r = start_site().await;
    r.site.store.put("servers", "i-forged", entry);
    let end = tokio::time::Instant::now() + Duration::from_secs(5);
    while !r.logs().contains("event=object-unreadable") {
        assert!(
            tokio::time::Instant::now() < end,
            "the unreadable object is not logged"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let route = r.route("/page/");
    assert_all(&r.request_all(3, &route).await, is_complete);
}

/// Prevents a malformed configuration from replacing the one in force.
#[tokio::test]
async fn routes_that_cannot_be_read_leave_the_current_ones_in_force() {
    let mut r = start_site().await;
    r.site
        .store
        .put("config", "main", json!({"version": 99, "routes": 3}));
    let end = tokio::time::Instant::now() + Duration::from_secs(5);
    while !r.logs().contains("event=object-unreadable") {
        assert!(
            tokio::time::Instant::now() < end,
            "the unreadable object is not logged"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let route = r.route("/page/");
    assert_all(&r.request_all(3, &route).await, is_complete);
}

/// Prevents a malformed delegation, such as one from a peer with another version of the program, from running anything:
/// the peer must learn that nothing ran, as it then queries the shards itself.
#[rstest]
#[case::no_headers("GET /page/x HTTP/1.1\r\nhost: x\r\n\r\n")]
#[case::no_shards(
    "GET /page/x HTTP/1.1\r\nhost: x\r\ngs-id: a\r\ngs-host: x\r\ngs-hops: 1\r\n\r\n"
)]
#[case::malformed_number(
    "GET /page/x HTTP/1.1\r\nhost: x\r\ngs-id: a\r\ngs-host: x\r\ngs-patience-ms: y\r\n\r\n"
)]
#[tokio::test]
async fn a_delegation_that_cannot_be_read_is_not_executed(#[case] text: &str) {
    let r = start_site().await;
    r.clear_runs();
    let mut tcp = TcpStream::connect(r.site.vms[0].plan().peers)
        .await
        .expect("a connection");
    tcp.write_all(text.as_bytes()).await.expect("it is sent");
    let mut answer = [0; 12];
    tcp.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 400");
    assert!(r.busy_servers().is_empty(), "{:?}", r.busy_servers());
}
