//! What this VM knows of one other.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::vm::VmChart;
use crate::vm::VmEvent;
use crate::vm::VmState;

/// Another VM.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) entry: VmEntry,
    pub(crate) state: VmState,
    /// When it came into that state.
    pub(crate) since: Instant,
    /// The newest run of its process known.
    pub(crate) incarnation: Option<Incarnation>,
    /// How often that run has contradicted a suspicion.
    pub(crate) refutations: u32,
    /// When it was last heard at first hand.
    pub(crate) heard: Option<Instant>,
    /// Whether its last word said that it has heard this VM.
    pub(crate) knows_us: bool,
    /// When it was first asked since it was last heard.
    pub(crate) asked: Option<Instant>,
    /// Since when every list has lacked it, unheard.
    pub(crate) absent: Option<Instant>,
}

impl Peer {
    pub(crate) fn new(now: Instant, entry: VmEntry, state: VmState) -> Self {
        Self {
            entry,
            state,
            since: now,
            incarnation: None,
            refutations: 0,
            heard: None,
            knows_us: false,
            asked: None,
            absent: None,
        }
    }

    /// Moves by the chart; tells whether the state changed.
    pub(crate) fn step(&mut self, now: Instant, chart: &VmChart, event: VmEvent) -> bool {
        let Some(next) = chart.next(self.state, event) else {
            return false;
        };
        self.state = next;
        self.since = now;
        true
    }

    /// Whether it was heard at first hand within this time.
    pub(crate) fn heard_within(&self, now: Instant, time: Duration) -> bool {
        self.heard.is_some_and(|t| now.duration_since(t) < time)
    }

    /// Whether an answer has been due for this time.
    pub(crate) fn silent_for(&self, now: Instant, time: Duration) -> bool {
        self.asked.is_some_and(|t| now.duration_since(t) >= time)
    }

    /// Notes a sign of life of this run; tells whether anything about it is new.
    pub(crate) fn hear(&mut self, now: Instant, chart: &VmChart, run: Incarnation) -> bool {
        if self.incarnation.is_some_and(|known| run < known) {
            return false;
        }
        self.heard = Some(now);
        self.asked = None;
        self.absent = None;
        self.meet(now, chart, run) | self.step(now, chart, VmEvent::Heard)
    }

    /// Notes that this run exists; tells whether it is a new one.
    pub(crate) fn meet(&mut self, now: Instant, chart: &VmChart, run: Incarnation) -> bool {
        if self.incarnation.is_some_and(|known| run <= known) {
            return false;
        }
        let restarted = self.incarnation.is_some();
        self.incarnation = Some(run);
        self.refutations = 0;
        if restarted {
            self.step(now, chart, VmEvent::Restarted);
        }
        true
    }
}
