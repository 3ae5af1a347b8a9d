//! Handlers of the events of the configuration manager.

use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;
use rand::RngExt;

use crate::action::Action;
use crate::action::WriteId;
use crate::event::ReadResult;
use crate::event::WriteResult;
use crate::in_doubt::InDoubtPatch;
use crate::latest_record::LatestRecord;
use crate::manager::ConfigManager;
use crate::manager::Cx;
use crate::message::Ack;
use crate::message::Message;
use crate::message::RecordSummary;
use crate::patch_eligibility::id_reused_error;
use crate::patch_outcome::PatchOutcome;
use crate::proposal::Proposal;
use crate::proposal::ProposeCall;

/// The most queued proposals; the caller of a further one is asked to retry.
const QUEUED_PROPOSALS_MAX: usize = 64;

impl ConfigManager {
    pub(crate) fn on_start(&mut self, cx: &mut Cx<'_>) {
        self.startup.started_at = Some(cx.now);
        self.read_state.wanted = true;
        cx.out.push(Action::Broadcast(Message::Want { object: 0 }));
    }

    pub(crate) fn on_propose(&mut self, cx: &mut Cx<'_>, request: ProposeCall) {
        if request.dry_run {
            // Answered immediately, as it depends on no other patch and no other VM.
            let outcome = self.dry_run_outcome(&request.team, &request.patch);
            return cx.out.push(Action::Verdict(request.call, outcome));
        }
        let until = cx.now + self.options.outcome_timeout;
        let digest = request.patch.digest();
        let running = self
            .current_proposal
            .iter_mut()
            .chain(self.queued_proposals.iter_mut());
        let mut same = running.filter(|p| p.patch.id == request.patch.id);
        match same.next() {
            Some(p) if p.digest != digest => {
                let error = id_reused_error(&request.patch.id);
                let outcome = PatchOutcome::Undecided { error };
                return cx.out.push(Action::Verdict(request.call, outcome));
            }
            Some(p) if p.team == request.team => {
                // The refusal is final before its withdrawal is written, so it is sent again.
                match p.refusal_outcome() {
                    Some(outcome) => cx.out.push(Action::Verdict(request.call, outcome)),
                    None => p.calls.push((request.call, until)),
                }
                return;
            }
            _ => {}
        }
        if self.queued_proposals.len() >= QUEUED_PROPOSALS_MAX {
            let error = Error::new(ErrorKind::TooMuch, "too many patches are queued on this VM")
                .at("queue patch")
                .with_hint("retry with the same id in a few seconds");
            let outcome = PatchOutcome::Undecided { error };
            return cx.out.push(Action::Verdict(request.call, outcome));
        }
        let nonce = self.rng.random();
        let wait = self.options.outcome_timeout;
        let p = Proposal::new(cx.now, request, self.chart.initial(), wait, nonce);
        self.queued_proposals.push_back(p);
    }

    pub(crate) fn on_read(&mut self, cx: &mut Cx<'_>, result: ReadResult) {
        self.read_state.in_flight = false;
        match result {
            ReadResult::Found { object, content } => {
                self.read_state.answered_at = Some(cx.now);
                self.read_state.retry.reset();
                self.startup.platform_confirmed = true;
                self.shared_write.config_missing = false;
                let _ = self.apply_record_if_newer(cx, object, content);
            }
            ReadResult::Missing => {
                self.read_state.answered_at = Some(cx.now);
                self.shared_write.config_missing = self.latest_record.is_none();
                self.retry_read(cx);
            }
            ReadResult::Failed => {
                self.startup.platform_failed = true;
                self.retry_read(cx);
            }
        }
    }

    fn retry_read(&mut self, cx: &mut Cx<'_>) {
        // Retried only while something waits for a read, to spare a platform that is unreachable.
        let jitter = self.rng.random();
        self.read_state.retry.schedule_retry(cx.now, jitter);
        self.read_state.wanted =
            !self.startup.platform_confirmed || self.current_proposal.is_some();
    }

    pub(crate) fn on_wrote(&mut self, cx: &mut Cx<'_>, id: WriteId, result: WriteResult) {
        if self.shared_write.write_retry.in_flight == Some(id) {
            self.on_shared_write(cx, result);
            return;
        }
        let Some(mut p) = self.current_proposal.take() else {
            return;
        };
        if p.write_retry.in_flight == Some(id) {
            self.on_proposal_write(cx, &mut p, result);
        }
        self.current_proposal = Some(p);
    }

    pub(crate) fn on_message(&mut self, cx: &mut Cx<'_>, from: &VmId, message: Message) {
        match message {
            Message::Gossip(summary) => self.on_summary(cx, from, summary),
            Message::Want { object } => self.on_record_request(cx, from, object),
            Message::Newest { object, content } => {
                let reply = match self.apply_record_if_newer(cx, object, content) {
                    Ok(()) => Message::Gossip(self.summary()),
                    Err(e) => Message::Ack(Ack {
                        object,
                        seq: 0,
                        against: Some(e.to_string()),
                    }),
                };
                cx.send(from, reply);
            }
            Message::Ack(ack) => self.on_ack(cx, from, ack),
            Message::Holding { object, seq } => {
                let in_doubt_after = self.options.in_doubt_after;
                let d = self
                    .in_doubt_patch
                    .as_mut()
                    .filter(|d| d.object() == object);
                if let Some(d) = d.filter(|d| d.proposer() == from) {
                    d.extend_safe_time_from_ack(seq, in_doubt_after);
                }
            }
            Message::Abandoned { object } => {
                let d = self
                    .in_doubt_patch
                    .as_mut()
                    .filter(|d| d.object() == object);
                if let Some(d) = d.filter(|d| d.proposer() == from) {
                    d.mark_abandoned();
                }
            }
        }
    }

    fn on_summary(&mut self, cx: &mut Cx<'_>, from: &VmId, theirs: RecordSummary) {
        self.fleet.note_summary(cx.now, from, theirs);
        let ours = self.summary();
        if theirs.object > ours.object {
            let object = ours.object;
            cx.send(from, Message::Want { object });
        } else if theirs.object < ours.object {
            cx.send(from, Message::Gossip(ours));
        } else if theirs.digest != ours.digest {
            log::error!("event=config-differs peer={from} object={}", ours.object);
        }
    }

    fn on_record_request(&mut self, cx: &mut Cx<'_>, from: &VmId, object: u64) {
        let reply = match &self.latest_record {
            Some(r) if r.object > object => Message::Newest {
                object: r.object,
                content: r.content.clone(),
            },
            _ => Message::Gossip(self.summary()),
        };
        cx.send(from, reply);
    }

    fn on_ack(&mut self, cx: &mut Cx<'_>, from: &VmId, ack: Ack) {
        if let Some(r) = self
            .latest_record
            .as_ref()
            .filter(|r| r.object > ack.object)
        {
            let (object, content) = (r.object, r.content.clone());
            return cx.send(from, Message::Newest { object, content });
        }
        let ours = self.summary().object;
        if ack.object > ours {
            // The write that prepared it took effect, and only its reply was lost.
            return cx.send(from, Message::Want { object: ours });
        }
        let (object, seq) = (ack.object, ack.seq);
        if let Some(p) = self
            .current_proposal
            .as_mut()
            .filter(|p| p.prepared_object == object)
        {
            p.note_ack(cx.now, from, ack);
        }
        if let Some(reply) = self.reply_to_ack(cx.now, object, seq) {
            cx.send(from, reply);
        }
    }

    /// Applies a record from the platform, a peer or a write of this VM, if it is newer.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if it is invalid or of an older version; the known record stays.
    pub(crate) fn apply_record_if_newer(
        &mut self,
        cx: &mut Cx<'_>,
        object: u64,
        content: Arc<str>,
    ) -> Result<()> {
        if self
            .latest_record
            .as_ref()
            .is_some_and(|r| r.object >= object)
        {
            return Ok(());
        }
        let next = LatestRecord::parse(cx.now, object, content)
            .and_then(|next| next.ensure_not_older(self.latest_record.as_ref()))
            .inspect_err(|e| log::error!("event=config-ignored object={object} error=\"{e}\""))?;
        let before = self.latest_record.as_ref().map(|r| r.record.version);
        if before != Some(next.record.version) {
            cx.out.push(Action::Apply(next.config.clone()));
        }
        let grace = match self.startup.ready {
            true => self.options.in_doubt_after,
            false => Duration::ZERO,
        };
        let pending = next.record.pending.as_ref();
        self.in_doubt_patch = pending.map(|p| InDoubtPatch::new(&next, p, grace));
        self.latest_record = Some(next);
        self.shared_write.write_retry.reset();
        self.shared_write.config_missing = false;
        self.acknowledge_prepared_patch(cx);
        self.send_summary_to_proposer(cx);
        Ok(())
    }

    /// Sends the summary to the VM that proposed the last decided patch.
    fn send_summary_to_proposer(&self, cx: &mut Cx<'_>) {
        let last = self.decided_patches().last().map(|s| &s.proposer);
        if let Some(proposer) = last.filter(|vm| **vm != self.options.vm) {
            cx.send(proposer, Message::Gossip(self.summary()));
        }
    }
}
