//! A proposal up to the write that prepares it.

use std::sync::Arc;

use gs_types::prelude::*;

use crate::action::Action;
use crate::book::ConfigManager;
use crate::book::Cx;
use crate::held::Held;
use crate::judge::Judgement;
use crate::judge::judge;
use crate::patch::Patch;
use crate::proposal::Proposal;
use crate::record::CURRENT_PATH;
use crate::record::Pending;
use crate::state::PatchEvent;
use crate::verdict::PatchOutcome;

impl ConfigManager {
    pub(crate) fn step_reading(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) -> Option<PatchEvent> {
        let late = p.is_late(cx.now).then_some(PatchEvent::Late);
        let Some(held) = self.held.clone() else {
            self.reading.wanted = true;
            return late;
        };
        if p.fits == Some(held.object) && !self.may_prepare(&held) {
            return late;
        }
        match judge(&held, &p.team, &p.patch, self.groups.as_ref()) {
            Judgement::Accepted(version) => {
                p.made = Some(version);
                Some(PatchEvent::Committed)
            }
            Judgement::Refused(error) => {
                p.refusal = Some((error, Vec::new()));
                Some(PatchEvent::Settled)
            }
            Judgement::Undecided(error) => {
                self.tell(cx, p, PatchOutcome::Undecided { error });
                Some(PatchEvent::Settled)
            }
            Judgement::Ahead => self.read_ahead(cx, p, &held).or(late),
            Judgement::Fits(next, warnings) if self.may_prepare(&held) => {
                p.next = Some(Arc::new(*next));
                p.warnings = warnings;
                p.base = held.object;
                Some(PatchEvent::Fits)
            }
            Judgement::Fits(..) => {
                p.fits = Some(held.object);
                late
            }
        }
    }

    /// The verdict of a dry run, by what is held now.
    pub(crate) fn dry_run(&self, team: &TeamName, patch: &Patch) -> PatchOutcome {
        let Some(held) = &self.held else {
            let error = Error::new(ErrorKind::Unavailable, "this VM holds no configuration yet")
                .at("dry run")
                .with_hint("ask another VM, or again in a few seconds");
            return PatchOutcome::Undecided { error };
        };
        match judge(held, team, patch, self.groups.as_ref()) {
            Judgement::Fits(next, warnings) => PatchOutcome::Checked {
                version: next.version,
                warnings,
            },
            Judgement::Accepted(version) => PatchOutcome::Undecided {
                error: Error::new(
                    ErrorKind::Conflict,
                    format!("the patch was accepted and made version {version}"),
                )
                .at("dry run"),
            },
            Judgement::Refused(error) => PatchOutcome::Refused {
                error,
                against: Vec::new(),
            },
            Judgement::Undecided(error) => PatchOutcome::Undecided { error },
            Judgement::Ahead => PatchOutcome::Undecided {
                error: ahead(patch, held),
            },
        }
    }

    /// Whether no other patch is being decided, and it is known whom to ask.
    fn may_prepare(&self, held: &Held) -> bool {
        held.record.pending.is_none() && !self.fleet.members().is_empty()
    }

    /// The patch is against a version that is not held: only a fresh read tells if there is one.
    fn read_ahead(&mut self, cx: &mut Cx<'_>, p: &mut Proposal, held: &Held) -> Option<PatchEvent> {
        if self.reading.answered.is_none_or(|at| at <= p.since) {
            self.reading.wanted = true;
            return None;
        }
        let error = ahead(&p.patch, held);
        self.tell(cx, p, PatchOutcome::Undecided { error });
        Some(PatchEvent::Settled)
    }

    pub(crate) fn tell(&mut self, cx: &mut Cx<'_>, p: &mut Proposal, verdict: PatchOutcome) {
        for ask in p.take_asks() {
            cx.out.push(Action::Verdict(ask, verdict.clone()));
        }
    }

    pub(crate) fn step_preparing(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
    ) -> Option<PatchEvent> {
        let held = self.held.clone()?;
        if self.is_ours(&held, p) {
            p.prepared = held.object;
            return Some(PatchEvent::Prepared);
        }
        if held.object > p.base {
            return self.settled_event(&held, p).or(Some(PatchEvent::Beaten));
        }
        if p.is_late(cx.now) {
            return Some(PatchEvent::Late);
        }
        if p.writing.is_due(cx.now) {
            let mut record = (*held.record).clone();
            record.pending = Some(self.pending_of(p));
            self.write(cx, p, CURRENT_PATH.to_owned(), held.object, record.encode());
        }
        None
    }

    fn pending_of(&self, p: &Proposal) -> Pending {
        Pending {
            patch: p.patch.clone(),
            team: p.team.clone(),
            proposer: self.options.vm.clone(),
            incarnation: self.options.incarnation,
            nonce: p.nonce,
        }
    }

    fn is_ours(&self, held: &Held, p: &Proposal) -> bool {
        let pending = held.record.pending.as_ref();
        pending.is_some_and(|x| {
            x.nonce == p.nonce
                && x.proposer == self.options.vm
                && x.incarnation == self.options.incarnation
        })
    }

    /// What the record says about a patch that another write may have settled.
    pub(crate) fn settled_event(&self, held: &Held, p: &mut Proposal) -> Option<PatchEvent> {
        let settled = held.record.find_settled(&p.patch.id)?;
        if settled.digest != p.digest {
            return None;
        }
        if let Some(version) = settled.version {
            p.made = Some(version);
            return Some(PatchEvent::Committed);
        }
        let reason = settled.reason.clone().unwrap_or_default();
        let error = Error::new(ErrorKind::Unavailable, reason).at("decide patch");
        p.refusal.get_or_insert((error, Vec::new()));
        Some(PatchEvent::Settled)
    }
}

fn ahead(patch: &Patch, held: &Held) -> Error {
    let text = format!(
        "the patch is against version {}, and {} is the newest",
        patch.against, held.record.version
    );
    Error::new(ErrorKind::BadInput, text)
        .at("check version")
        .with_hint("read the newest version and send the patch against it")
}
