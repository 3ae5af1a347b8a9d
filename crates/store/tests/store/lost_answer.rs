//! Writes whose answer is lost.

use bytes::Bytes;
use gs_rig::platform::AnswerLoss;
use gs_rig::platform::Control;
use gs_store::Platform;
use gs_store::Version;
use gs_store::write_with_read_back;
use gs_types::prelude::*;

use crate::common::pair;

fn lose(count: u32) -> Control {
    Control {
        lose: Some(AnswerLoss {
            count,
            prefix: String::new(),
        }),
        ..Control::default()
    }
}

fn has_nonce_1(content: &[u8]) -> bool {
    content.windows(7).any(|w| w == b"nonce-1")
}

/// The platform makes a write and the connection breaks before the answer. The writer cannot know the result, and the
/// error must not say that the write had no effect.
#[tokio::test]
async fn a_write_without_an_answer_is_unknown() {
    let (rig, p) = pair().await;
    rig.control(lose(1));
    let e = p
        .write("claims/a", Version::ABSENT, Bytes::from("x"))
        .await
        .expect_err("the answer is lost");
    assert_eq!(e.kind(), ErrorKind::Unknown);
    assert!(rig.get("claims/a").is_some());
}

/// As above, and the writer reads the object back: its nonce is there, so that the write took effect and is not
/// repeated.
#[tokio::test]
async fn reading_back_finds_our_write() {
    let (rig, p) = pair().await;
    rig.control(lose(1));
    let content = Bytes::from("nonce-1");
    let v = write_with_read_back(&*p, "claims/a", Version::ABSENT, content, 3, &has_nonce_1)
        .await
        .expect("resolved by reading back");
    assert_eq!(rig.get("claims/a").map(|(v, _)| v), Some(v.0));
    assert_eq!(rig.counts().writes, 1);
}

/// Two VMs write under the same condition, and the second one gets a conflict: it must learn that its write will never
/// take effect.
#[tokio::test]
async fn reading_back_finds_another_write() {
    let (rig, p) = pair().await;
    rig.put("claims/a", "nonce-2");
    let e = write_with_read_back(
        &*p,
        "claims/a",
        Version::ABSENT,
        Bytes::from("nonce-1"),
        3,
        &has_nonce_1,
    )
    .await
    .expect_err("another was first");
    assert_eq!(e.kind(), ErrorKind::Conflict);
}

/// The answer is lost, and another VM writes the object, keeping our nonce, before the first writer reads it back. The
/// first writer must still learn that its write took effect.
#[tokio::test]
async fn reading_back_finds_our_write_before_a_later_one() {
    let (rig, p) = pair().await;
    rig.put("claims/a", "nonce-1 nonce-2");
    let v = write_with_read_back(
        &*p,
        "claims/a",
        Version::ABSENT,
        Bytes::from("nonce-1"),
        3,
        &has_nonce_1,
    )
    .await;
    assert!(v.is_ok(), "{v:?}");
}

/// The platform accepts a write, breaks the connection, and the write takes effect only later. Reading the object back
/// before shows no write, which must not count as a conflict.
#[tokio::test]
async fn a_write_that_may_still_take_effect_stays_unknown() {
    let (rig, p) = pair().await;
    rig.control(Control {
        stall_writes: Some(true),
        ..Control::default()
    });
    let write = || {
        write_with_read_back(
            &*p,
            "claims/a",
            Version::ABSENT,
            Bytes::from("nonce-1"),
            2,
            &has_nonce_1,
        )
    };
    let e = write().await.expect_err("nothing has taken effect yet");
    assert_eq!(e.kind(), ErrorKind::Unknown);
    rig.control(Control {
        stall_writes: Some(false),
        ..Control::default()
    });
    assert!(write().await.is_ok(), "the same call resolves it");
    assert_eq!(
        rig.get("claims/a").map(|(_, c)| c),
        Some(Bytes::from("nonce-1"))
    );
}

/// The platform rejects the write while it is down: it cannot take effect later, and the error must say so.
#[tokio::test]
async fn a_refused_write_is_not_unknown() {
    let (rig, p) = pair().await;
    rig.control(Control {
        down: Some(true),
        ..Control::default()
    });
    let e = write_with_read_back(
        &*p,
        "claims/a",
        Version::ABSENT,
        Bytes::from("nonce-1"),
        2,
        &has_nonce_1,
    )
    .await
    .expect_err("the platform is down");
    assert_eq!(e.kind(), ErrorKind::Unavailable);
    assert!(p.unreachable_for().is_some());
}
