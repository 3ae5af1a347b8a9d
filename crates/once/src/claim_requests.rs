//! The asks that await their verdict.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use gs_types::prelude::*;

use crate::claim::ClaimChart;
use crate::claim::ClaimEvent;
use crate::claim::ClaimRequest;
use crate::claim::ClaimRequestId;
use crate::claim::ClaimState;

/// An ask that awaits its verdict.
#[derive(Clone, Debug)]
pub(crate) struct PendingClaim {
    pub(crate) request: ClaimRequest,
    pub(crate) state: ClaimState,
    /// When the key was minted, in seconds since the Unix epoch; known for this VM's own asks.
    pub(crate) minted: u64,
    /// The VM to answer; `None` if the ask is this VM's own.
    pub(crate) on_behalf: Option<VmId>,
    /// Whether a forward may still make it an entry.
    pub(crate) forward_open: bool,
    deadline: Instant,
    /// Until when the bucket's writer is waited for.
    forwarded_until: Option<Instant>,
}

/// All of them, by id and by the time at which each is next due.
#[derive(Debug)]
pub(crate) struct ClaimRequests {
    chart: ClaimChart,
    map: BTreeMap<ClaimRequestId, PendingClaim>,
    timers: BTreeSet<(Instant, ClaimRequestId)>,
}

impl ClaimRequests {
    pub(crate) fn new(chart: ClaimChart) -> Self {
        Self {
            chart,
            map: BTreeMap::new(),
            timers: BTreeSet::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.map.len()
    }

    pub(crate) fn find(&self, id: &ClaimRequestId) -> Option<&PendingClaim> {
        self.map.get(id)
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = &ClaimRequestId> {
        self.map.keys()
    }

    pub(crate) fn add(
        &mut self,
        request: ClaimRequest,
        minted: u64,
        on_behalf: Option<VmId>,
        deadline: Instant,
    ) {
        let id = request.id.clone();
        self.timers.insert((deadline, id.clone()));
        let pending = PendingClaim {
            request,
            state: self.chart.initial(),
            minted,
            on_behalf,
            forward_open: false,
            deadline,
            forwarded_until: None,
        };
        self.map.insert(id, pending);
    }

    /// Notes that an ask was handed to the bucket's writer.
    pub(crate) fn forward(&mut self, id: &ClaimRequestId, until: Instant) {
        self.step(id, ClaimEvent::Forward);
        if let Some(p) = self.map.get_mut(id) {
            p.forward_open = true;
            p.forwarded_until = Some(until);
            self.timers.insert((until, id.clone()));
        }
    }

    /// Notes that the bucket's writer has answered.
    pub(crate) fn close_forward(&mut self, id: &ClaimRequestId) {
        if let Some(p) = self.map.get_mut(id) {
            p.forward_open = false;
        }
    }

    /// Moves an ask by the chart, and takes it out if it came to its end.
    pub(crate) fn step(&mut self, id: &ClaimRequestId, event: ClaimEvent) -> Option<PendingClaim> {
        let p = self.map.get_mut(id)?;
        let next = self.chart.next(p.state, event)?;
        p.state = next;
        if !self.chart.is_last(next) {
            return None;
        }
        let p = self.map.remove(id)?;
        self.timers.remove(&(p.deadline, id.clone()));
        if let Some(t) = p.forwarded_until {
            self.timers.remove(&(t, id.clone()));
        }
        Some(p)
    }

    /// Takes the next timer that is due: an ask, and whether its time is up for good.
    pub(crate) fn due(&mut self, now: Instant) -> Option<(ClaimRequestId, bool)> {
        let (at, id) = self.timers.first().filter(|(at, _)| *at <= now)?.clone();
        self.timers.remove(&(at, id.clone()));
        let over = self.map.get(&id).is_some_and(|p| p.deadline <= now);
        Some((id, over))
    }

    pub(crate) fn next_timer(&self) -> Option<Instant> {
        self.timers.first().map(|(at, _)| *at)
    }
}
