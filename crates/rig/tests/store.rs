//! Tests of the stand-in of the platform's store.

use std::time::Duration;

use gs_rig::site::Store;
use gs_rig::site::StoreCopy;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;

/// Makes a call; returns the status, the era and the body.
async fn call(store: &Store, path: &str) -> (u16, String, Value) {
    let tcp = tokio::net::TcpStream::connect(store.addr())
        .await
        .expect("it listens");
    let (mut sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(tcp))
        .await
        .expect("a connection");
    let conn = tokio::spawn(conn);
    let req = Request::get(path)
        .body(Empty::<Bytes>::new())
        .expect("a request");
    let res = sender.send_request(req).await.expect("an answer");
    let status = res.status().as_u16();
    let era = res.headers().get("store-era").and_then(|v| v.to_str().ok());
    let era = era.unwrap_or_default().to_owned();
    let body = res.into_body().collect().await.expect("a body").to_bytes();
    conn.abort();
    (
        status,
        era,
        serde_json::from_slice(&body).unwrap_or_default(),
    )
}

async fn store_with_lost_write() -> (Store, StoreCopy) {
    let store = Store::start().await.expect("it starts");
    store.put("config", "main", json!(1));
    let copy = store.copy();
    store.put("config", "main", json!(2));
    store.put("gentiansill-vms", "vm-1", json!(1));
    (store, copy)
}

#[tokio::test]
async fn a_restored_store_has_the_objects_and_the_revision_of_the_copy() {
    let (store, copy) = store_with_lost_write().await;
    store.restore(copy);
    let (_, _, listed) = call(&store, "/api/objects/config").await;
    assert_eq!(listed["at"], 1);
    assert_eq!(listed["items"][0]["spec"], 1);
    assert!(store.names("gentiansill-vms").is_empty());
}

#[tokio::test]
async fn the_era_rises_by_one_with_each_restore_in_every_answer() {
    let (store, copy) = store_with_lost_write().await;
    let (_, before, _) = call(&store, "/api/objects/config").await;
    store.restore(copy);
    let (_, after, _) = call(&store, "/api/objects/config").await;
    let (status, of_refusal, _) = call(&store, "/api/objects/config/none").await;
    assert_eq!((before.as_str(), after.as_str()), ("1", "2"));
    assert_eq!((status, of_refusal.as_str()), (404, "2"));
}

#[tokio::test]
async fn a_watch_from_a_revision_that_a_restored_store_does_not_have_gets_410() {
    let (store, copy) = store_with_lost_write().await;
    store.restore(copy);
    let (status, ..) = call(&store, "/api/objects/config?watch=3&poll_timeout_ms=1000").await;
    assert_eq!(status, 410);
}

#[tokio::test]
async fn what_operators_and_servers_wrote_is_written_again_and_what_vms_wrote_is_not() {
    let (store, copy) = store_with_lost_write().await;
    let lost = store.restore(copy);
    store.rewrite(lost);
    let (_, _, listed) = call(&store, "/api/objects/config").await;
    assert_eq!(listed["items"][0]["spec"], 2);
    assert!(store.names("gentiansill-vms").is_empty());
}

#[tokio::test]
async fn serializable_reads_see_the_state_of_the_read_age_and_others_the_present_one() {
    const LIST: &str = "/api/objects/config";
    const OLD_LIST: &str = "/api/objects/config?serializable=1";
    const OLD_WATCH: &str = "/api/objects/config?serializable=1&poll_timeout_ms=1&watch=1";
    let store = Store::start().await.expect("it starts");
    store.put("config", "main", json!(1));
    store.set_read_age(Duration::from_secs(3));
    store.put("config", "main", json!(2));
    let (_, _, present) = call(&store, LIST).await;
    let (_, _, old) = call(&store, OLD_LIST).await;
    let (_, _, old_changes) = call(&store, OLD_WATCH).await;
    assert_eq!(present["items"][0]["spec"], 2);
    assert_eq!(
        (&old["items"][0]["spec"], &old["at"]),
        (&json!(1), &json!(1))
    );
    assert_eq!(old_changes, json!({ "events": [], "at": 1 }));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (_, _, old) = call(&store, OLD_LIST).await;
    let (_, _, old_changes) = call(&store, OLD_WATCH).await;
    assert_eq!(
        (&old["items"][0]["spec"], &old["at"]),
        (&json!(2), &json!(2))
    );
    assert_eq!(old_changes["events"][0]["object"]["spec"], 2);
}
