//! A proposal on the VM that received the operator's call, and the retries of its writes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::action::WriteId;
use crate::event::CallId;
use crate::message::Ack;
use crate::patch::Patch;
use crate::patch_outcome::PatchOutcome;
use crate::patch_outcome::VmRejection;
use crate::state::PatchState;

/// The delay before the first retry of a write; doubled each time.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(40);
/// The longest delay before a retry of a write.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// A proposal, from the operator's call to its outcome and the cleanup after it.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    pub(crate) patch: Patch,
    pub(crate) digest: u64,
    pub(crate) team: TeamName,
    pub(crate) nonce: u64,
    pub(crate) state: PatchState,
    /// When the state was entered.
    pub(crate) entered_state_at: Instant,
    /// The operators' calls that wait for the outcome, each with the time at which it expires.
    pub(crate) calls: Vec<(CallId, Instant)>,
    /// The object version that the patch was evaluated against and whose content it replaces.
    pub(crate) base_object: u64,
    /// The object version against which it was found eligible while another patch blocks it.
    pub(crate) eligible_object: Option<u64>,
    /// The object version that contains it as prepared.
    pub(crate) prepared_object: u64,
    /// The new configuration, once the patch is found eligible.
    pub(crate) next_config: Option<Arc<Config>>,
    pub(crate) warnings: Vec<String>,
    pub(crate) acks: BTreeMap<VmId, ReceivedAck>,
    pub(crate) history_written: bool,
    pub(crate) refusal: Option<(Error, Vec<VmRejection>)>,
    /// The version that it created, once committed.
    pub(crate) committed_version: Option<ConfVersion>,
    /// Whether this VM committed it, and not another VM that received a resend.
    pub(crate) committed_here: bool,
    pub(crate) write_retry: RetryState,
    /// The content of the write in flight.
    pub(crate) sent_content: Option<Arc<str>>,
    pub(crate) last_sent_at: Option<Instant>,
}

/// A received acknowledgement.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedAck {
    pub(crate) received_at: Instant,
    pub(crate) rejection_reason: Option<String>,
}

/// The retry state of a write or of reads: the write in flight, if any, and the backoff.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryState {
    pub(crate) in_flight: Option<WriteId>,
    tries: u32,
    retry_at: Option<Instant>,
}

impl RetryState {
    /// Whether the write or read may be sent now.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.in_flight.is_none() && self.retry_at.is_none_or(|d| now >= d)
    }

    /// Resets the state for a different write.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Schedules a retry after the write or read failed or may have failed; `jitter` is between 0 and 1.
    pub(crate) fn schedule_retry(&mut self, now: Instant, jitter: f64) {
        let wait = RETRY_DELAY_MIN
            .saturating_mul(1 << self.tries.min(8))
            .min(RETRY_DELAY_MAX);
        self.in_flight = None;
        self.tries += 1;
        self.retry_at = Some(now + wait / 2 + (wait / 2).mul_f64(jitter));
    }
}

/// An operator's call that proposes a patch.
pub(crate) struct ProposeCall {
    pub(crate) call: CallId,
    pub(crate) team: TeamName,
    pub(crate) patch: Patch,
    pub(crate) dry_run: bool,
}

impl Proposal {
    pub(crate) fn new(
        now: Instant,
        request: ProposeCall,
        state: PatchState,
        outcome_timeout: Duration,
        nonce: u64,
    ) -> Self {
        Self {
            digest: request.patch.digest(),
            patch: request.patch,
            team: request.team,
            nonce,
            state,
            entered_state_at: now,
            calls: vec![(request.call, now + outcome_timeout)],
            base_object: 0,
            eligible_object: None,
            prepared_object: 0,
            next_config: None,
            warnings: Vec::new(),
            acks: BTreeMap::new(),
            history_written: false,
            refusal: None,
            committed_version: None,
            committed_here: false,
            write_retry: RetryState::default(),
            sent_content: None,
            last_sent_at: None,
        }
    }

    /// Whether no call waits for the outcome any longer: each has expired or was answered.
    pub(crate) fn are_calls_expired(&self, now: Instant) -> bool {
        self.calls.iter().all(|(_, until)| now >= *until)
    }

    /// Removes and returns all calls, to be answered with the outcome.
    pub(crate) fn take_calls(&mut self) -> Vec<CallId> {
        self.calls.drain(..).map(|(call, _)| call).collect()
    }

    /// Removes and returns the expired calls.
    pub(crate) fn take_expired_calls(&mut self, now: Instant) -> Vec<CallId> {
        let expired = self.calls.iter().filter(|(_, until)| now >= *until);
        let expired = expired.map(|(call, _)| *call).collect();
        self.calls.retain(|(_, until)| now < *until);
        expired
    }

    /// Whether each of these VMs but `me` acknowledged the patch, since this time if given, and none
    /// rejects it.
    pub(crate) fn is_acked_by_all_since(
        &self,
        vms: &[VmId],
        me: &VmId,
        since: Option<Instant>,
    ) -> bool {
        let acked = |vm| {
            let ack: Option<&ReceivedAck> = self.acks.get(vm);
            ack.is_some_and(|a| {
                a.rejection_reason.is_none() && since.is_none_or(|s| a.received_at >= s)
            })
        };
        // An empty list means that the VMs are not known, not that there are none.
        !vms.is_empty() && vms.iter().filter(|vm| *vm != me).all(acked)
    }

    /// Returns the VMs that reject it with their reasons.
    pub(crate) fn rejections(&self) -> Vec<VmRejection> {
        let one = |(vm, ack): (&VmId, &ReceivedAck)| {
            let reason = ack.rejection_reason.clone()?;
            Some(VmRejection {
                vm: vm.clone(),
                reason,
            })
        };
        self.acks.iter().filter_map(one).collect()
    }

    /// Returns the VMs that have not acknowledged it.
    pub(crate) fn unacknowledged(&self, vms: &[VmId], me: &VmId) -> Vec<VmId> {
        let missing = vms
            .iter()
            .filter(|vm| *vm != me && !self.acks.contains_key(vm));
        missing.cloned().collect()
    }

    /// Returns the refusal as an outcome.
    pub(crate) fn refusal_outcome(&self) -> Option<PatchOutcome> {
        let (error, against) = self.refusal.clone()?;
        Some(PatchOutcome::Refused { error, against })
    }

    /// Records an acknowledgement; the first rejection of a VM is kept.
    pub(crate) fn note_ack(&mut self, now: Instant, from: &VmId, ack: Ack) {
        let seen = ReceivedAck {
            received_at: now,
            rejection_reason: ack.against,
        };
        let old = self.acks.get(from);
        if old.is_none_or(|a| a.rejection_reason.is_none()) {
            self.acks.insert(from.clone(), seen);
        }
    }
}
