//! The incarnations of a server: health reports, restarts and drains.

use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::servers::ServerIdx;
use crate::servers::Servers;
use crate::state::ServerEvent;

/// A report of a server's health and load endpoint.
#[derive(Clone, Copy, Debug)]
pub struct HealthReport<'a> {
    /// The incarnation of the server; `None` if it did not answer.
    pub incarnation: Option<Incarnation>,
    /// The snapshots that it reports as ready.
    pub snapshots: &'a [SnapshotId],
    /// The load that it reports.
    pub load: u32,
    /// Whether it reports that it is draining.
    pub draining: bool,
}

/// The effect of a health report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// Nothing changed that affects work in flight.
    Nothing,
    /// The server has begun to drain.
    Drained,
    /// The server has a new incarnation, which accepts work.
    NewIncarnation,
}

impl Servers {
    /// Applies a health report; a report of an earlier incarnation is ignored.
    ///
    /// A report is only a hint: the load and the snapshots that the server sent in its own replies take
    /// precedence.
    pub fn on_health_report(
        &mut self,
        now: Instant,
        idx: ServerIdx,
        report: HealthReport<'_>,
    ) -> ReportEffect {
        let view = &mut self.views[idx.index()];
        view.is_silent = report.incarnation.is_none();
        let Some(reported) = report.incarnation else {
            return ReportEffect::Nothing;
        };
        let known = view.incarnation;
        if known.is_some_and(|known| reported < known) {
            return ReportEffect::Nothing;
        }
        view.incarnation = Some(reported);
        let is_new = known.is_some_and(|known| reported > known);
        if is_new {
            self.begin_incarnation(now, idx);
        }
        self.apply_reported_state(now, idx, report);
        if report.draining && self.drain(idx, Some(reported)) {
            return ReportEffect::Drained;
        }
        if is_new {
            ReportEffect::NewIncarnation
        } else {
            ReportEffect::Nothing
        }
    }

    fn apply_reported_state(&mut self, now: Instant, idx: ServerIdx, report: HealthReport<'_>) {
        let view = &mut self.views[idx.index()];
        if view.load_reported_at.is_none() {
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
            self.snapshot_changes += 1;
        }
    }

    /// Resets the view for a new incarnation: it is cold, holds only what it reports, and inherits no
    /// failures, ejection or backoff of the previous one.
    fn begin_incarnation(&mut self, now: Instant, idx: ServerIdx) {
        self.apply_event(idx, ServerEvent::NewRun);
        let view = &mut self.views[idx.index()];
        view.incarnation_since = Some(now);
        view.slow_start_since = Some(now);
        view.snapshots = Some(SmallVec::new());
        view.self_report_until = None;
        view.latency.clear();
        view.load = 0;
        view.load_reported_at = None;
        view.failure_weight = 0;
        view.connection_failures = 0;
        view.consecutive_ejections = 0;
        view.ejected_until = None;
        view.paused_until = None;
        view.lost_at = None;
        self.snapshot_changes += 1;
    }

    /// Marks an incarnation of a server as draining; returns `true` if it was not marked before.
    ///
    /// A notice about an earlier incarnation than the current one is ignored. A notice without an
    /// incarnation applies to the current one; if it is repeated after a restart it is ignored too.
    pub fn drain(&mut self, idx: ServerIdx, incarnation: Option<Incarnation>) -> bool {
        let view = &mut self.views[idx.index()];
        match incarnation {
            Some(named) if view.incarnation.is_some_and(|known| named < known) => return false,
            Some(named) => view.incarnation = Some(named),
            None if view
                .unspecified_drain
                .is_some_and(|applied| applied != view.incarnation) =>
            {
                return false;
            }
            None => view.unspecified_drain = Some(view.incarnation),
        }
        self.drain_self_reported(idx)
    }

    /// Marks the current incarnation as draining, as reported by the server itself; returns `true` if
    /// it was not marked before.
    ///
    /// Unlike a notice without an incarnation, this is never a repetition, so it is not remembered in
    /// a way that would cause such a notice about the next incarnation to be ignored.
    pub fn drain_self_reported(&mut self, idx: ServerIdx) -> bool {
        if self.view(idx).is_draining() {
            return false;
        }
        self.apply_event(idx, ServerEvent::Drain);
        self.snapshot_changes += 1;
        true
    }
}
