//! Detection of lost servers: those that stopped replying at all.
//!
//! A server is lost if an attempt at it got no reply in its time and no reply to any other attempt
//! arrived since that one was dispatched. A lost connection alone does not make its server lost.
//!
//! When a data centre is partitioned, each lookup that needs a shard on the other side would otherwise
//! wait until its deadline for servers that cannot answer.

use std::time::Duration;
use std::time::Instant;

use crate::servers::ServerIdx;
use crate::servers::Servers;

/// How long a server counts as lost before another attempt is dispatched to it.
const LOST_RETRY_INTERVAL: Duration = Duration::from_secs(1);

impl Servers {
    /// Records that a reply arrived from a server; it is no longer lost.
    pub fn note_contact(&mut self, now: Instant, idx: ServerIdx) {
        let view = &mut self.views[idx.index()];
        view.last_contact = Some(now);
        if view.lost_at.take().is_some() {
            log::info!("event=server-answers server={}", view.decl.name);
        }
    }

    /// Records that an attempt dispatched at `begun` got no reply in its time; its server is lost if no
    /// reply to any attempt arrived from it since.
    pub fn note_unanswered(&mut self, now: Instant, idx: ServerIdx, begun: Instant) {
        let view = &mut self.views[idx.index()];
        if view.last_contact.is_some_and(|at| at >= begun) {
            return;
        }
        if view.lost_at.replace(now).is_none() {
            let waited = now.saturating_duration_since(begun);
            log::info!(
                "event=server-lost server={} waited_ms={}",
                view.decl.name,
                waited.as_millis()
            );
        }
    }

    /// Whether a server is lost and was tried recently.
    #[must_use]
    pub fn is_lost(&self, now: Instant, idx: ServerIdx) -> bool {
        let lost_at = self.view(idx).lost_at;
        lost_at.is_some_and(|at| now.saturating_duration_since(at) < LOST_RETRY_INTERVAL)
    }
}
