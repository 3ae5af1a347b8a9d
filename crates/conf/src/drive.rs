//! The life of the proposal that is under way.

use gs_types::prelude::*;

use crate::action::Action;
use crate::book::ConfigManager;
use crate::book::Cx;
use crate::message::Message;
use crate::proposal::Proposal;
use crate::state::PatchEvent;
use crate::state::PatchState;
use crate::verdict::PatchOutcome;

impl ConfigManager {
    /// Takes the proposal under way as far as it goes now, and the next ones after it.
    pub(crate) fn drive(&mut self, cx: &mut Cx<'_>) {
        self.drop_late(cx);
        loop {
            let next = || self.queue.pop_front();
            let Some(mut p) = self.current.take().or_else(next) else {
                return;
            };
            while let Some(event) = self.step(cx, &mut p) {
                let Some(state) = self.chart.next(p.state, event) else {
                    break;
                };
                self.enter(cx, &mut p, state);
            }
            if !self.chart.is_last(p.state) {
                self.current = Some(p);
                return;
            }
            if p.asks.is_empty() {
                continue;
            }
            self.finish(cx, &mut p);
        }
    }

    /// Tells operators in the queue that have waited long enough.
    fn drop_late(&mut self, cx: &mut Cx<'_>) {
        let error = Error::new(ErrorKind::Unavailable, "other patches took too long")
            .at("queue patch")
            .with_hint("send it again with the same id");
        for p in &mut self.queue {
            for ask in p.take_late(cx.now) {
                let error = error.clone();
                cx.out
                    .push(Action::Verdict(ask, PatchOutcome::Undecided { error }));
            }
        }
        self.queue.retain(|p| !p.asks.is_empty());
    }

    fn step(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) -> Option<PatchEvent> {
        match p.state {
            PatchState::Reading => self.step_reading(cx, p),
            PatchState::Preparing => self.step_preparing(cx, p),
            PatchState::Asking => self.step_asking(cx, p),
            PatchState::Committing => self.step_committing(cx, p),
            PatchState::Spreading => self.step_spreading(cx, p),
            PatchState::Withdrawing => self.step_withdrawing(cx, p),
            PatchState::Done => None,
        }
    }

    fn enter(&mut self, cx: &mut Cx<'_>, p: &mut Proposal, state: PatchState) {
        p.state = state;
        p.since = cx.now;
        p.pushed = None;
        p.writing.restart();
        match state {
            PatchState::Asking | PatchState::Spreading => self.spread(cx, p),
            PatchState::Withdrawing => {
                let object = p.prepared;
                cx.out
                    .push(Action::Broadcast(Message::Abandoned { object }));
                if let Some(d) = self.doubt.as_mut().filter(|d| d.object() == object) {
                    d.abandon();
                }
                // Final already: only this VM could commit it, and it never will.
                self.finish(cx, p);
            }
            _ => {}
        }
    }

    /// Tells the operators who wait what there is to tell.
    pub(crate) fn finish(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) {
        let verdict = match (p.made, p.refused()) {
            (Some(version), _) => self.accepted(p, version),
            (None, Some(refused)) => refused,
            (None, None) => PatchOutcome::Undecided {
                error: self.why_late(p),
            },
        };
        for ask in p.take_asks() {
            cx.out.push(Action::Verdict(ask, verdict.clone()));
        }
    }

    pub(crate) fn why_late(&self, p: &Proposal) -> Error {
        let text = match p.state {
            PatchState::Committing => "the platform took the commit and its answer is lost",
            _ if self.held.is_none() => "this VM holds no configuration yet",
            _ if self.fleet.members().is_empty() => "this VM has no list of VMs yet",
            _ if self.pending().is_some_and(|id| *id != p.patch.id) => {
                "another patch is still being decided"
            }
            _ => "the platform did not answer in time",
        };
        Error::new(ErrorKind::Unavailable, text)
            .at("decide patch")
            .with_hint("send it again with the same id: it is applied at most once")
    }
}
