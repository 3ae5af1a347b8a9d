//! Attempts whose lookup has ended or restarted while the I/O driver (shell) has not reported their
//! end.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::engine_state::EngineState;
use crate::event::PartReply;
use crate::server_ends::EndedAttempt;
use crate::server_reply::ReplyContext;

impl EngineState {
    /// Records that the first byte of an orphaned attempt is about to be sent.
    pub(crate) fn on_orphan_sent(&mut self, id: &AttemptId) {
        if let Some(o) = self.orphans.get_mut(&(id.lookup, id.shard, id.attempt)) {
            o.is_sent = true;
        }
    }

    /// Processes the end of an orphaned attempt.
    pub(crate) fn on_orphan_reply(
        &mut self,
        now: Instant,
        id: &AttemptId,
        reply: &PartReply,
        out: &mut Vec<Action>,
    ) {
        let Some(o) = self.orphans.remove(&(id.lookup, id.shard, id.attempt)) else {
            self.counters.stray_replies += 1;
            return;
        };
        let context = ReplyContext {
            server: o.server,
            is_current: self
                .servers
                .view(o.server)
                .is_current_incarnation(o.dispatched_at),
            was_live: false,
        };
        self.note_contact(now, reply, o.server);
        self.servers.on_release(o.server);
        self.freed_servers.push(o.server);
        let ended = EndedAttempt {
            fingerprint: o.fingerprint,
            server: o.server,
            dispatched_at: o.dispatched_at,
            answer_by: o.answer_by,
            was_alone: o.was_alone,
        };
        match reply {
            PartReply::Whole { load, draining, .. } => {
                self.note_server_success(now, context, *load, *draining, out);
                if self.crash_suspects.note_survived(now, o.fingerprint) {
                    self.broadcast_suspect(o.fingerprint, 0, Duration::ZERO, out);
                }
            }
            PartReply::Broken => {
                self.update_server_health(now, reply, context, out);
                if o.is_sent && !o.is_proven {
                    self.on_broken_attempt(now, ended, false, out);
                }
            }
            other => {
                self.update_server_health(now, other, context, out);
                if o.is_sent && !o.is_proven {
                    self.note_unanswered_attempt(now, ended, other, out);
                }
            }
        }
    }
}
