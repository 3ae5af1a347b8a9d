//! Detects a watch that the platform does not answer although there are changes.
//!
//! A watch that begins while the platform is silent, or whose answer is lost, receives nothing until its time is over.
//! Its connection stays open, and a silence that falls between two heartbeats is noticed by no other call. Each answer of
//! the platform names the latest revision, so one beyond that of the watch calls for a check.

use std::time::Duration;

use gs_types::prelude::*;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::directory::DirectoryKind;
use crate::register::Register;

/// The shortest time between two checks of a watch: most revisions are those of other kinds. A heartbeat, the only call
/// of a quiet VM, shows a revision no sooner.
const CHECK_INTERVAL: Duration = Duration::from_millis(1500);

/// How long after its begin a watch is not checked: the platform answers it at once if there are changes already.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(300);

/// How long after a check the watch may still be answered.
const ANSWER_GRACE: Duration = Duration::from_millis(150);

impl Register {
    /// Waits until the platform has shown changes of a kind that a watch should have received since; returns the
    /// revision at which it had them.
    pub(super) async fn wait_until_lost(&self, kind: DirectoryKind, after: Revision) -> Revision {
        let mut revisions = self.platform.revisions();
        let mut checked = after;
        let mut check_at = Instant::now() + FIRST_CHECK_DELAY;
        loop {
            let is_later = |at: &Option<Revision>| *at > Some(checked);
            if revisions.wait_for(is_later).await.is_err() {
                std::future::pending::<()>().await;
            }
            tokio::time::sleep_until(check_at).await;
            check_at = Instant::now() + CHECK_INTERVAL;
            match self.check_changes(kind, after).await {
                Ok(check) if check.has_changed => {
                    tokio::time::sleep(ANSWER_GRACE).await;
                    return check.at;
                }
                // An answer that is older than the revision does not show that there are no changes.
                Ok(check) => checked = checked.max(check.at),
                // The changes since then are no longer kept, so there were some.
                Err(e) if e.kind() == ErrorKind::NotFound => return checked,
                Err(e) => log::info!("event=watch-check-failed kind={kind} error=\"{e}\""),
            }
        }
    }
}

/// Returns the error of a watch whose changes up to `at` the platform did not answer.
pub(super) fn error(after: Revision, at: Revision) -> Error {
    let text = format!("not told of the changes from revision {after} to {at}");
    Error::new(ErrorKind::NotFound, text).at("watch")
}
