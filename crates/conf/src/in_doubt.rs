//! A prepared patch that this VM acknowledged and whose outcome it may not learn.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::latest_record::LatestRecord;
use crate::patch::Touched;
use crate::record::PendingPatch;

/// The interval at which an acknowledgement is repeated while the patch is undecided.
pub(crate) const ACK_INTERVAL: Duration = Duration::from_millis(400);
/// The number of sent acknowledgements kept to match replies to them.
const SENT_ACKS_MAX: usize = 16;

/// A prepared patch that this VM acknowledged.
///
/// If the proposer commits the patch and this VM is partitioned, its callers would be served by a
/// version that is no longer in force, and this VM could not detect it. An acknowledgement is
/// therefore also a promise: if nothing is received for `in_doubt_after`, the lookups that the patch
/// changes are refused as not run until the outcome is known. The proposer reports the patch as
/// accepted only after every VM has it in force or its promise has expired. The promise also holds
/// after a pause of the process, because it is checked for each lookup with the current time.
#[derive(Clone, Debug)]
pub(crate) struct InDoubtPatch {
    object: u64,
    proposer: VmId,
    affected: Vec<Touched>,
    /// The safe time: until then the affected lookups may be served, because the proposer does not
    /// report the patch as accepted before.
    safe_until: Instant,
    last_ack_seq: u64,
    sent_acks: VecDeque<(u64, Instant)>,
    abandoned: bool,
}

impl InDoubtPatch {
    /// Creates the state when the prepared patch becomes known.
    ///
    /// A VM that was ready gets `grace`, because nothing is committed before it acknowledged. A
    /// starting VM gets none, because the patch may have been decided long ago.
    pub(crate) fn new(latest: &LatestRecord, pending: &PendingPatch, grace: Duration) -> Self {
        Self {
            object: latest.object,
            proposer: pending.proposer.clone(),
            affected: pending.patch.affected(),
            safe_until: latest.learned_at + grace,
            last_ack_seq: 0,
            sent_acks: VecDeque::new(),
            abandoned: false,
        }
    }

    /// Returns the object version at which the patch became known.
    pub(crate) fn object(&self) -> u64 {
        self.object
    }

    /// Returns the VM that proposed the patch.
    pub(crate) fn proposer(&self) -> &VmId {
        &self.proposer
    }

    /// Whether the next acknowledgement is due.
    pub(crate) fn is_ack_due(&self, now: Instant) -> bool {
        let last = self.sent_acks.back();
        !self.abandoned && last.is_none_or(|(_, at)| now >= *at + ACK_INTERVAL)
    }

    /// Records that an acknowledgement is sent now and returns its number.
    pub(crate) fn record_sent_ack(&mut self, now: Instant) -> u64 {
        self.last_ack_seq += 1;
        self.sent_acks.push_back((self.last_ack_seq, now));
        if self.sent_acks.len() > SENT_ACKS_MAX {
            self.sent_acks.pop_front();
        }
        self.last_ack_seq
    }

    /// Extends the safe time after the proposer replied to an acknowledgement that the patch is
    /// undecided and in force nowhere.
    ///
    /// The time counts from when the acknowledgement was sent, so that a reply that was long in
    /// transit does not extend a promise that the proposer considers expired.
    pub(crate) fn extend_safe_time_from_ack(&mut self, seq: u64, in_doubt_after: Duration) {
        let Some((_, at)) = self.sent_acks.iter().find(|(s, _)| *s == seq) else {
            return;
        };
        self.safe_until = self.safe_until.max(*at + in_doubt_after);
    }

    /// Extends the safe time from `now`; used on the proposer, which knows that the patch is in force
    /// nowhere.
    pub(crate) fn extend_safe_time(&mut self, now: Instant, in_doubt_after: Duration) {
        self.safe_until = self.safe_until.max(now + in_doubt_after);
    }

    /// Records that the proposer will never commit it.
    pub(crate) fn mark_abandoned(&mut self) {
        self.abandoned = true;
    }

    /// Returns the lookups that must be refused now.
    pub(crate) fn refused_targets(&self, now: Instant) -> &[Touched] {
        match !self.abandoned && now >= self.safe_until {
            true => &self.affected,
            false => &[],
        }
    }
}
