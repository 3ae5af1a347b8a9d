//! Tests of handlers that panic.

use super::common::Client;
use super::common::get;
use super::common::limits;
use super::common::start;

/// The relay learns from the drop of a handler's future that its caller has left.
#[tokio::test]
async fn a_caller_that_disconnects_drops_the_handler() {
    let s = start(limits()).await;
    let mut client = Client::connect(s.addr);
    client.write(&get("/hold"));
    s.handler.arrived.notified().await;
    drop(client);
    let dropped = tokio::time::timeout(super::common::WAIT_MAX, s.handler.dropped.notified());
    assert!(dropped.await.is_ok(), "the handler still runs");
}
