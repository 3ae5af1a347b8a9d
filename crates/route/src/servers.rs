//! Every backend server, and what changes the view of one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_chart::Chart;
use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::early::Early;
use crate::options::RouteOptions;
use crate::server::DispatchStatus;
use crate::server::Failure;
use crate::server::ServerView;
use crate::state;
use crate::state::ServerEvent;
use crate::state::ServerState;

/// The longest pause that a server may ask for.
const SHED_MAX: Duration = Duration::from_secs(5);

/// The pause after a server could not be reached; doubled with each time in a row.
const LOSS_PAUSE: Duration = Duration::from_millis(20);

/// The most doublings of that pause.
const LOSS_DOUBLINGS: u32 = 4;

/// The most doublings of a rest, so that the shift stays within its type; the options bound the rest.
const REST_DOUBLINGS: u32 = 16;

/// The place of a server in [`Servers`]; stays the same for the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerIdx(u32);

impl ServerIdx {
    /// The place as a number, from 0 without gaps.
    #[must_use]
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// The views of all backend servers.
#[derive(Debug)]
pub struct Servers {
    pub(crate) list: Vec<ServerView>,
    names: BTreeMap<ServerName, ServerIdx>,
    services: BTreeMap<ServiceName, SmallVec<[ServerIdx; 4]>>,
    pub(crate) early: BTreeMap<ServerName, Early>,
    /// Counts changes of what can be pinned: snapshots held and drains.
    pub(crate) changes: u64,
    data_centre: DataCentre,
    chart: Chart<ServerState, ServerEvent>,
    options: RouteOptions,
}

impl Servers {
    /// Starts without servers.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if the embedded chart is broken.
    pub fn new(data_centre: DataCentre, options: RouteOptions) -> Result<Self> {
        Ok(Self {
            list: Vec::new(),
            names: BTreeMap::new(),
            services: BTreeMap::new(),
            early: BTreeMap::new(),
            changes: 0,
            data_centre,
            chart: state::chart()?,
            options,
        })
    }

    /// Takes a declaration in; a server of that name keeps its view.
    pub fn declare(&mut self, decl: &Arc<ServerDecl>) -> ServerIdx {
        let local = decl.data_centre == self.data_centre;
        let idx = match self.names.get(&decl.name) {
            Some(idx) => *idx,
            None => self.add(decl, local),
        };
        let view = &mut self.list[idx.index()];
        if view.decl.service != decl.service
            && let Some(old) = self.services.get_mut(&view.decl.service)
        {
            old.retain(|i| *i != idx);
        }
        view.decl = Arc::clone(decl);
        view.local = local;
        let members = self.services.entry(decl.service.clone()).or_default();
        if !members.contains(&idx) {
            members.push(idx);
        }
        idx
    }

    fn add(&mut self, decl: &Arc<ServerDecl>, local: bool) -> ServerIdx {
        // A group map is at most a megabyte, so there are far fewer than 2^32 servers.
        let idx = ServerIdx(self.list.len() as u32);
        let view = ServerView::new(Arc::clone(decl), local, self.chart.initial());
        self.list.push(view);
        self.names.insert(decl.name.clone(), idx);
        self.changes += 1;
        if let Some(early) = self.early.remove(&decl.name) {
            self.take_early(idx, early);
        }
        idx
    }

    /// The place of a server; `None` if it was never declared.
    #[must_use]
    pub fn find(&self, name: &ServerName) -> Option<ServerIdx> {
        self.names.get(name).copied()
    }

    /// The view of a server.
    #[must_use]
    pub fn view(&self, idx: ServerIdx) -> &ServerView {
        &self.list[idx.index()]
    }

    /// All servers in the order of their names.
    pub fn by_name(&self) -> impl Iterator<Item = (ServerIdx, &ServerView)> {
        self.names.values().map(|idx| (*idx, self.view(*idx)))
    }

    /// How many servers there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.list.len()
    }

    /// Counts changes of what can be pinned.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The settings.
    #[must_use]
    pub fn options(&self) -> &RouteOptions {
        &self.options
    }

    /// Whether a server can take an attempt now.
    #[must_use]
    pub fn dispatch_status(&self, now: Instant, idx: ServerIdx) -> DispatchStatus {
        self.view(idx).dispatch_status(now, &self.options)
    }

    /// Sets how many connections this VM may hold to a server.
    pub fn set_share(&mut self, idx: ServerIdx, share: Connections) {
        self.list[idx.index()].share = share;
    }

    /// Counts a connection that opened or closed.
    pub fn on_connection_change(&mut self, idx: ServerIdx, opened: bool) {
        let view = &mut self.list[idx.index()];
        view.open = if opened {
            view.open.saturating_add(1)
        } else {
            view.open.saturating_sub(1)
        };
    }

    /// An attempt was handed over; it holds a connection until [`Servers::released`].
    pub fn dispatched(&mut self, now: Instant, idx: ServerIdx) {
        let warm = self.view(idx).warmth(now, &self.options) >= 1.0;
        let view = &mut self.list[idx.index()];
        view.in_flight += 1;
        // One attempt at a lost server shows whether it is back; others would wait with it.
        view.lost_at = view.lost_at.map(|_| now);
        match view.state {
            ServerState::SetAside => self.step(idx, ServerEvent::RestOver),
            ServerState::Warming if warm => self.step(idx, ServerEvent::Warmed),
            _ => {}
        }
    }

    /// An attempt's connection is free again, or closed.
    pub fn released(&mut self, idx: ServerIdx) {
        let view = &mut self.list[idx.index()];
        view.in_flight = view.in_flight.saturating_sub(1);
    }

    /// A part came back whole from a server, with the load it told.
    pub fn succeeded(&mut self, now: Instant, idx: ServerIdx, load: u32) {
        let view = &mut self.list[idx.index()];
        view.failures = 0;
        view.losses = 0;
        view.rests = 0;
        view.load = load;
        view.load_at = Some(now);
        if view.state == ServerState::Probing {
            view.warming_since = Some(now);
            self.step(idx, ServerEvent::ProbeOk);
        }
    }

    /// An attempt that was sent took this long, or was given up after it.
    pub fn record_latency(&mut self, now: Instant, idx: ServerIdx, latency: Duration) {
        self.list[idx.index()].latency.add(now, latency);
    }

    /// An attempt at a server failed.
    ///
    /// One that cannot be reached refuses within a millisecond. Without a pause, a part whose
    /// replicas all restart at the same time would use up its tries long before they are back.
    pub fn failed(&mut self, now: Instant, idx: ServerIdx, failure: Failure) {
        let view = &mut self.list[idx.index()];
        view.failures = view.failures.saturating_add(failure.weight());
        if failure != Failure::Error {
            let pause = LOSS_PAUSE.saturating_mul(1 << view.losses.min(LOSS_DOUBLINGS));
            view.losses = view.losses.saturating_add(1);
            view.pause_until = view.pause_until.max(Some(now + pause));
        }
        let failing = view.failures >= self.options.failures_max;
        match self.view(idx).state {
            ServerState::Probing => self.set_aside(now, idx, ServerEvent::ProbeFailed),
            ServerState::Serving | ServerState::Warming if failing && self.may_set_aside(idx) => {
                self.set_aside(now, idx, ServerEvent::Failing);
            }
            _ => {}
        }
    }

    /// Whether the cap leaves room to set a server aside.
    ///
    /// A wrong signal that hits every replica, such as a lookup that fails everywhere, would else
    /// empty the service; so at most half of its replicas, and never all, rest at a time.
    fn may_set_aside(&self, idx: ServerIdx) -> bool {
        let Some(members) = self.services.get(&self.view(idx).decl.service) else {
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

    fn set_aside(&mut self, now: Instant, idx: ServerIdx, event: ServerEvent) {
        let options = &self.options;
        let view = &mut self.list[idx.index()];
        let rest = options
            .ejection_min
            .saturating_mul(1 << view.rests.min(REST_DOUBLINGS))
            .min(options.ejection_max);
        view.rests = view.rests.saturating_add(1);
        view.rest_until = Some(now + rest);
        self.step(idx, event);
    }

    /// A server refused for load and asks for a pause.
    pub fn shed(&mut self, now: Instant, idx: ServerIdx, retry_after: Duration) {
        let view = &mut self.list[idx.index()];
        let until = now + retry_after.min(SHED_MAX);
        view.pause_until = view.pause_until.max(Some(until));
    }

    /// A server said itself which snapshots it holds, with a refusal; `true` if that is new.
    pub fn set_held_snapshots(
        &mut self,
        now: Instant,
        idx: ServerIdx,
        holds: &[SnapshotId],
    ) -> bool {
        let until = now + self.options.self_report;
        let view = &mut self.list[idx.index()];
        view.self_report_until = Some(until);
        if view
            .snapshots
            .as_ref()
            .is_some_and(|held| held.as_slice() == holds)
        {
            return false;
        }
        view.snapshots = Some(SmallVec::from_slice(holds));
        self.changes += 1;
        true
    }

    pub(crate) fn step(&mut self, idx: ServerIdx, event: ServerEvent) {
        let view = &mut self.list[idx.index()];
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
