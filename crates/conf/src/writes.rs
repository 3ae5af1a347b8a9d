//! The writes of a proposal and their results.

use std::sync::Arc;

use gs_types::prelude::*;
use rand::RngExt;

use crate::action::Action;
use crate::action::WriteId;
use crate::event::WriteResult;
use crate::manager::ConfigManager;
use crate::manager::Cx;
use crate::proposal::Proposal;
use crate::record::history_path;
use crate::state::PatchState;

/// The number of versions kept in the history.
const HISTORY_VERSIONS_MAX: u64 = 1_000;

impl ConfigManager {
    pub(crate) fn start_write(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
        path: String,
        if_version: u64,
        content: Arc<str>,
    ) {
        let id = self.next_write_id();
        p.write_retry.in_flight = Some(id);
        p.sent_content = Some(content.clone());
        cx.out.push(Action::Write {
            id,
            path,
            if_version,
            content,
        });
    }

    pub(crate) fn next_write_id(&mut self) -> WriteId {
        self.last_write_id += 1;
        WriteId(self.last_write_id)
    }

    pub(crate) fn on_proposal_write(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
        result: WriteResult,
    ) {
        p.write_retry.in_flight = None;
        let archive = p.state == PatchState::Asking;
        match result {
            // A version is archived under its number and always with the same content, so a conflict
            // means that it is archived already.
            WriteResult::Done(_) | WriteResult::Conflict if archive => p.history_written = true,
            WriteResult::Done(object) => {
                let content = p.sent_content.take();
                let _ = self.apply_record_if_newer(cx, object, content.unwrap_or_default());
                self.prune_history(cx);
            }
            // The conflicting write may be an earlier try of this one; reading the object shows it.
            WriteResult::Conflict => {
                self.read_state.wanted = true;
                let jitter = self.rng.random();
                p.write_retry.schedule_retry(cx.now, jitter);
            }
            WriteResult::Unknown | WriteResult::Failed => {
                let jitter = self.rng.random();
                p.write_retry.schedule_retry(cx.now, jitter);
            }
        }
    }

    /// Deletes the version that is too old to be kept in the history.
    fn prune_history(&mut self, cx: &mut Cx<'_>) {
        let Some(latest) = self
            .latest_record
            .as_ref()
            .filter(|r| r.record.pending.is_none())
        else {
            return;
        };
        if let Some(old) = latest.record.version.0.checked_sub(HISTORY_VERSIONS_MAX) {
            cx.out.push(Action::Prune(history_path(ConfVersion(old))));
        }
    }
}
