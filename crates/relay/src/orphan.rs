//! Attempts in flight whose request has ended.

use std::sync::Arc;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::attempt::AttemptKey;
use crate::attempt_origin::AttemptOrigin;
use crate::relay::Core;
use crate::reply::AttemptEnd;
use crate::servers::ServerKey;
use crate::unanswered::unanswered_attempt;

/// An attempt in flight whose request has ended.
#[derive(Clone, Debug)]
pub(crate) struct OrphanedAttempt {
    pub(crate) server: ServerKey,
    pub(crate) dispatched_at: Instant,
    pub(crate) route: LookupName,
    /// Its request; `None` if it is a delegation, whose parts the peer tracks.
    pub(crate) origin: Option<AttemptOrigin>,
}

impl Core {
    /// Handles the end of an attempt whose request has ended.
    pub(crate) fn on_orphan_ended(
        &mut self,
        now: Instant,
        id: AttemptKey,
        orphan: OrphanedAttempt,
        end: &AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let view = self.servers.get(orphan.server);
        let entry = view.map(|v| Arc::clone(&v.entry));
        // The record of the queue ahead of the attempt has gone with its request, so the time that it would have taken
        // on an idle server is not known.
        let times = (orphan.dispatched_at, 0.0);
        self.update_server_health(now, orphan.server, id, times, &orphan.route, end);
        let (Some(entry), Some(origin)) = (entry, orphan.origin) else {
            return;
        };
        if matches!(end, AttemptEnd::Answered(..)) {
            let services = [entry.service.clone()];
            self.note_executed_if_suspected(now, origin.request, &services, out);
            return;
        }
        if let Some(attempt) = unanswered_attempt(now, origin, orphan.dispatched_at, end) {
            self.count_unanswered(now, &entry, attempt, out);
        }
    }
}
