//! Tests that replies whose bytes never end are bounded in memory together; alone in its process, whose memory it measures.

mod endless;

use std::sync::Arc;
use std::time::Duration;

use gs_http::ExchangeError;

use endless::Endless;
use endless::EndlessServer;
use endless::fail;

/// The number of replies without an end that come at once.
const REPLIES: usize = 200;

/// The time within which all have ended, on one thread that also runs their servers.
const REPLIES_END_WITHIN: Duration = Duration::from_secs(60);

/// The most memory that they may hold, buffers included: under half of a VM of 160 MB.
const HELD_BYTES_MAX: usize = 72 << 20;

/// Returns the memory of this process that is in use, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1));
    kib.and_then(|k| k.parse::<usize>().ok()).expect("a size") << 10
}

/// Prevents some hundred replies without an end, each within its own bound, from using up a VM's memory together, and
/// a small reply from being refused meanwhile.
#[tokio::test]
async fn many_bodies_without_end_are_bounded_together() {
    let slow = Some(Duration::from_millis(1));
    let mut servers = vec![EndlessServer::start(Endless::UnframedBody, None).await];
    for endless in Endless::ALL {
        servers.push(EndlessServer::start(endless, None).await);
    }
    let small = EndlessServer::start(Endless::UnframedBody, slow).await;
    let before = resident_bytes();
    let mut replies = tokio::task::JoinSet::new();
    for n in 0..REPLIES {
        // Most are bodies, which hold the most.
        let at = if n % 4 == 0 { n / 4 % servers.len() } else { 0 };
        let server = Arc::clone(&servers[at]);
        replies.spawn(async move { fail(&server).await });
    }
    let watched = tokio::spawn(async move { fail(&small).await });
    let mut most = before;
    let all = async {
        while let Some(e) = replies.join_next().await {
            assert_ne!(e.expect("no panic"), ExchangeError::NotSent);
            most = most.max(resident_bytes());
        }
    };
    tokio::time::timeout(REPLIES_END_WITHIN, all)
        .await
        .expect("they are given up");
    assert!(!watched.is_finished(), "the small reply was given up");
    let held = most - before;
    assert!(held <= HELD_BYTES_MAX, "{held} bytes");
}
