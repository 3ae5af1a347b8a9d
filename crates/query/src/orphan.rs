//! Attempts whose lookup has ended, or began again; the shell has yet to tell their end.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::core::Core;
use crate::event::PartReply;
use crate::heard::Heard;

impl Core {
    /// An attempt whose lookup has ended passes the point of no return.
    pub(crate) fn orphan_sent(&mut self, id: &AttemptId) {
        if let Some(o) = self.orphans.get_mut(&(id.lookup, id.shard, id.attempt)) {
            o.is_sent = true;
        }
    }

    /// An attempt whose lookup has ended, or began again, ended itself.
    pub(crate) fn orphan_replied(
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
        let heard = Heard {
            server: o.server,
            is_current: self.servers.view(o.server).is_current_incarnation(o.at),
            was_live: false,
        };
        self.hear(now, reply, o.server);
        self.servers.released(o.server);
        self.freed.push(o.server);
        match reply {
            PartReply::Whole { load, draining, .. } => {
                self.answered(now, heard, *load, *draining, out);
                if self.suspects.prove(now, o.fingerprint) {
                    self.spread_suspect(o.fingerprint, 0, Duration::ZERO, out);
                }
            }
            PartReply::Broken => {
                self.judge(now, reply, heard, out);
                if o.is_sent && !o.is_proven && now < o.answer_by {
                    self.crash_seen(now, o.fingerprint, o.server, false, out);
                }
            }
            other => self.judge(now, other, heard, out),
        }
    }
}
