//! One proposal on the VM that an operator gave it to.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::WriteId;
use crate::event::CallId;
use crate::message::Ack;
use crate::patch::Patch;
use crate::state::PatchState;
use crate::verdict::Objection;
use crate::verdict::PatchOutcome;

/// The wait before a write is tried again; doubled each time.
const RETRY: Duration = Duration::from_millis(40);
/// The longest wait before a write is tried again.
const RETRY_MAX: Duration = Duration::from_secs(1);

/// A proposal, from the operator's call to its verdict and what is left to clear up after it.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub(crate) patch: Patch,
    pub(crate) digest: u64,
    pub(crate) team: TeamName,
    pub(crate) nonce: u64,
    pub(crate) state: PatchState,
    /// When the state was entered.
    pub(crate) since: Instant,
    /// The operators' calls that wait, each with the time at which it waited long enough.
    pub(crate) asks: Vec<(CallId, Instant)>,
    /// The object's version that the patch was judged by and whose content is replaced.
    pub(crate) base: u64,
    /// The object's version by which it may be prepared, once nothing else is in the way.
    pub(crate) fits: Option<u64>,
    /// The object's version that shows it as prepared.
    pub(crate) prepared: u64,
    /// The new configuration, once it is judged.
    pub(crate) next: Option<Arc<Config>>,
    pub(crate) warnings: Vec<String>,
    pub(crate) acks: BTreeMap<VmId, AckSeen>,
    pub(crate) archived: bool,
    pub(crate) refusal: Option<(Error, Vec<Objection>)>,
    /// The version it made, once committed.
    pub(crate) made: Option<ConfVersion>,
    /// Whether this book committed it, and not a resend through another VM.
    pub(crate) ours: bool,
    pub(crate) writing: Writing,
    /// What the write that is out would make of the object.
    pub(crate) sent: Option<Arc<str>>,
    pub(crate) pushed: Option<Instant>,
}

/// An acknowledgement as it came in.
#[derive(Clone, Debug)]
pub(crate) struct AckSeen {
    pub(crate) at: Instant,
    pub(crate) against: Option<String>,
}

/// The write that a proposal waits for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Writing {
    pub(crate) out: Option<WriteId>,
    tries: u32,
    due: Option<Instant>,
}

impl Writing {
    /// Whether the write may be sent now.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.out.is_none() && self.due.is_none_or(|d| now >= d)
    }

    /// Another write comes next.
    pub(crate) fn restart(&mut self) {
        *self = Self::default();
    }

    /// It failed or may have; it is sent again later. `jitter` is between 0 and 1.
    pub(crate) fn again(&mut self, now: Instant, jitter: f64) {
        let wait = RETRY.saturating_mul(1 << self.tries.min(8)).min(RETRY_MAX);
        self.out = None;
        self.tries += 1;
        self.due = Some(now + wait / 2 + (wait / 2).mul_f64(jitter));
    }
}

/// What an operator proposes.
pub(crate) struct Asked {
    pub(crate) ask: CallId,
    pub(crate) team: TeamName,
    pub(crate) patch: Patch,
    pub(crate) dry_run: bool,
}

impl Proposal {
    pub(crate) fn new(
        now: Instant,
        asked: Asked,
        state: PatchState,
        outcome_timeout: Duration,
        nonce: u64,
    ) -> Self {
        Self {
            digest: asked.patch.digest(),
            patch: asked.patch,
            team: asked.team,
            nonce,
            state,
            since: now,
            asks: vec![(asked.ask, now + outcome_timeout)],
            base: 0,
            fits: None,
            prepared: 0,
            next: None,
            warnings: Vec::new(),
            acks: BTreeMap::new(),
            archived: false,
            refusal: None,
            made: None,
            ours: false,
            writing: Writing::default(),
            sent: None,
            pushed: None,
        }
    }

    /// Whether every operator has waited long enough or has had the verdict.
    pub(crate) fn is_late(&self, now: Instant) -> bool {
        self.asks.iter().all(|(_, until)| now >= *until)
    }

    /// Takes the calls that are to be answered with the verdict.
    pub(crate) fn take_asks(&mut self) -> Vec<CallId> {
        self.asks.drain(..).map(|(ask, _)| ask).collect()
    }

    /// Takes the calls that have waited long enough.
    pub(crate) fn take_late(&mut self, now: Instant) -> Vec<CallId> {
        let late = self.asks.iter().filter(|(_, until)| now >= *until);
        let late = late.map(|(ask, _)| *ask).collect();
        self.asks.retain(|(_, until)| now < *until);
        late
    }

    /// Whether every one of these VMs was heard from since a time, and none stands against it.
    pub(crate) fn all_acked_since(&self, vms: &[VmId], me: &VmId, since: Option<Instant>) -> bool {
        let acked = |vm| {
            let ack: Option<&AckSeen> = self.acks.get(vm);
            ack.is_some_and(|a| a.against.is_none() && since.is_none_or(|s| a.at >= s))
        };
        // An empty list is a list that is not known, and no reason to ask nobody.
        !vms.is_empty() && vms.iter().filter(|vm| *vm != me).all(acked)
    }

    /// The VMs that stand against it by what they said.
    pub(crate) fn opponents(&self) -> Vec<Objection> {
        let one = |(vm, ack): (&VmId, &AckSeen)| {
            let reason = ack.against.clone()?;
            Some(Objection {
                vm: vm.clone(),
                reason,
            })
        };
        self.acks.iter().filter_map(one).collect()
    }

    /// The VMs that have not acknowledged.
    pub(crate) fn silent(&self, vms: &[VmId], me: &VmId) -> Vec<VmId> {
        let silent = vms
            .iter()
            .filter(|vm| *vm != me && !self.acks.contains_key(vm));
        silent.cloned().collect()
    }

    /// The refusal as a verdict.
    pub(crate) fn refused(&self) -> Option<PatchOutcome> {
        let (error, against) = self.refusal.clone()?;
        Some(PatchOutcome::Refused { error, against })
    }
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
