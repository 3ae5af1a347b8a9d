//! The state of one backend server as seen by this VM.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::latency::SmoothedLatency;
use crate::options::RouteOptions;
use crate::policy::Candidate;
use crate::state::ServerState;

/// The age above which a load reported by a server is ignored.
const LOAD_MAX_AGE: Duration = Duration::from_millis(200);

/// The slow start progress of a cold server at its start.
const SLOW_START_PROGRESS_MIN: f64 = 0.1;

/// How an attempt at a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFailure {
    /// Its connection broke after the attempt was reported as sent, which happens just before the
    /// first byte; a connection that was closed while idle counts too.
    ConnectionBroken,
    /// It was unreachable.
    Unreachable,
    /// It answered with an error or a malformed reply.
    ErrorReply,
}

impl ServerFailure {
    /// Returns the weight of the failure towards the ejection of the server.
    ///
    /// A crash breaks all connections at once, so two of them suffice; an error may be caused by the
    /// lookup itself, so more of them are needed.
    #[must_use]
    pub fn weight(self) -> u32 {
        match self {
            Self::ConnectionBroken | Self::Unreachable => 2,
            Self::ErrorReply => 1,
        }
    }
}

/// Whether a server holds a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotHolding {
    /// It reported that it does.
    Yes,
    /// It never reported what it holds.
    Unknown,
    /// It reported that it does not.
    No,
}

/// Whether an attempt can be dispatched to a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchStatus {
    /// A connection is free.
    Free,
    /// All connections of this VM's share are in use.
    Busy,
    /// It shed load and requested a pause until then, or was recently unreachable or broke a
    /// connection.
    Paused(Instant),
    /// It failed too often and is ejected until then.
    Ejected(Instant),
    /// It is draining.
    Draining,
}

/// The state of one backend server as seen by this VM.
#[derive(Clone, Debug)]
pub struct ServerView {
    pub(crate) decl: Arc<ServerDecl>,
    pub(crate) is_local: bool,
    pub(crate) state: ServerState,
    pub(crate) incarnation: Option<Incarnation>,
    /// When the current incarnation was first known, if another was known before.
    pub(crate) incarnation_since: Option<Instant>,
    /// The incarnation that a drain notice without an incarnation was applied to; the same notice
    /// repeated after a restart must not drain the new incarnation.
    pub(crate) unspecified_drain: Option<Option<Incarnation>>,
    pub(crate) snapshots: Option<SmallVec<[SnapshotId; 4]>>,
    /// Until when the snapshots that it reported in a reply take precedence over its health endpoint.
    pub(crate) self_report_until: Option<Instant>,
    pub(crate) connection_share: Connections,
    pub(crate) open_connections: u32,
    pub(crate) in_flight: u32,
    pub(crate) latency: SmoothedLatency,
    pub(crate) load: u32,
    pub(crate) load_reported_at: Option<Instant>,
    /// The weight of consecutive failures.
    pub(crate) failure_weight: u32,
    /// How many consecutive times it was unreachable or broke a connection.
    pub(crate) connection_failures: u32,
    /// How many consecutive times it was ejected.
    pub(crate) consecutive_ejections: u32,
    pub(crate) ejected_until: Option<Instant>,
    pub(crate) paused_until: Option<Instant>,
    /// Whether its health endpoint did not answer the last query.
    pub(crate) is_silent: bool,
    pub(crate) slow_start_since: Option<Instant>,
    /// When a reply last arrived from it.
    pub(crate) last_contact: Option<Instant>,
    /// When it was last found to be lost, or an attempt was dispatched to it since.
    pub(crate) lost_at: Option<Instant>,
}

impl ServerView {
    pub(crate) fn new(decl: Arc<ServerDecl>, is_local: bool, state: ServerState) -> Self {
        Self {
            decl,
            is_local,
            state,
            incarnation: None,
            incarnation_since: None,
            unspecified_drain: None,
            snapshots: None,
            self_report_until: None,
            connection_share: Connections(1),
            open_connections: 0,
            in_flight: 0,
            latency: SmoothedLatency::default(),
            load: 0,
            load_reported_at: None,
            failure_weight: 0,
            connection_failures: 0,
            consecutive_ejections: 0,
            ejected_until: None,
            paused_until: None,
            is_silent: false,
            slow_start_since: None,
            last_contact: None,
            lost_at: None,
        }
    }

    /// Returns the declaration.
    #[must_use]
    pub fn decl(&self) -> &Arc<ServerDecl> {
        &self.decl
    }

    /// Whether it is in this VM's data centre.
    #[must_use]
    pub fn is_local(&self) -> bool {
        self.is_local
    }

    /// Returns its state, as defined by `charts/server.toml`.
    #[must_use]
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// Returns the newest known incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Whether a connection of this VM to it is open.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.open_connections > 0
    }

    /// Whether its health endpoint did not answer the last query.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Returns the number of attempts of this VM in flight at it.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the connections that this VM may open to it.
    #[must_use]
    pub fn connection_share(&self) -> Connections {
        self.connection_share
    }

    /// Returns the smoothed latency of its parts.
    #[must_use]
    pub fn latency(&self) -> &SmoothedLatency {
        &self.latency
    }

    /// Whether the result of an attempt dispatched at this time applies to the current incarnation.
    ///
    /// A reply of the old incarnation may arrive after the new one is known. If a late drain reply
    /// were applied to the new incarnation, it would stay out of service until another restart.
    #[must_use]
    pub fn is_current_incarnation(&self, dispatched_at: Instant) -> bool {
        self.incarnation_since
            .is_none_or(|since| dispatched_at >= since)
    }

    /// Whether it accepts no new work.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.state == ServerState::Draining
    }

    /// Whether it holds a snapshot, as reported by itself.
    #[must_use]
    pub fn snapshot_holding(&self, id: SnapshotId) -> SnapshotHolding {
        match &self.snapshots {
            None => SnapshotHolding::Unknown,
            Some(held) if held.contains(&id) => SnapshotHolding::Yes,
            Some(_) => SnapshotHolding::No,
        }
    }

    /// Whether it may answer from a snapshot now or later: it may hold it and is not draining.
    #[must_use]
    pub fn is_eligible(&self, id: SnapshotId) -> bool {
        !self.is_draining() && self.snapshot_holding(id) != SnapshotHolding::No
    }

    /// Returns the progress of its slow start, above 0 and at most 1.
    #[must_use]
    pub fn slow_start_progress(&self, now: Instant, options: &RouteOptions) -> f64 {
        match (self.state, self.slow_start_since) {
            (ServerState::Warming, Some(since)) => {
                let age = now.saturating_duration_since(since).as_secs_f64();
                let total = options.slow_start.as_secs_f64().max(f64::MIN_POSITIVE);
                (age / total).clamp(SLOW_START_PROGRESS_MIN, 1.0)
            }
            _ => 1.0,
        }
    }

    /// Returns whether an attempt can be dispatched to it now.
    #[must_use]
    pub fn dispatch_status(&self, now: Instant, options: &RouteOptions) -> DispatchStatus {
        if self.is_draining() {
            return DispatchStatus::Draining;
        }
        if let Some(until) = self.paused_until.filter(|until| *until > now) {
            return DispatchStatus::Paused(until);
        }
        if let Some(until) = self.ejection_end(now, options) {
            return DispatchStatus::Ejected(until);
        }
        if self.in_flight < self.in_flight_max(now, options) {
            DispatchStatus::Free
        } else {
            DispatchStatus::Busy
        }
    }

    /// Whether it is not draining and a connection of this VM's share is free, regardless of ejection
    /// and pauses.
    #[must_use]
    pub fn has_free_connection(&self) -> bool {
        !self.is_draining() && self.in_flight < self.connection_share.0
    }

    fn ejection_end(&self, now: Instant, options: &RouteOptions) -> Option<Instant> {
        if self.state != ServerState::SetAside {
            return None;
        }
        let longer = if self.is_silent {
            options.ejection_silent
        } else {
            Duration::ZERO
        };
        self.ejected_until
            .map(|until| until + longer)
            .filter(|until| *until > now)
    }

    fn in_flight_max(&self, now: Instant, options: &RouteOptions) -> u32 {
        let share = self.connection_share.0;
        match self.state {
            ServerState::SetAside | ServerState::Probing => share.min(1),
            ServerState::Warming => {
                let scaled = (f64::from(share) * self.slow_start_progress(now, options)).ceil();
                // The product is between 0 and `share`, so the cast is exact.
                (scaled as u32).min(share)
            }
            ServerState::Serving | ServerState::Draining => share,
        }
    }

    /// Returns the view of it that a replica policy gets.
    #[must_use]
    pub fn candidate(
        &self,
        server: crate::ServerIdx,
        now: Instant,
        options: &RouteOptions,
    ) -> Candidate {
        let fresh = |at| now.saturating_duration_since(at) <= LOAD_MAX_AGE;
        let load = if self.load_reported_at.is_some_and(fresh) {
            self.load.saturating_sub(self.in_flight)
        } else {
            0
        };
        Candidate {
            server,
            is_local: self.is_local,
            in_flight: self.in_flight,
            slots: self.decl.slots.0.max(1),
            latency: self.latency.aged_micros(now),
            load,
            slow_start_progress: self.slow_start_progress(now, options),
        }
    }
}
