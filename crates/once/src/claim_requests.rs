//! The claim requests that await a decision.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use gs_types::prelude::*;

use crate::claim::ClaimChart;
use crate::claim::ClaimEvent;
use crate::claim::ClaimRequest;
use crate::claim::ClaimRequestId;
use crate::claim::ClaimState;

/// A claim request that awaits a decision.
#[derive(Clone, Debug)]
pub(crate) struct PendingClaim {
    pub(crate) request: ClaimRequest,
    pub(crate) state: ClaimState,
    /// When the key was minted, in seconds since the Unix epoch; only known for this VM's own
    /// requests, and 0 for others.
    pub(crate) minted: u64,
    /// The VM that forwarded the request and awaits the result; `None` for this VM's own requests.
    pub(crate) forwarded_by: Option<VmId>,
    /// Whether the VM that it was forwarded to may still write an entry for it.
    pub(crate) forward_may_write: bool,
    deadline: Instant,
    /// Until when this VM waits for the bucket's writer.
    forwarded_until: Option<Instant>,
}

/// The pending claim requests, by id and by the time of their next timeout.
#[derive(Debug)]
pub(crate) struct ClaimRequests {
    chart: ClaimChart,
    requests: BTreeMap<ClaimRequestId, PendingClaim>,
    timers: BTreeSet<(Instant, ClaimRequestId)>,
}

impl ClaimRequests {
    pub(crate) fn new(chart: ClaimChart) -> Self {
        Self {
            chart,
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn get(&self, id: &ClaimRequestId) -> Option<&PendingClaim> {
        self.requests.get(id)
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = &ClaimRequestId> {
        self.requests.keys()
    }

    pub(crate) fn add(
        &mut self,
        request: ClaimRequest,
        minted: u64,
        forwarded_by: Option<VmId>,
        deadline: Instant,
    ) {
        let id = request.id.clone();
        self.timers.insert((deadline, id.clone()));
        let pending = PendingClaim {
            request,
            state: self.chart.initial(),
            minted,
            forwarded_by,
            forward_may_write: false,
            deadline,
            forwarded_until: None,
        };
        self.requests.insert(id, pending);
    }

    /// Records that a request was forwarded to the bucket's writer.
    pub(crate) fn note_forwarded(&mut self, id: &ClaimRequestId, until: Instant) {
        self.apply_event(id, ClaimEvent::Forward);
        if let Some(p) = self.requests.get_mut(id) {
            p.forward_may_write = true;
            p.forwarded_until = Some(until);
            self.timers.insert((until, id.clone()));
        }
    }

    /// Records that the bucket's writer will not write an entry for a request.
    pub(crate) fn note_forward_dropped(&mut self, id: &ClaimRequestId) {
        if let Some(p) = self.requests.get_mut(id) {
            p.forward_may_write = false;
        }
    }

    /// Applies an event to a request. Removes and returns the request if its new state is final.
    pub(crate) fn apply_event(
        &mut self,
        id: &ClaimRequestId,
        event: ClaimEvent,
    ) -> Option<PendingClaim> {
        let p = self.requests.get_mut(id)?;
        let next = self.chart.next(p.state, event)?;
        p.state = next;
        if !self.chart.is_final(next) {
            return None;
        }
        let p = self.requests.remove(id)?;
        self.timers.remove(&(p.deadline, id.clone()));
        if let Some(t) = p.forwarded_until {
            self.timers.remove(&(t, id.clone()));
        }
        Some(p)
    }

    /// Removes the next expired timer; returns its request, and whether the deadline has passed.
    pub(crate) fn pop_expired_timer(&mut self, now: Instant) -> Option<(ClaimRequestId, bool)> {
        let (at, id) = self.timers.first().filter(|(at, _)| *at <= now)?.clone();
        self.timers.remove(&(at, id.clone()));
        let deadline_passed = self.requests.get(&id).is_some_and(|p| p.deadline <= now);
        Some((id, deadline_passed))
    }

    pub(crate) fn next_timer(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }
}
