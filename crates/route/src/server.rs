//! One backend server as this VM sees it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::latency::Latency;
use crate::options::RouteOptions;
use crate::policy::Candidate;
use crate::state::ServerState;

/// The time after which a load told by a server says nothing any more.
const LOAD_FRESH: Duration = Duration::from_millis(200);

/// The least warmth of a cold server.
const WARMTH_MIN: f64 = 0.1;

/// How an attempt at a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its connection broke after the point of no return.
    Broken,
    /// It could not be reached.
    Unreached,
    /// It answered with an error or with something garbled.
    Error,
}

impl Failure {
    /// What it counts towards setting the server aside.
    ///
    /// A crash breaks every connection at once and shows at two of them; an error may be the
    /// lookup's own fault, so it takes more of them.
    #[must_use]
    pub fn weight(self) -> u32 {
        match self {
            Self::Broken | Self::Unreached => 2,
            Self::Error => 1,
        }
    }
}

/// Whether a server holds a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holds {
    /// It said so.
    Yes,
    /// It never said what it holds.
    Unknown,
    /// It said that it does not.
    No,
}

/// Whether a server can take an attempt now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchStatus {
    /// It can.
    Free,
    /// All of this VM's share of its connections is in use.
    Busy,
    /// It refused for load and asked for a pause until then, or could not be reached just now.
    Paused(Instant),
    /// It failed too often and rests until then.
    Ejected(Instant),
    /// It is draining.
    Draining,
}

/// One backend server as this VM sees it.
#[derive(Clone, Debug)]
pub struct ServerView {
    pub(crate) decl: Arc<ServerDecl>,
    pub(crate) local: bool,
    pub(crate) state: ServerState,
    pub(crate) incarnation: Option<Incarnation>,
    /// When the run known now was first heard of, if another was known before.
    pub(crate) run_since: Option<Instant>,
    /// The run that a sign without a run was taken for; the same sign told again after a restart
    /// must not drain the new run.
    pub(crate) unnamed_drain: Option<Option<Incarnation>>,
    pub(crate) snapshots: Option<SmallVec<[SnapshotId; 4]>>,
    /// Until when what it said of its snapshots outweighs its health endpoint.
    pub(crate) self_report_until: Option<Instant>,
    pub(crate) share: Connections,
    pub(crate) open: u32,
    pub(crate) in_flight: u32,
    pub(crate) latency: Latency,
    pub(crate) load: u32,
    pub(crate) load_at: Option<Instant>,
    /// The weight of failures in a row.
    pub(crate) failures: u32,
    /// Times in a row that it could not be reached, or broke its connection.
    pub(crate) losses: u32,
    /// Times in a row that it was set aside.
    pub(crate) rests: u32,
    pub(crate) rest_until: Option<Instant>,
    pub(crate) pause_until: Option<Instant>,
    /// Whether its health endpoint did not answer when it was last asked.
    pub(crate) is_silent: bool,
    pub(crate) warming_since: Option<Instant>,
    /// When anything came back from it last.
    pub(crate) heard_at: Option<Instant>,
    /// When it was last found to be lost, or tried since.
    pub(crate) lost_at: Option<Instant>,
}

impl ServerView {
    pub(crate) fn new(decl: Arc<ServerDecl>, local: bool, state: ServerState) -> Self {
        Self {
            decl,
            local,
            state,
            incarnation: None,
            run_since: None,
            unnamed_drain: None,
            snapshots: None,
            self_report_until: None,
            share: Connections(1),
            open: 0,
            in_flight: 0,
            latency: Latency::default(),
            load: 0,
            load_at: None,
            failures: 0,
            losses: 0,
            rests: 0,
            rest_until: None,
            pause_until: None,
            is_silent: false,
            warming_since: None,
            heard_at: None,
            lost_at: None,
        }
    }

    /// The declaration.
    #[must_use]
    pub fn decl(&self) -> &Arc<ServerDecl> {
        &self.decl
    }

    /// Whether it stands in this VM's data centre.
    #[must_use]
    pub fn is_local(&self) -> bool {
        self.local
    }

    /// Its state by the chart.
    #[must_use]
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// The run last heard of.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Attempts of this VM in flight there.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Connections that this VM may hold to it.
    #[must_use]
    pub fn share(&self) -> Connections {
        self.share
    }

    /// The smoothed latency of its parts.
    #[must_use]
    pub fn latency(&self) -> &Latency {
        &self.latency
    }

    /// Whether what came of an attempt handed over at this time speaks of the run known now.
    ///
    /// A reply of the old run may arrive after the new one was heard of; taken for the new run's,
    /// a late drain answer would keep it out of service until yet another restart.
    #[must_use]
    pub fn is_current_incarnation(&self, handed_over: Instant) -> bool {
        self.run_since.is_none_or(|since| handed_over >= since)
    }

    /// Whether it takes no new work.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.state == ServerState::Draining
    }

    /// Whether it holds a snapshot, by its own word.
    #[must_use]
    pub fn holds(&self, id: SnapshotId) -> Holds {
        match &self.snapshots {
            None => Holds::Unknown,
            Some(held) if held.contains(&id) => Holds::Yes,
            Some(_) => Holds::No,
        }
    }

    /// Whether it could answer from a snapshot, now or later: it may hold it and does not drain.
    #[must_use]
    pub fn is_eligible(&self, id: SnapshotId) -> bool {
        !self.is_draining() && self.holds(id) != Holds::No
    }

    /// How far it has warmed up, above 0 and at most 1.
    #[must_use]
    pub fn warmth(&self, now: Instant, options: &RouteOptions) -> f64 {
        match (self.state, self.warming_since) {
            (ServerState::Warming, Some(since)) => {
                let age = now.saturating_duration_since(since).as_secs_f64();
                let whole = options.slow_start.as_secs_f64().max(f64::MIN_POSITIVE);
                (age / whole).clamp(WARMTH_MIN, 1.0)
            }
            _ => 1.0,
        }
    }

    /// Whether it can take an attempt now.
    #[must_use]
    pub fn dispatch_status(&self, now: Instant, options: &RouteOptions) -> DispatchStatus {
        if self.is_draining() {
            return DispatchStatus::Draining;
        }
        if let Some(until) = self.pause_until.filter(|until| *until > now) {
            return DispatchStatus::Paused(until);
        }
        if let Some(until) = self.rest(now, options) {
            return DispatchStatus::Ejected(until);
        }
        if self.in_flight < self.bound(now, options) {
            DispatchStatus::Free
        } else {
            DispatchStatus::Busy
        }
    }

    /// Whether a connection of our share is free, whatever else is known of the server.
    #[must_use]
    pub fn has_free_connection(&self) -> bool {
        !self.is_draining() && self.in_flight < self.share.0
    }

    fn rest(&self, now: Instant, options: &RouteOptions) -> Option<Instant> {
        if self.state != ServerState::SetAside {
            return None;
        }
        let longer = if self.is_silent {
            options.ejection_silent
        } else {
            Duration::ZERO
        };
        self.rest_until
            .map(|until| until + longer)
            .filter(|until| *until > now)
    }

    fn bound(&self, now: Instant, options: &RouteOptions) -> u32 {
        let share = self.share.0;
        match self.state {
            ServerState::SetAside | ServerState::Probing => share.min(1),
            ServerState::Warming => {
                let part = (f64::from(share) * self.warmth(now, options)).ceil();
                // The product is between 0 and `share`, so the cast is exact.
                (part as u32).min(share)
            }
            ServerState::Serving | ServerState::Draining => share,
        }
    }

    /// What a policy is shown of it.
    #[must_use]
    pub fn candidate(
        &self,
        server: crate::ServerIdx,
        now: Instant,
        options: &RouteOptions,
    ) -> Candidate {
        let fresh = |at| now.saturating_duration_since(at) <= LOAD_FRESH;
        let load = if self.load_at.is_some_and(fresh) {
            self.load.saturating_sub(self.in_flight)
        } else {
            0
        };
        Candidate {
            server,
            local: self.local,
            in_flight: self.in_flight,
            slots: self.decl.slots.0.max(1),
            latency: self.latency.aged_micros(now),
            load,
            warmth: self.warmth(now, options),
        }
    }
}
