//! A client, and the stand-in for the platform that it calls.

use std::sync::Arc;
use std::time::Duration;

use gs_clock::Clock;
use gs_clock::SystemClock;
use gs_rig::platform::Platform as Rig;
use gs_rig::platform::PlatformOptions;
use gs_store::HttpPlatform;
use gs_store::HttpPlatformOptions;
use gs_types::prelude::*;

/// Starts a stand-in and a client with short timeouts.
pub async fn pair() -> (Rig, Arc<HttpPlatform>) {
    let rig = Rig::start(PlatformOptions::builder().build())
        .await
        .expect("the stand-in starts");
    let client = client(&rig, PerSecond(1_000.0), clock());
    (rig, client)
}

/// Returns a client with the given budget of reads and of writes.
pub fn client(rig: &Rig, budget: PerSecond, clock: Arc<dyn Clock>) -> Arc<HttpPlatform> {
    let options = HttpPlatformOptions::builder()
        .addr(rig.addr())
        .seed(7)
        .clock(clock)
        .timeout(Duration::from_millis(300))
        .tries_max(2)
        .backoff(Duration::from_millis(5))
        .reads(budget)
        .writes(budget)
        .build();
    Arc::new(HttpPlatform::new(options))
}

/// Returns the system clock.
pub fn clock() -> Arc<dyn Clock> {
    Arc::new(SystemClock)
}
