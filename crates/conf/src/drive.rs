//! The life of the proposal that is under way.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use rand::RngExt;

use crate::action::Action;
use crate::action::WriteId;
use crate::book::Book;
use crate::book::Cx;
use crate::event::WriteResult;
use crate::held::Held;
use crate::judge::Judgement;
use crate::judge::judge;
use crate::message::Ack;
use crate::message::Message;
use crate::proposal::AckSeen;
use crate::proposal::Proposal;
use crate::record::CURRENT;
use crate::record::Pending;
use crate::record::history_path;
use crate::state::PatchEvent;
use crate::state::PatchState;
use crate::verdict::Opponent;
use crate::verdict::Verdict;

/// How often what a VM has not answered is sent to it again.
const PUSH_EVERY: Duration = Duration::from_millis(250);
/// How lately every VM must have been heard for a patch whose commit is under way to count as in
/// force nowhere.
const HEARD_WITHIN: Duration = Duration::from_secs(1);
/// What the promise of a silent VM is given beyond its time, for clocks that run apart.
const MARGIN: Duration = Duration::from_millis(250);
/// Versions kept in the history.
const HISTORY_KEEP: u64 = 1_000;

impl Proposal {
    /// Notes an acknowledgement; the first word of a VM against it stays.
    pub(crate) fn note_ack(&mut self, now: Instant, from: &VmId, ack: Ack) {
        let seen = AckSeen {
            at: now,
            against: ack.against,
        };
        let old = self.acks.get(from);
        if old.is_none_or(|a| a.against.is_none()) {
            self.acks.insert(from.clone(), seen);
        }
    }
}

impl Book {
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
                    .push(Action::Verdict(ask, Verdict::Undecided { error }));
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
    fn finish(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) {
        let verdict = match (p.made, p.refused()) {
            (Some(version), _) => self.accepted(p, version),
            (None, Some(refused)) => refused,
            (None, None) => Verdict::Undecided {
                error: self.why_late(p),
            },
        };
        for ask in p.take_asks() {
            cx.out.push(Action::Verdict(ask, verdict.clone()));
        }
    }

    fn accepted(&self, p: &Proposal, version: ConfVersion) -> Verdict {
        let members = self.fleet.members().iter();
        let (in_force, awaiting) = members
            .cloned()
            .partition(|vm| self.is_in_force(vm, version));
        Verdict::Accepted {
            version,
            in_force,
            awaiting,
            warnings: p.warnings.clone(),
        }
    }

    fn is_in_force(&self, vm: &VmId, version: ConfVersion) -> bool {
        let theirs = match *vm == self.options.vm {
            true => self.config().map(|c| c.version),
            false => self.fleet.version(vm),
        };
        theirs.is_some_and(|v| v >= version)
    }

    fn why_late(&self, p: &Proposal) -> Error {
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

    fn step_reading(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) -> Option<PatchEvent> {
        let late = p.is_late(cx.now).then_some(PatchEvent::Late);
        let Some(held) = self.held.clone() else {
            self.reading.wanted = true;
            return late;
        };
        match judge(&held.record, &p.team, &p.patch, self.groups.as_ref()) {
            Judgement::Accepted(version) => {
                p.made = Some(version);
                Some(PatchEvent::Committed)
            }
            Judgement::Refused(error) => {
                p.refusal = Some((error, Vec::new()));
                Some(PatchEvent::Settled)
            }
            Judgement::Undecided(error) => {
                self.tell(cx, p, Verdict::Undecided { error });
                Some(PatchEvent::Settled)
            }
            Judgement::Ahead => self.read_ahead(cx, p, &held).or(late),
            Judgement::Fits(next, warnings) if p.dry_run => {
                let version = next.version;
                self.tell(cx, p, Verdict::Checked { version, warnings });
                Some(PatchEvent::Settled)
            }
            Judgement::Fits(next, warnings) if self.may_prepare(&held) => {
                p.next = Some(Arc::new(*next));
                p.warnings = warnings;
                p.base = held.object;
                Some(PatchEvent::Fits)
            }
            Judgement::Fits(..) => late,
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
        let text = format!(
            "the patch is against version {}, and {} is the newest",
            p.patch.against, held.record.version
        );
        let error = Error::new(ErrorKind::BadInput, text)
            .at("check version")
            .with_hint("read the newest version and send the patch against it");
        self.tell(cx, p, Verdict::Undecided { error });
        Some(PatchEvent::Settled)
    }

    fn tell(&mut self, cx: &mut Cx<'_>, p: &mut Proposal, verdict: Verdict) {
        for ask in p.take_asks() {
            cx.out.push(Action::Verdict(ask, verdict.clone()));
        }
    }

    fn step_preparing(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) -> Option<PatchEvent> {
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
            self.write(cx, p, CURRENT.to_owned(), held.object, record.encode());
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
    fn settled_event(&self, held: &Held, p: &mut Proposal) -> Option<PatchEvent> {
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

    fn step_asking(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) -> Option<PatchEvent> {
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

    fn no_answer(&self, p: &Proposal) -> (Error, Vec<Opponent>) {
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
        let one = |vm: VmId| Opponent {
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

    fn step_committing(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) -> Option<PatchEvent> {
        let held = self.held.clone()?;
        if held.object != p.prepared {
            let event = self.outcome(&held, p);
            p.ours = event == Some(PatchEvent::Committed);
            return event;
        }
        for ask in p.take_late(cx.now) {
            let error = self.why_late(p);
            cx.out
                .push(Action::Verdict(ask, Verdict::Undecided { error }));
        }
        if p.writing.is_due(cx.now) {
            let next = p.next.clone()?;
            let pending = held.record.pending.clone()?;
            let mut record = held.record.with_config((*next).clone());
            record.settle(pending.settled(Some(next.version), None));
            self.write(cx, p, CURRENT.to_owned(), p.prepared, record.encode());
        }
        None
    }

    fn step_spreading(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) -> Option<PatchEvent> {
        let version = p.made?;
        let members = self.fleet.members();
        let everywhere =
            !members.is_empty() && members.iter().all(|vm| self.is_in_force(vm, version));
        if everywhere || cx.now >= p.since + self.spread_wait(p) {
            self.finish(cx, p);
            return Some(PatchEvent::Everywhere);
        }
        self.push(cx, p, move |book, _, vm| !book.is_in_force(vm, version));
        None
    }

    /// How long a VM that is cut off may go on serving by the version before.
    ///
    /// Once it is committed, its proposer extends no VM's promise. A resend's VM cannot know when
    /// that proposer learned of the commit, only that it heard from this one lately before it did.
    fn spread_wait(&self, p: &Proposal) -> Duration {
        let promise = self.options.doubt_after + MARGIN;
        match p.ours {
            true => promise,
            false => promise + HEARD_WITHIN * 2,
        }
    }

    fn step_withdrawing(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) -> Option<PatchEvent> {
        let held = self.held.clone()?;
        if held.object != p.prepared {
            return Some(PatchEvent::Settled);
        }
        if p.writing.is_due(cx.now) {
            let reason = p.refusal.as_ref().map(|(e, _)| e.to_string());
            let record = held.record.withdrawn(&reason.unwrap_or_default());
            self.write(cx, p, CURRENT.to_owned(), p.prepared, record.encode());
        }
        None
    }

    fn write(
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

    /// Sends the newest to every peer at once, or in short if it is large.
    fn spread(&mut self, cx: &mut Cx<'_>, p: &mut Proposal) {
        p.pushed = Some(cx.now);
        let message = self.newest();
        cx.out.push(Action::Broadcast(message));
    }

    /// Sends the newest again to the VMs that have not answered.
    fn push(
        &mut self,
        cx: &mut Cx<'_>,
        p: &mut Proposal,
        missing: impl Fn(&Self, &Proposal, &VmId) -> bool,
    ) {
        if p.pushed.is_some_and(|at| cx.now < at + PUSH_EVERY) {
            return;
        }
        p.pushed = Some(cx.now);
        let message = self.newest();
        for vm in self.fleet.members().to_vec() {
            if vm != self.options.vm && missing(self, p, &vm) {
                cx.send(&vm, message.clone());
            }
        }
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
