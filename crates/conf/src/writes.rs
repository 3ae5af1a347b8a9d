//! The writes of a proposal and their results.

use std::sync::Arc;

use gs_types::prelude::*;
use rand::RngExt;

use crate::action::Action;
use crate::action::WriteId;
use crate::book::ConfigManager;
use crate::book::Cx;
use crate::event::WriteResult;
use crate::proposal::Proposal;
use crate::record::history_path;
use crate::state::PatchState;

/// Versions kept in the history.
const HISTORY_KEEP: u64 = 1_000;

impl ConfigManager {
    pub(crate) fn write(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
        path: String,
        if_version: u64,
        content: Arc<str>,
    ) {
        let id = self.next_write();
        p.writing.out = Some(id);
        p.sent = Some(content.clone());
        cx.out.push(Action::Write {
            id,
            path,
            if_version,
            content,
        });
    }

    pub(crate) fn next_write(&mut self) -> WriteId {
        self.last_write += 1;
        WriteId(self.last_write)
    }

    pub(crate) fn proposal_wrote(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
        result: WriteResult,
    ) {
        p.writing.out = None;
        let archive = p.state == PatchState::Asking;
        match result {
            // A version is archived under its number, and always with the same content.
            WriteResult::Done(_) | WriteResult::Conflict if archive => p.archived = true,
            WriteResult::Done(object) => {
                let content = p.sent.take();
                let _ = self.learn(cx, object, content.unwrap_or_default());
                self.prune(cx);
            }
            // Ours may be the write that was first: reading back tells.
            WriteResult::Conflict => {
                self.reading.wanted = true;
                let jitter = self.rng.random();
                p.writing.again(cx.now, jitter);
            }
            WriteResult::Unknown | WriteResult::Failed => {
                let jitter = self.rng.random();
                p.writing.again(cx.now, jitter);
            }
        }
    }

    /// Drops the version that the history no longer keeps.
    fn prune(&mut self, cx: &mut Cx<'_>) {
        let Some(held) = self.held.as_ref().filter(|h| h.record.pending.is_none()) else {
            return;
        };
        if let Some(old) = held.record.version.0.checked_sub(HISTORY_KEEP) {
            cx.out.push(Action::Prune(history_path(ConfVersion(old))));
        }
    }
}
