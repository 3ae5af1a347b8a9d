//! What this VM knows of another VM.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::vm_state::VmChart;
use crate::vm_state::VmEvent;
use crate::vm_state::VmState;

/// Another VM, with its state and the last contact.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) entry: VmEntry,
    pub(crate) state: VmState,
    /// When it entered that state.
    pub(crate) state_since: Instant,
    /// The newest known incarnation of its process.
    pub(crate) incarnation: Option<Incarnation>,
    /// How often that incarnation has refuted a suspicion.
    pub(crate) refutations: u32,
    /// When the last heartbeat of it was received.
    pub(crate) last_contact: Option<Instant>,
    /// Whether its last heartbeat said that it has received one from this VM.
    pub(crate) knows_this_vm: bool,
    /// When the first probe since the last contact was sent.
    pub(crate) unanswered_since: Option<Instant>,
    /// Since when every list of VMs has been without it and no heartbeat of it was received.
    pub(crate) unlisted_since: Option<Instant>,
}

impl Peer {
    pub(crate) fn new(now: Instant, entry: VmEntry, state: VmState) -> Self {
        Self {
            entry,
            state,
            state_since: now,
            incarnation: None,
            refutations: 0,
            last_contact: None,
            knows_this_vm: false,
            unanswered_since: None,
            unlisted_since: None,
        }
    }

    /// Applies an event to the state; returns whether the state changed.
    pub(crate) fn apply_event(&mut self, now: Instant, chart: &VmChart, event: VmEvent) -> bool {
        let Some(next) = chart.next(self.state, event) else {
            return false;
        };
        self.state = next;
        self.state_since = now;
        true
    }

    /// Returns whether a heartbeat of it was received within this time.
    pub(crate) fn contacted_within(&self, now: Instant, time: Duration) -> bool {
        self.last_contact
            .is_some_and(|t| now.duration_since(t) < time)
    }

    /// Returns whether a probe has been unanswered for this time.
    pub(crate) fn unanswered_for(&self, now: Instant, time: Duration) -> bool {
        self.unanswered_since
            .is_some_and(|t| now.duration_since(t) >= time)
    }

    /// Records contact with this incarnation; returns whether this changed what is known.
    pub(crate) fn note_alive(
        &mut self,
        now: Instant,
        chart: &VmChart,
        incarnation: Incarnation,
    ) -> bool {
        if self.incarnation.is_some_and(|known| incarnation < known) {
            return false;
        }
        self.last_contact = Some(now);
        self.unanswered_since = None;
        self.unlisted_since = None;
        self.note_incarnation(now, chart, incarnation)
            | self.apply_event(now, chart, VmEvent::Heard)
    }

    /// Records that this incarnation exists; returns whether it was not known before.
    pub(crate) fn note_incarnation(
        &mut self,
        now: Instant,
        chart: &VmChart,
        incarnation: Incarnation,
    ) -> bool {
        if self.incarnation.is_some_and(|known| incarnation <= known) {
            return false;
        }
        let restarted = self.incarnation.is_some();
        self.incarnation = Some(incarnation);
        self.refutations = 0;
        if restarted {
            self.apply_event(now, chart, VmEvent::Restarted);
        }
        true
    }
}
