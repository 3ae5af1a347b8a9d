//! What a book does with each event.

use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;
use rand::RngExt;

use crate::action::Action;
use crate::action::WriteId;
use crate::book::ConfigManager;
use crate::book::Cx;
use crate::doubt::Doubt;
use crate::event::ReadResult;
use crate::event::WriteResult;
use crate::held::Held;
use crate::judge::id_reused;
use crate::message::Ack;
use crate::message::Message;
use crate::message::RecordSummary;
use crate::proposal::Asked;
use crate::proposal::Proposal;
use crate::verdict::PatchOutcome;

/// Proposals that wait for the one before them; more are told to come back.
const QUEUE_MAX: usize = 64;

impl ConfigManager {
    pub(crate) fn on_start(&mut self, cx: &mut Cx<'_>) {
        self.start.at = Some(cx.now);
        self.reading.wanted = true;
        cx.out.push(Action::Broadcast(Message::Want { object: 0 }));
    }

    pub(crate) fn on_propose(&mut self, cx: &mut Cx<'_>, asked: Asked) {
        if asked.dry_run {
            // At once, as it waits for no other patch and asks nobody.
            let verdict = self.dry_run(&asked.team, &asked.patch);
            return cx.out.push(Action::Verdict(asked.ask, verdict));
        }
        let until = cx.now + self.options.outcome_timeout;
        let digest = asked.patch.digest();
        let running = self.current.iter_mut().chain(self.queue.iter_mut());
        let mut same = running.filter(|p| p.patch.id == asked.patch.id);
        match same.next() {
            Some(p) if p.digest != digest => {
                let error = id_reused(&asked.patch.id);
                let verdict = PatchOutcome::Undecided { error };
                return cx.out.push(Action::Verdict(asked.ask, verdict));
            }
            Some(p) if p.team == asked.team => {
                // A refusal that was told before its withdrawal is written is told again.
                match p.refused() {
                    Some(verdict) => cx.out.push(Action::Verdict(asked.ask, verdict)),
                    None => p.asks.push((asked.ask, until)),
                }
                return;
            }
            _ => {}
        }
        if self.queue.len() >= QUEUE_MAX {
            let error = Error::new(ErrorKind::TooMuch, "too many patches wait here")
                .at("queue patch")
                .with_hint("send it again with the same id in a few seconds");
            let verdict = PatchOutcome::Undecided { error };
            return cx.out.push(Action::Verdict(asked.ask, verdict));
        }
        let nonce = self.rng.random();
        let wait = self.options.outcome_timeout;
        let p = Proposal::new(cx.now, asked, self.chart.initial(), wait, nonce);
        self.queue.push_back(p);
    }

    pub(crate) fn on_read(&mut self, cx: &mut Cx<'_>, result: ReadResult) {
        self.reading.out = false;
        match result {
            ReadResult::Found { object, content } => {
                self.reading.answered = Some(cx.now);
                self.reading.retry.restart();
                self.start.confirmed = true;
                self.chore.missing = false;
                let _ = self.learn(cx, object, content);
            }
            ReadResult::Missing => {
                self.reading.answered = Some(cx.now);
                self.chore.missing = self.held.is_none();
                self.retry_read(cx);
            }
            ReadResult::Failed => {
                self.start.platform_failed = true;
                self.retry_read(cx);
            }
        }
    }

    fn retry_read(&mut self, cx: &mut Cx<'_>) {
        // Only what waits for a read asks again; a platform that is away is not asked for nothing.
        let jitter = self.rng.random();
        self.reading.retry.again(cx.now, jitter);
        self.reading.wanted = !self.start.confirmed || self.current.is_some();
    }

    pub(crate) fn on_wrote(&mut self, cx: &mut Cx<'_>, id: WriteId, result: WriteResult) {
        if self.chore.writing.out == Some(id) {
            self.chore_wrote(cx, result);
            return;
        }
        let Some(mut p) = self.current.take() else {
            return;
        };
        if p.writing.out == Some(id) {
            self.proposal_wrote(cx, &mut p, result);
        }
        self.current = Some(p);
    }

    pub(crate) fn on_message(&mut self, cx: &mut Cx<'_>, from: &VmId, message: Message) {
        match message {
            Message::Gossip(g) => self.on_gossip(cx, from, g),
            Message::Want { object } => self.on_want(cx, from, object),
            Message::Newest { object, content } => {
                let reply = match self.learn(cx, object, content) {
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
                let after = self.options.in_doubt_after;
                let d = self.doubt.as_mut().filter(|d| d.object() == object);
                if let Some(d) = d.filter(|d| d.proposer() == from) {
                    d.holding(seq, after);
                }
            }
            Message::Abandoned { object } => {
                let d = self.doubt.as_mut().filter(|d| d.object() == object);
                if let Some(d) = d.filter(|d| d.proposer() == from) {
                    d.abandon();
                }
            }
        }
    }

    fn on_gossip(&mut self, cx: &mut Cx<'_>, from: &VmId, theirs: RecordSummary) {
        self.fleet.note(cx.now, from, theirs);
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

    fn on_want(&mut self, cx: &mut Cx<'_>, from: &VmId, object: u64) {
        let reply = match &self.held {
            Some(h) if h.object > object => Message::Newest {
                object: h.object,
                content: h.content.clone(),
            },
            _ => Message::Gossip(self.summary()),
        };
        cx.send(from, reply);
    }

    fn on_ack(&mut self, cx: &mut Cx<'_>, from: &VmId, ack: Ack) {
        if let Some(h) = self.held.as_ref().filter(|h| h.object > ack.object) {
            let (object, content) = (h.object, h.content.clone());
            return cx.send(from, Message::Newest { object, content });
        }
        let ours = self.summary().object;
        if ack.object > ours {
            // The write that prepared it took effect, and only its answer is lost.
            return cx.send(from, Message::Want { object: ours });
        }
        let (object, seq) = (ack.object, ack.seq);
        if let Some(p) = self.current.as_mut().filter(|p| p.prepared == object) {
            p.note_ack(cx.now, from, ack);
        }
        if let Some(reply) = self.answer_ack(cx.now, object, seq) {
            cx.send(from, reply);
        }
    }

    /// Learns a record from the platform, a peer or a write of its own.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if it cannot be read or would lead back; what is held stays.
    pub(crate) fn learn(&mut self, cx: &mut Cx<'_>, object: u64, content: Arc<str>) -> Result<()> {
        if self.held.as_ref().is_some_and(|h| h.object >= object) {
            return Ok(());
        }
        let next = Held::read(cx.now, object, content)
            .and_then(|next| next.follow(self.held.as_ref()))
            .inspect_err(|e| log::error!("event=config-ignored object={object} error=\"{e}\""))?;
        let before = self.held.as_ref().map(|h| h.record.version);
        if before != Some(next.record.version) {
            cx.out.push(Action::Apply(next.config.clone()));
        }
        let grace = match self.start.ready {
            true => self.options.in_doubt_after,
            false => Duration::ZERO,
        };
        let pending = next.record.pending.as_ref();
        self.doubt = pending.map(|p| Doubt::new(&next, p, grace));
        self.held = Some(next);
        self.chore.writing.restart();
        self.chore.missing = false;
        self.acknowledge(cx);
        self.report(cx);
        Ok(())
    }

    /// Tells the VM that proposed the last patch what is in force here.
    fn report(&self, cx: &mut Cx<'_>) {
        let last = self.decided_patches().last().map(|s| &s.proposer);
        if let Some(proposer) = last.filter(|vm| **vm != self.options.vm) {
            cx.send(proposer, Message::Gossip(self.summary()));
        }
    }
}
