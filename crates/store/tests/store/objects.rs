//! Reads, conditional writes and deletes, and the limits on calls.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use gs_clock::ManualClock;
use gs_rig::platform::Control;
use gs_rig::platform::Limits;
use gs_store::Platform;
use gs_store::Version;
use gs_types::prelude::*;

use crate::common::client;
use crate::common::pair;

#[tokio::test]
async fn a_write_is_read_back_with_its_version() {
    let (_rig, p) = pair().await;
    let v = p
        .write("groups/a", Version::ABSENT, Bytes::from("one"))
        .await;
    let v = v.expect("the first write takes effect");
    let object = p.read("groups/a").await.expect("read").expect("found");
    assert_eq!((object.version, object.content), (v, Bytes::from("one")));
}

#[tokio::test]
async fn a_missing_object_is_none() {
    let (_rig, p) = pair().await;
    assert_eq!(p.read("groups/none").await, Ok(None));
}

#[tokio::test]
async fn a_write_under_an_old_version_is_a_conflict() {
    let (rig, p) = pair().await;
    let old = rig.put("groups/a", "one");
    rig.put("groups/a", "two");
    let e = p
        .write("groups/a", Version(old), Bytes::from("three"))
        .await
        .expect_err("the version is old");
    assert_eq!(e.kind(), ErrorKind::Conflict);
    assert_eq!(e.step(), Some("write object"));
    assert_eq!(e.peer(), Some(rig.addr().to_string().as_str()));
}

#[tokio::test]
async fn a_delete_needs_the_version() {
    let (rig, p) = pair().await;
    let old = rig.put("claims/a", "one");
    let v = rig.put("claims/a", "two");
    let e = p.delete("claims/a", Version(old)).await.expect_err("old");
    assert_eq!(e.kind(), ErrorKind::Conflict);
    assert_eq!(p.delete("claims/a", Version(v)).await, Ok(true));
    assert_eq!(p.delete("claims/a", Version(v)).await, Ok(false));
}

#[tokio::test]
async fn an_oversized_object_is_refused_without_a_call() {
    let (rig, p) = pair().await;
    let e = p
        .write("claims/a", Version::ABSENT, Bytes::from(vec![0; 1_000_001]))
        .await
        .expect_err("too large");
    assert_eq!(e.kind(), ErrorKind::TooMuch);
    assert_eq!(rig.counts().writes, 0);
}

#[tokio::test]
async fn a_path_with_a_query_string_is_refused() {
    let (_rig, p) = pair().await;
    let e = p.read("a?prefix=b").await.expect_err("not a path");
    assert_eq!(e.kind(), ErrorKind::BadInput);
}

#[tokio::test]
async fn a_call_over_the_platforms_rate_is_reported_and_counted() {
    let (rig, p) = pair().await;
    let limits = Limits {
        reads: 0,
        writes: 1,
    };
    rig.control(Control {
        limits: Some(limits),
        ..Control::default()
    });
    let mut kinds = Vec::new();
    for i in 0..3 {
        let path = format!("claims/{i}");
        let result = p.write(&path, Version::ABSENT, Bytes::new()).await;
        kinds.push(result.map_err(|e| e.kind()).err());
    }
    assert!(kinds.contains(&Some(ErrorKind::TooMuch)), "{kinds:?}");
    assert_eq!(rig.counts().limited, p.call_counts().limited);
}

#[tokio::test]
async fn a_call_over_the_budget_is_not_made() {
    let (rig, _) = pair().await;
    let clock = Arc::new(ManualClock::starting_at(SystemTime::UNIX_EPOCH));
    let p = client(&rig, PerSecond(1.0), clock.clone());
    let first = p.delete("claims/a", Version(1)).await;
    let second = p.delete("claims/a", Version(1)).await;
    assert_eq!(first, Ok(false));
    assert_eq!(
        second.map_err(|e| e.kind()),
        Err(ErrorKind::TooMuch),
        "the budget is one write a second"
    );
    assert_eq!((rig.counts().deletes, p.call_counts().over_budget), (1, 1));
    clock.advance(Duration::from_secs(1));
    assert_eq!(p.delete("claims/a", Version(1)).await, Ok(false));
}

#[tokio::test]
async fn the_vm_list_is_read() {
    let (_rig, p) = pair().await;
    assert_eq!(p.vms().await, Ok(Vec::new()));
    assert_eq!(p.call_counts().total(), 1);
}
