//! The set of backend servers and the events that change their state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_chart::Chart;
use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::options::RouteOptions;
use crate::server::DispatchStatus;
use crate::server::ServerFailure;
use crate::server::ServerView;
use crate::state;
use crate::state::ServerEvent;
use crate::state::ServerState;
use crate::undeclared::UndeclaredServer;

/// The longest pause that a server may request when it sheds load.
const SHED_PAUSE_MAX: Duration = Duration::from_secs(5);

/// The pause after a server was unreachable or broke a connection; doubled with each consecutive time.
const CONNECTION_FAILURE_PAUSE: Duration = Duration::from_millis(20);

/// The most doublings of that pause.
const CONNECTION_FAILURE_DOUBLINGS_MAX: u32 = 4;

/// The most doublings of an ejection time, so that the shift does not overflow; the options limit the
/// time itself.
const EJECTION_DOUBLINGS_MAX: u32 = 16;

/// The index of a server in [`Servers`]; valid for the lifetime of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerIdx(u32);

impl ServerIdx {
    /// Returns the index as a number, from 0 without gaps.
    #[must_use]
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// The state of all backend servers.
#[derive(Debug)]
pub struct Servers {
    pub(crate) views: Vec<ServerView>,
    indices_by_name: BTreeMap<ServerName, ServerIdx>,
    indices_by_service: BTreeMap<ServiceName, SmallVec<[ServerIdx; 4]>>,
    pub(crate) undeclared: BTreeMap<ServerName, UndeclaredServer>,
    /// The number of changes that affect which snapshots can be pinned: held snapshots and drains.
    pub(crate) snapshot_changes: u64,
    data_centre: DataCentre,
    chart: Chart<ServerState, ServerEvent>,
    options: RouteOptions,
}

impl Servers {
    /// Creates an empty set.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the embedded state machine definition is invalid.
    pub fn new(data_centre: DataCentre, options: RouteOptions) -> Result<Self> {
        Ok(Self {
            views: Vec::new(),
            indices_by_name: BTreeMap::new(),
            indices_by_service: BTreeMap::new(),
            undeclared: BTreeMap::new(),
            snapshot_changes: 0,
            data_centre,
            chart: state::server_chart()?,
            options,
        })
    }

    /// Applies a declaration; a known server of that name keeps its state.
    pub fn declare(&mut self, decl: &Arc<ServerDecl>) -> ServerIdx {
        let is_local = decl.data_centre == self.data_centre;
        let idx = match self.indices_by_name.get(&decl.name) {
            Some(idx) => *idx,
            None => self.add(decl, is_local),
        };
        let view = &mut self.views[idx.index()];
        if view.decl.service != decl.service
            && let Some(old) = self.indices_by_service.get_mut(&view.decl.service)
        {
            old.retain(|i| *i != idx);
        }
        view.decl = Arc::clone(decl);
        view.is_local = is_local;
        let members = self
            .indices_by_service
            .entry(decl.service.clone())
            .or_default();
        if !members.contains(&idx) {
            members.push(idx);
        }
        idx
    }

    fn add(&mut self, decl: &Arc<ServerDecl>, is_local: bool) -> ServerIdx {
        // A group map is at most a megabyte, so there are far fewer than 2^32 servers.
        let idx = ServerIdx(self.views.len() as u32);
        let view = ServerView::new(Arc::clone(decl), is_local, self.chart.initial());
        self.views.push(view);
        self.indices_by_name.insert(decl.name.clone(), idx);
        self.snapshot_changes += 1;
        if let Some(undeclared) = self.undeclared.remove(&decl.name) {
            self.apply_undeclared(idx, undeclared);
        }
        idx
    }

    /// Returns the index of a server; `None` if it was never declared.
    #[must_use]
    pub fn find(&self, name: &ServerName) -> Option<ServerIdx> {
        self.indices_by_name.get(name).copied()
    }

    /// Returns the state of a server.
    #[must_use]
    pub fn view(&self, idx: ServerIdx) -> &ServerView {
        &self.views[idx.index()]
    }

    /// Returns all servers in the order of their names.
    pub fn by_name(&self) -> impl Iterator<Item = (ServerIdx, &ServerView)> {
        self.indices_by_name
            .values()
            .map(|idx| (*idx, self.view(*idx)))
    }

    /// Returns the number of servers.
    #[must_use]
    pub fn count(&self) -> usize {
        self.views.len()
    }

    /// Returns the number of changes that affect which snapshots can be pinned.
    #[must_use]
    pub fn snapshot_changes(&self) -> u64 {
        self.snapshot_changes
    }

    /// Returns the settings.
    #[must_use]
    pub fn options(&self) -> &RouteOptions {
        &self.options
    }

    /// Returns whether an attempt can be dispatched to a server now.
    #[must_use]
    pub fn dispatch_status(&self, now: Instant, idx: ServerIdx) -> DispatchStatus {
        self.view(idx).dispatch_status(now, &self.options)
    }

    /// Sets how many connections this VM may open to a server.
    pub fn set_share(&mut self, idx: ServerIdx, share: Connections) {
        self.views[idx.index()].connection_share = share;
    }

    /// Records that a connection was opened or closed.
    pub fn on_connection_change(&mut self, idx: ServerIdx, opened: bool) {
        let view = &mut self.views[idx.index()];
        view.open_connections = if opened {
            view.open_connections.saturating_add(1)
        } else {
            view.open_connections.saturating_sub(1)
        };
    }

    /// Records that an attempt was dispatched; it holds a connection until [`Servers::on_release`].
    pub fn on_dispatch(&mut self, now: Instant, idx: ServerIdx) {
        let warm = self.view(idx).slow_start_progress(now, &self.options) >= 1.0;
        let view = &mut self.views[idx.index()];
        view.in_flight += 1;
        // One attempt at a lost server shows whether it is back; further ones would only wait.
        view.lost_at = view.lost_at.map(|_| now);
        match view.state {
            ServerState::SetAside => self.apply_event(idx, ServerEvent::RestOver),
            ServerState::Warming if warm => self.apply_event(idx, ServerEvent::Warmed),
            _ => {}
        }
    }

    /// Records that the connection of an attempt is free again or closed.
    pub fn on_release(&mut self, idx: ServerIdx) {
        let view = &mut self.views[idx.index()];
        view.in_flight = view.in_flight.saturating_sub(1);
    }

    /// Records that a server returned a complete part with this load.
    pub fn on_success(&mut self, now: Instant, idx: ServerIdx, load: u32) {
        let view = &mut self.views[idx.index()];
        view.failure_weight = 0;
        view.connection_failures = 0;
        view.consecutive_ejections = 0;
        view.load = load;
        view.load_reported_at = Some(now);
        if view.state == ServerState::Probing {
            view.slow_start_since = Some(now);
            self.apply_event(idx, ServerEvent::ProbeOk);
        }
    }

    /// Records the latency of an attempt that was sent, or the time after which it was abandoned.
    pub fn record_latency(&mut self, now: Instant, idx: ServerIdx, latency: Duration) {
        self.views[idx.index()].latency.add(now, latency);
    }

    /// Records a failed attempt at a server.
    ///
    /// A server that is down refuses connections within a millisecond. Without a pause, a part whose
    /// replicas all restart at the same time would use up its tries long before they are back.
    pub fn on_failure(&mut self, now: Instant, idx: ServerIdx, failure: ServerFailure) {
        let view = &mut self.views[idx.index()];
        view.failure_weight = view.failure_weight.saturating_add(failure.weight());
        if failure != ServerFailure::ErrorReply {
            let pause = CONNECTION_FAILURE_PAUSE.saturating_mul(
                1 << view
                    .connection_failures
                    .min(CONNECTION_FAILURE_DOUBLINGS_MAX),
            );
            view.connection_failures = view.connection_failures.saturating_add(1);
            view.paused_until = view.paused_until.max(Some(now + pause));
        }
        let failing = view.failure_weight >= self.options.failures_max;
        match self.view(idx).state {
            ServerState::Probing => self.eject(now, idx, ServerEvent::ProbeFailed),
            ServerState::Serving | ServerState::Warming
                if failing && self.is_ejection_allowed(idx) =>
            {
                self.eject(now, idx, ServerEvent::Failing);
            }
            _ => {}
        }
    }

    /// Whether the limit on ejected servers allows another ejection.
    ///
    /// A false signal at every replica, such as a lookup that fails everywhere, would otherwise eject
    /// the complete service; so at most half of its replicas, and never all, are ejected at a time.
    fn is_ejection_allowed(&self, idx: ServerIdx) -> bool {
        let Some(members) = self.indices_by_service.get(&self.view(idx).decl.service) else {
            return false;
        };
        let is_out = |i: &&ServerIdx| {
            matches!(
                self.view(**i).state,
                ServerState::SetAside | ServerState::Probing | ServerState::Draining
            )
        };
        members.iter().filter(is_out).count() < members.len() / 2
    }

    fn eject(&mut self, now: Instant, idx: ServerIdx, event: ServerEvent) {
        let options = &self.options;
        let view = &mut self.views[idx.index()];
        let ejection = options
            .ejection_min
            .saturating_mul(1 << view.consecutive_ejections.min(EJECTION_DOUBLINGS_MAX))
            .min(options.ejection_max);
        view.consecutive_ejections = view.consecutive_ejections.saturating_add(1);
        view.ejected_until = Some(now + ejection);
        self.apply_event(idx, event);
    }

    /// Records that a server shed load and requested a pause.
    pub fn on_shed(&mut self, now: Instant, idx: ServerIdx, retry_after: Duration) {
        let view = &mut self.views[idx.index()];
        let until = now + retry_after.min(SHED_PAUSE_MAX);
        view.paused_until = view.paused_until.max(Some(until));
    }

    /// Sets the snapshots that a server listed as held when it refused an attempt; returns `true` if they
    /// changed.
    pub fn set_held_snapshots(
        &mut self,
        now: Instant,
        idx: ServerIdx,
        holds: &[SnapshotId],
    ) -> bool {
        let until = now + self.options.self_report_lifetime;
        let view = &mut self.views[idx.index()];
        view.self_report_until = Some(until);
        if view
            .snapshots
            .as_ref()
            .is_some_and(|held| held.as_slice() == holds)
        {
            return false;
        }
        view.snapshots = Some(SmallVec::from_slice(holds));
        self.snapshot_changes += 1;
        true
    }

    pub(crate) fn apply_event(&mut self, idx: ServerIdx, event: ServerEvent) {
        let view = &mut self.views[idx.index()];
        let Some(next) = self.chart.next(view.state, event) else {
            return;
        };
        log::info!(
            "event=server-state server={} incarnation={} from={} to={next} by={event}",
            view.decl.name,
            view.incarnation.unwrap_or_default(),
            view.state,
        );
        view.state = next;
    }
}
