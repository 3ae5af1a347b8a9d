//! Watches the platform directly, and begins a watch again that the platform does not answer.

use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gs_follow::WatchRenewal;
use gs_types::prelude::*;
use tokio::time::Instant;

use crate::directory::Changes;
use crate::directory::DirectoryKind;
use crate::register::Register;

/// A watch that has begun.
type WatchCall<'a> = Pin<Box<dyn Future<Output = Result<Changes>> + Send + 'a>>;

impl Register {
    /// Waits for changes of a kind, for at most `wait` if the platform answers in time.
    ///
    /// The watch is begun again once it is overdue, or once another call shows that connections went silent. The earlier
    /// watch still counts until the one after it is overdue too: a slow platform answers late.
    pub(super) async fn watch_until_answered(
        &self,
        kind: DirectoryKind,
        after: Revision,
        wait: Duration,
    ) -> Result<Changes> {
        let since_change = self.cache.time_since_change(kind);
        let wait = wait.min(self.watch_renewal.wait(since_change));
        let limit = WatchRenewal::overdue_after(wait);
        let mut reconnects = self.reconnects.subscribe();
        let mut earlier = None;
        loop {
            let start = Instant::now();
            let mut call = self.platform.watch(kind, after, wait);
            tokio::select! {
                result = first_answer(kind, &mut call, earlier) => {
                    return self.record_platform_call(result);
                }
                () = tokio::time::sleep(limit) => {}
                Ok(()) = reconnects.changed() => {}
            }
            let waited = start.elapsed();
            log::info!("event=watch-overdue kind={kind} after={after} waited={waited:.2?}");
            self.platform_calls.fetch_add(1, Ordering::Relaxed);
            earlier = Some(call);
        }
    }
}

/// Returns the first result of a watch and an earlier one.
///
/// A failure of the earlier one is not a result: it was overdue already.
async fn first_answer(
    kind: DirectoryKind,
    call: &mut WatchCall<'_>,
    earlier: Option<WatchCall<'_>>,
) -> Result<Changes> {
    tokio::select! {
        result = call => result,
        changes = answer_of_earlier(kind, earlier) => Ok(changes),
    }
}

/// Waits for the answer of an earlier watch; never returns if there is no such watch or it fails.
async fn answer_of_earlier(kind: DirectoryKind, earlier: Option<WatchCall<'_>>) -> Changes {
    if let Some(earlier) = earlier {
        match earlier.await {
            Ok(changes) => return changes,
            Err(e) => log::info!("event=watch-lost kind={kind} error=\"{e}\""),
        }
    }
    std::future::pending().await
}
