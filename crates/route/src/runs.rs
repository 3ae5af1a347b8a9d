//! The runs of a server: health reports, restarts and drains.

use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::servers::ServerIdx;
use crate::servers::Servers;
use crate::state::ServerEvent;

/// What a server's health and load endpoint says.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a> {
    /// The run of the server; `None` if it did not answer.
    pub incarnation: Option<Incarnation>,
    /// The snapshots that it says are ready.
    pub snapshots: &'a [SnapshotId],
    /// The load that it claims.
    pub load: u32,
    /// Whether it says it is draining.
    pub draining: bool,
}

/// What a report or a sign changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// Nothing that matters to work in flight.
    Nothing,
    /// The server has begun to drain.
    Drained,
    /// A new run of the server is there, and takes work.
    NewIncarnation,
}

impl Servers {
    /// Takes a health report in, as a hint; one of an earlier run is dropped.
    pub fn report(&mut self, now: Instant, idx: ServerIdx, report: Report<'_>) -> ReportEffect {
        let view = &mut self.list[idx.index()];
        view.is_silent = report.incarnation.is_none();
        let Some(told) = report.incarnation else {
            return ReportEffect::Nothing;
        };
        let known = view.incarnation;
        if known.is_some_and(|known| told < known) {
            return ReportEffect::Nothing;
        }
        view.incarnation = Some(told);
        let is_new = known.is_some_and(|known| told > known);
        if is_new {
            self.new_run(now, idx);
        }
        self.take_hints(now, idx, report);
        if report.draining && self.drain(idx, Some(told)) {
            return ReportEffect::Drained;
        }
        if is_new {
            ReportEffect::NewIncarnation
        } else {
            ReportEffect::Nothing
        }
    }

    fn take_hints(&mut self, now: Instant, idx: ServerIdx, report: Report<'_>) {
        let view = &mut self.list[idx.index()];
        if view.load_at.is_none() {
            view.load = report.load;
        }
        if view.self_report_until.is_some_and(|until| until > now) {
            return;
        }
        let same = view
            .snapshots
            .as_ref()
            .is_some_and(|held| held.as_slice() == report.snapshots);
        if !same {
            view.snapshots = Some(SmallVec::from_slice(report.snapshots));
            self.changes += 1;
        }
    }

    /// A new run holds what it says, is cold, and carries none of the old run's marks.
    fn new_run(&mut self, now: Instant, idx: ServerIdx) {
        self.step(idx, ServerEvent::NewRun);
        let view = &mut self.list[idx.index()];
        view.run_since = Some(now);
        view.warming_since = Some(now);
        view.snapshots = Some(SmallVec::new());
        view.self_report_until = None;
        view.latency.clear();
        view.load = 0;
        view.load_at = None;
        view.failures = 0;
        view.losses = 0;
        view.rests = 0;
        view.rest_until = None;
        view.pause_until = None;
        view.lost_at = None;
        self.changes += 1;
    }

    /// Marks a run of a server as draining; `true` if it was not marked before.
    ///
    /// A sign for an earlier run than the one known is dropped. A sign that names no run counts for
    /// the run known now, and told again after a restart it is dropped too.
    pub fn drain(&mut self, idx: ServerIdx, incarnation: Option<Incarnation>) -> bool {
        let view = &mut self.list[idx.index()];
        match incarnation {
            Some(told) if view.incarnation.is_some_and(|known| told < known) => return false,
            Some(told) => view.incarnation = Some(told),
            None if view
                .unnamed_drain
                .is_some_and(|run| run != view.incarnation) =>
            {
                return false;
            }
            None => view.unnamed_drain = Some(view.incarnation),
        }
        self.drain_self_reported(idx)
    }

    /// Marks the run known now as draining, by the server's own word; `true` if it was not before.
    ///
    /// Unlike a sign that names no run it is never an echo, so it does not make such a sign about
    /// the next run look like one.
    pub fn drain_self_reported(&mut self, idx: ServerIdx) -> bool {
        if self.view(idx).is_draining() {
            return false;
        }
        self.step(idx, ServerEvent::Drain);
        self.changes += 1;
        true
    }
}
