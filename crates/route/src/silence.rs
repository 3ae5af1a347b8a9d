//! Servers from which nothing comes back.
//!
//! The load it answers: a data centre that is cut off, where each lookup that needs a shard of the other side would
//! wait its whole deadline for servers that cannot answer.

use std::time::Duration;
use std::time::Instant;

use crate::servers::ServerIdx;
use crate::servers::Servers;

/// How long a server counts as lost before an attempt is let through to it again.
const LOST_FOR: Duration = Duration::from_secs(1);

impl Servers {
    /// Something came back from a server.
    pub fn note_contact(&mut self, now: Instant, idx: ServerIdx) {
        let view = &mut self.list[idx.index()];
        view.heard_at = Some(now);
        if view.lost_at.take().is_some() {
            log::info!("event=server-answers server={}", view.decl.name);
        }
    }

    /// An attempt that began then was given up at its deadline; if nothing at all came back from its server
    /// since, that is lost.
    pub fn note_unanswered(&mut self, now: Instant, idx: ServerIdx, begun: Instant) {
        let view = &mut self.list[idx.index()];
        if view.heard_at.is_some_and(|at| at >= begun) {
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

    /// Whether a server is lost, and was tried a moment ago.
    #[must_use]
    pub fn is_lost(&self, now: Instant, idx: ServerIdx) -> bool {
        let lost_at = self.view(idx).lost_at;
        lost_at.is_some_and(|at| now.saturating_duration_since(at) < LOST_FOR)
    }
}
