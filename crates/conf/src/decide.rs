//! A prepared proposal: the acknowledgements, the commit, or the withdrawal.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::Action;
use crate::book::ConfigManager;
use crate::book::Cx;
use crate::held::Held;
use crate::message::Message;
use crate::proposal::Proposal;
use crate::record::CURRENT_PATH;
use crate::record::history_path;
use crate::state::PatchEvent;
use crate::state::PatchState;
use crate::verdict::Objection;
use crate::verdict::PatchOutcome;

/// How lately every VM must have been heard for a patch whose commit is under way to count as in
/// force nowhere.
pub(crate) const HEARD_WITHIN: Duration = Duration::from_secs(1);

impl ConfigManager {
    pub(crate) fn step_asking(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) -> Option<PatchEvent> {
        let held = self.held.clone()?;
        if held.object != p.prepared {
            return self.outcome(&held, p);
        }
        let me = &self.options.vm;
        let opponents = p.opponents();
        if !opponents.is_empty() {
            let error = Error::new(ErrorKind::BadInput, "a VM stands against the patch");
            p.refusal = Some((error.at("ask VMs"), opponents));
            return Some(PatchEvent::Opposed);
        }
        let agreed = p.all_acked_since(self.fleet.members(), me, None);
        if agreed && p.archived {
            return Some(PatchEvent::Agreed);
        }
        if cx.now >= p.since + self.options.ack_wait {
            p.refusal = Some(self.no_answer(p));
            return Some(PatchEvent::Opposed);
        }
        if !p.archived && p.writing.is_due(cx.now) {
            // Kept before it is replaced, so that the history never lacks a version.
            let content = serde_json::to_string(&*held.config).unwrap_or_default();
            let path = history_path(held.record.version);
            self.write(cx, p, path, 0, content.into());
        }
        self.push(cx, p, |book, p, vm| {
            *vm != book.options.vm && !p.acks.contains_key(vm)
        });
        None
    }

    fn no_answer(&self, p: &Proposal) -> (Error, Vec<Objection>) {
        let silent = p.silent(self.fleet.members(), &self.options.vm);
        if silent.is_empty() {
            let e = Error::new(ErrorKind::Unavailable, "the history could not be written");
            return (e.at("write history"), Vec::new());
        }
        let names: Vec<_> = silent.iter().map(VmId::as_str).collect();
        let error = Error::new(
            ErrorKind::Unavailable,
            format!("no acknowledgement from {}", names.join(", ")),
        )
        .at("ask VMs")
        .with_hint("mend or remove these VMs, and send the change under a new id");
        let wait = self.options.ack_wait;
        let one = |vm: VmId| Objection {
            vm,
            reason: format!("no acknowledgement within {wait:?}"),
        };
        (error, silent.into_iter().map(one).collect())
    }

    /// What became of a prepared patch, once a newer record than the one that prepared it is known.
    fn outcome(&self, held: &Held, p: &mut Proposal) -> Option<PatchEvent> {
        if let Some(event) = self.settled_event(held, p) {
            return Some(event);
        }
        // Whoever replaces a prepared patch settles it, so only a write by hand leads here.
        let error = Error::new(ErrorKind::Conflict, "the object was written by hand");
        p.refusal
            .get_or_insert((error.at("decide patch"), Vec::new()));
        Some(PatchEvent::Settled)
    }

    pub(crate) fn step_committing(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
    ) -> Option<PatchEvent> {
        let held = self.held.clone()?;
        if held.object != p.prepared {
            let event = self.outcome(&held, p);
            p.ours = event == Some(PatchEvent::Committed);
            return event;
        }
        for ask in p.take_late(cx.now) {
            let error = self.why_late(p);
            cx.out
                .push(Action::Verdict(ask, PatchOutcome::Undecided { error }));
        }
        if p.writing.is_due(cx.now) {
            let next = p.next.clone()?;
            let pending = held.record.pending.clone()?;
            let mut record = held.record.with_config((*next).clone());
            record.settle(pending.settled(Some(next.version), None));
            self.write(cx, p, CURRENT_PATH.to_owned(), p.prepared, record.encode());
        }
        None
    }

    pub(crate) fn step_withdrawing(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
    ) -> Option<PatchEvent> {
        let held = self.held.clone()?;
        if held.object != p.prepared {
            return Some(PatchEvent::Settled);
        }
        if p.writing.is_due(cx.now) {
            let reason = p.refusal.as_ref().map(|(e, _)| e.to_string());
            let record = held.record.withdrawn(&reason.unwrap_or_default());
            self.write(cx, p, CURRENT_PATH.to_owned(), p.prepared, record.encode());
        }
        None
    }

    /// What the proposer answers to an acknowledgement.
    pub(crate) fn answer_ack(&mut self, now: Instant, object: u64, seq: u64) -> Option<Message> {
        self.held.as_ref().filter(|h| h.object == object)?;
        match self.own_pending()? {
            PatchState::Preparing | PatchState::Asking => Some(Message::Holding { object, seq }),
            // The commit may have taken effect; but as long as every VM is heard and none has
            // learned of it, it is in force nowhere.
            PatchState::Committing if self.heard_all(now) => Some(Message::Holding { object, seq }),
            PatchState::Withdrawing | PatchState::Done => Some(Message::Abandoned { object }),
            _ => None,
        }
    }

    /// Where the pending patch stands if this process proposed it.
    ///
    /// One that it dropped counts as withdrawing: only this process could commit it.
    pub(crate) fn own_pending(&self) -> Option<PatchState> {
        let pending = self.held.as_ref()?.record.pending.as_ref()?;
        let options = &self.options;
        if pending.proposer != options.vm || pending.incarnation != options.incarnation {
            return None;
        }
        let live = self.current.as_ref().filter(|p| p.nonce == pending.nonce);
        Some(live.map_or(PatchState::Withdrawing, |p| p.state))
    }

    /// Whether every VM was heard lately, still holding the prepared patch as undecided.
    pub(crate) fn heard_all(&self, now: Instant) -> bool {
        let Some(p) = &self.current else {
            return false;
        };
        let since = now.checked_sub(HEARD_WITHIN);
        p.all_acked_since(self.fleet.members(), &self.options.vm, since)
    }
}
