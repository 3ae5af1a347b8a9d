//! What a VM does about a prepared patch whose outcome it may not learn.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::held::Held;
use crate::patch::AffectedTarget;
use crate::record::Pending;

/// How often an acknowledgement is sent again while the patch is undecided.
pub(crate) const ACK_EVERY: Duration = Duration::from_millis(400);
/// How many acknowledgements are remembered for the answer to them.
const SENT_MAX: usize = 16;

/// A prepared patch that this VM acknowledged.
///
/// The failure: this VM acknowledges, the proposer commits, and the word of it is cut off. Callers
/// here would be served by a version that is no longer in force, and nobody here could know. So an
/// acknowledgement is also a promise: without word for `in_doubt_after`, the lookups that the patch
/// changes are refused as not run until the outcome is learned. The proposer calls the patch
/// accepted only after every VM has it in force or its promise has run out. It holds through a
/// pause, as each lookup asks with the time of asking.
#[derive(Clone, Debug)]
pub(crate) struct Doubt {
    object: u64,
    proposer: VmId,
    touched: Vec<AffectedTarget>,
    safe_until: Instant,
    seq: u64,
    sent: VecDeque<(u64, Instant)>,
    abandoned: bool,
}

impl Doubt {
    /// Starts when the prepared patch is learned.
    ///
    /// A VM that was ready is given `grace`, as nothing is committed before it acknowledged. One
    /// that is starting is given none: the patch it hears of may have been decided long ago.
    pub(crate) fn new(held: &Held, pending: &Pending, grace: Duration) -> Self {
        Self {
            object: held.object,
            proposer: pending.proposer.clone(),
            touched: pending.patch.touched(),
            safe_until: held.learned + grace,
            seq: 0,
            sent: VecDeque::new(),
            abandoned: false,
        }
    }

    /// The object version at which the patch was learned.
    pub(crate) fn object(&self) -> u64 {
        self.object
    }

    /// Who proposed the patch.
    pub(crate) fn proposer(&self) -> &VmId {
        &self.proposer
    }

    /// Whether an acknowledgement is due.
    pub(crate) fn ack_due(&self, now: Instant) -> bool {
        let last = self.sent.back();
        !self.abandoned && last.is_none_or(|(_, at)| now >= *at + ACK_EVERY)
    }

    /// Numbers the acknowledgement that is sent now.
    pub(crate) fn next_ack(&mut self, now: Instant) -> u64 {
        self.seq += 1;
        self.sent.push_back((self.seq, now));
        if self.sent.len() > SENT_MAX {
            self.sent.pop_front();
        }
        self.seq
    }

    /// The proposer answered an acknowledgement: still undecided and in force nowhere.
    ///
    /// The time counts from when the acknowledgement was sent, so that an answer that was long on
    /// its way extends nothing that the proposer counts as over.
    pub(crate) fn holding(&mut self, seq: u64, in_doubt_after: Duration) {
        let Some((_, at)) = self.sent.iter().find(|(s, _)| *s == seq) else {
            return;
        };
        self.safe_until = self.safe_until.max(*at + in_doubt_after);
    }

    /// The proposer is this VM, and knows at `now` that the patch is in force nowhere.
    pub(crate) fn known_undecided(&mut self, now: Instant, in_doubt_after: Duration) {
        self.safe_until = self.safe_until.max(now + in_doubt_after);
    }

    /// The proposer will never commit it.
    pub(crate) fn abandon(&mut self) {
        self.abandoned = true;
    }

    /// What must be refused now.
    pub(crate) fn refused(&self, now: Instant) -> &[AffectedTarget] {
        match !self.abandoned && now >= self.safe_until {
            true => &self.touched,
            false => &[],
        }
    }
}
