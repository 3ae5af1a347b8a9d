//! Mirroring of a prefix through changes and outages.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gs_rig::platform::Control;
use gs_rig::platform::Platform as Rig;
use gs_store::Platform;
use gs_store::Update;
use gs_store::WatchOptions;
use gs_store::Watcher;
use tokio::sync::mpsc::Receiver;

use crate::common::pair;

fn watch(p: Arc<dyn Platform>) -> (Watcher, Receiver<Update>) {
    let options = WatchOptions::builder()
        .prefix("groups/")
        .seed(7)
        .wait(Duration::from_secs(1))
        .backoff(Duration::from_millis(5))
        .backoff_max(Duration::from_millis(20))
        .build();
    Watcher::start(p, options)
}

async fn next(rx: &mut Receiver<Update>) -> (String, Option<Bytes>) {
    let update = tokio::time::timeout(Duration::from_secs(20), rx.recv())
        .await
        .expect("an update in time")
        .expect("the watcher still runs");
    (update.path, update.object.map(|o| o.content))
}

fn put(path: &str, content: &'static str) -> (String, Option<Bytes>) {
    (path.into(), Some(Bytes::from(content)))
}

/// Waits until the stand-in holds an open watch.
async fn wait_for_watch(rig: &Rig) {
    while rig.counts().waiting == 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn existing_objects_and_later_changes_are_delivered() {
    let (rig, p) = pair().await;
    rig.put("groups/a", "one");
    rig.put("other/b", "none of ours");
    let (_w, mut rx) = watch(p.clone());
    assert_eq!(next(&mut rx).await, put("groups/a", "one"));
    wait_for_watch(&rig).await;
    let v = rig.put("groups/a", "two");
    assert_eq!(next(&mut rx).await, put("groups/a", "two"));
    p.delete("groups/a", gs_store::Version(v))
        .await
        .expect("deleted");
    assert_eq!(next(&mut rx).await, ("groups/a".into(), None));
}

/// Prevents an object of another writer, at a path that no call can name, from hiding all objects after it.
#[tokio::test]
async fn an_object_that_cannot_be_named_leaves_the_others_delivered() {
    let (rig, p) = pair().await;
    rig.put("groups/a odd", "unreadable");
    rig.put("groups/b", "one");
    let (_w, mut rx) = watch(p);
    assert_eq!(next(&mut rx).await, put("groups/b", "one"));
    wait_for_watch(&rig).await;
    rig.put("groups/a\u{1}", "unreadable");
    rig.put("groups/b", "two");
    assert_eq!(next(&mut rx).await, put("groups/b", "two"));
}

/// An object changes while the platform is unreachable: the change must be delivered after the outage.
#[tokio::test]
async fn a_change_in_an_outage_is_delivered_after_it() {
    let (rig, p) = pair().await;
    rig.put("groups/a", "one");
    let (_w, mut rx) = watch(p);
    assert_eq!(next(&mut rx).await, put("groups/a", "one"));
    rig.control(Control {
        down: Some(true),
        ..Control::default()
    });
    let refused = rig.counts().refused;
    while rig.counts().refused < refused + 2 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    rig.put("groups/a", "two");
    rig.control(Control {
        down: Some(false),
        ..Control::default()
    });
    assert_eq!(next(&mut rx).await, put("groups/a", "two"));
}

/// The VM is partitioned from the platform and its watch gets no answer at all: a change made meanwhile must be
/// delivered after the partition.
#[tokio::test]
async fn a_change_in_a_partition_is_delivered_after_it() {
    let (rig, p) = pair().await;
    rig.put("groups/a", "one");
    let (_w, mut rx) = watch(p);
    assert_eq!(next(&mut rx).await, put("groups/a", "one"));
    rig.control(Control {
        cut: Some(vec![rig.addr().ip()]),
        ..Control::default()
    });
    rig.put("groups/a", "two");
    let refused = rig.counts().refused;
    while rig.counts().refused < refused + 1 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    rig.control(Control {
        cut: Some(Vec::new()),
        ..Control::default()
    });
    assert_eq!(next(&mut rx).await, put("groups/a", "two"));
}

/// Guards against a watch that begins while the platform is silent for a moment, is never answered, and is trusted for
/// longer than a patch may take.
#[tokio::test]
async fn a_change_after_a_watch_that_is_never_answered_is_delivered_within_the_time_for_patches() {
    const PATCH_MAX: Duration = Duration::from_secs(4);
    let (rig, p) = pair().await;
    rig.put("groups/a", "one");
    let options = WatchOptions::builder().prefix("groups/").seed(7).build();
    let (_w, mut rx) = Watcher::start(p, options);
    assert_eq!(next(&mut rx).await, put("groups/a", "one"));
    wait_for_watch(&rig).await;
    let refused = rig.counts().refused;
    rig.control(Control {
        lose_watches: Some(true),
        ..Control::default()
    });
    // The open watch returns this change; the next watch is lost.
    rig.put("groups/a", "two");
    assert_eq!(next(&mut rx).await, put("groups/a", "two"));
    while rig.counts().refused == refused {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    rig.control(Control {
        lose_watches: Some(false),
        ..Control::default()
    });
    rig.put("groups/a", "three");
    let delivered = tokio::time::timeout(PATCH_MAX, next(&mut rx)).await;
    assert_eq!(delivered, Ok(put("groups/a", "three")));
}

/// During an outage the platform drops its log of changes, and an object is deleted. The prefix must be listed again,
/// and the deletion found by comparison.
#[tokio::test]
async fn a_compacted_revision_causes_a_new_list() {
    let (rig, p) = pair().await;
    let v = rig.put("groups/a", "one");
    rig.put("groups/b", "two");
    let (_w, mut rx) = watch(p.clone());
    assert_eq!(next(&mut rx).await, put("groups/a", "one"));
    assert_eq!(next(&mut rx).await, put("groups/b", "two"));
    wait_for_watch(&rig).await;
    rig.control(Control {
        silent: Some(true),
        ..Control::default()
    });
    rig.put("groups/b", "three");
    rig.control(Control {
        silent: Some(false),
        forget: Some(true),
        ..Control::default()
    });
    p.delete("groups/a", gs_store::Version(v))
        .await
        .expect("deleted");
    let mut seen = vec![next(&mut rx).await, next(&mut rx).await];
    seen.sort();
    assert_eq!(
        seen,
        vec![("groups/a".into(), None), put("groups/b", "three")]
    );
}

#[tokio::test]
async fn a_watcher_ends_with_its_receiver() {
    let (rig, p) = pair().await;
    let (_w, rx) = watch(p);
    wait_for_watch(&rig).await;
    drop(rx);
    while rig.counts().waiting > 0 {
        tokio::task::yield_now().await;
    }
}

/// Every VM learns of a change both from a peer and from the platform's watch. Reading the object on each VM would be
/// most of the calls that a change costs, so an object that a peer sent is not read.
#[tokio::test]
async fn an_object_received_from_a_peer_is_not_read() {
    let (rig, p) = pair().await;
    let held = Arc::new(AtomicU64::new(0));
    let held_version = held.clone();
    let options = WatchOptions::builder()
        .prefix("config/")
        .seed(7)
        .is_held(Arc::new(move |_: &str, v| {
            v.0 <= held_version.load(Ordering::SeqCst)
        }))
        .read_delay(Duration::from_millis(5))
        .build();
    let (_w, mut rx) = Watcher::start(p.clone(), options);
    wait_for_watch(&rig).await;
    held.store(1, Ordering::SeqCst);
    rig.put("config/current", "from a peer");
    while rig.counts().watches < 2 {
        tokio::task::yield_now().await;
    }
    rig.put("config/current", "new");
    assert_eq!(next(&mut rx).await, put("config/current", "new"));
    assert_eq!(rig.counts().reads, 1);
}
