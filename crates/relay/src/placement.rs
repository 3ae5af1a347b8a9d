//! Chooses the server of an attempt.
//!
//! Replicas stall, become several times slower or shed load from their own queue while their
//! register entries and health checks stay good. Each candidate is therefore rated by its expected
//! response time, from this VM's own attempts and the load reported with answers; nothing is
//! polled.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;
use smallvec::SmallVec;

use crate::active_request::Part;
use crate::attempt::Attempt;
use crate::hedge::RouteTimes;
use crate::possible_servers::PossibleServers;
use crate::round_trips::MinRoundTrips;
use crate::server::ServerView;
use crate::servers::ServerKey;
use crate::servers::Servers;
use crate::stall;

/// How much sooner a server in another data centre must be expected to answer, because traffic
/// between data centres costs money.
const REMOTE_PENALTY: Duration = Duration::from_millis(6);

/// Ratio of the actual to the computed time in a server's queue: other VMs add to it before their
/// load is reported here.
const QUEUE_FACTOR: f64 = 2.0;

/// Upper bound of a server's slowness in the expected time of a part: a slow server is avoided, and
/// a page is returned without it.
const SLOWNESS_MAX: f64 = 1.5;

/// Fraction of the objective within which all attempts sent to a server are to be executed.
const IN_FLIGHT_EXECUTION_FRACTION: f64 = 0.6;

/// Added to the expected time of a server that has stalled: the length of a usual stall.
const STALL_PENALTY: Duration = Duration::from_millis(200);

/// Added to the expected time of a server that fails every attempt: the time of a retry and its
/// share of the budget.
const FAILURE_PENALTY: Duration = Duration::from_millis(120);

/// Where an attempt can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// To this server now, which is expected to answer after this time.
    Now(ServerKey, Duration),
    /// To the first suitable server that has a free connection and is below its in-flight limit.
    Wait,
    /// To no server; the time is that at which the next one becomes available, if known.
    Unavailable(Option<Instant>),
}

/// Input of a placement.
pub(crate) struct PlacementContext<'a> {
    pub(crate) now: Instant,
    pub(crate) servers: &'a Servers,
    pub(crate) route_times: &'a RouteTimes,
    pub(crate) round_trips: &'a MinRoundTrips,
    pub(crate) data_centre: &'a DataCentre,
    /// The most servers that may execute a part.
    pub(crate) servers_max: u16,
    /// The time within which an answer is on time.
    pub(crate) objective: Duration,
    /// The number of VMs that send to the same servers.
    pub(crate) sending_vms: u32,
}

impl PlacementContext<'_> {
    /// Chooses the server with the lowest expected response time, penalties included.
    ///
    /// A server outside this VM's subset is chosen only if none of the subset is available, and a
    /// server that has already failed the part only if there is no other.
    pub(crate) fn choose_server(&self, part: &Part) -> Placement {
        let own = self.choose_among(part, |view, tried| view.is_in_subset && tried.is_none());
        if !matches!(own, Placement::Unavailable(_)) {
            return own;
        }
        let fresh = self.choose_among(part, |_, tried| tried.is_none());
        if matches!(fresh, Placement::Unavailable(_)) && !part.attempts.is_empty() {
            return self.choose_among(part, |_, tried| tried.is_some_and(|a| !a.is_in_flight()));
        }
        fresh
    }

    /// Chooses a server for a hedged attempt: one that is in this VM's subset, untried and free.
    pub(crate) fn choose_hedge_server(&self, part: &Part) -> Option<(ServerKey, Duration)> {
        match self.choose_among(part, |view, tried| view.is_in_subset && tried.is_none()) {
            Placement::Now(key, expected) => Some((key, expected)),
            Placement::Wait | Placement::Unavailable(_) => None,
        }
    }

    /// Returns the expected response time of an attempt sent to a server now.
    pub(crate) fn expected_time(&self, view: &ServerView) -> Duration {
        self.expected_time_behind(view, 0.0)
    }

    /// Returns the same with the given number of parts ahead that wait here for a connection.
    fn expected_time_behind(&self, view: &ServerView, waiting: f64) -> Duration {
        let execution_time = self
            .route_times
            .execution_time()
            .mul_f64(view.slowness(self.now));
        let rounds = view.rounds_ahead(self.now, waiting);
        self.round_trips.round_trip(&view.entry.data_centre) + execution_time.mul_f64(1.0 + rounds)
    }

    /// Returns the expected time of a part that is started now, queues included; `None` without an
    /// available server.
    ///
    /// Unlike [`Self::choose_server`], it includes servers without a free connection, and counts
    /// the parts that wait for one.
    pub(crate) fn expected_part_time(
        &self,
        service: &ServiceName,
        waiting: usize,
    ) -> Option<Duration> {
        let views = self
            .servers
            .of_service(service)
            .iter()
            .filter_map(|k| self.servers.get(*k));
        let available: SmallVec<[&ServerView; 4]> = views
            .filter(|v| v.accepts_work() && v.backoff_until(self.now).is_none())
            .collect();
        let waiting_each = waiting as f64 / available.len().max(1) as f64;
        let time_at = |v: &&ServerView| {
            let base = self.round_trips.round_trip(&v.entry.data_centre);
            let execution_time = self
                .route_times
                .execution_time()
                .mul_f64(v.slowness(self.now).min(SLOWNESS_MAX));
            base + execution_time
                .mul_f64(1.0 + QUEUE_FACTOR * v.rounds_ahead(self.now, waiting_each))
        };
        available.iter().map(time_at).min()
    }

    /// Chooses the server with the lowest expected response time, penalties included, among those
    /// that `wanted` accepts; it is passed the last attempt of the part at the server, if any.
    fn choose_among(
        &self,
        part: &Part,
        wanted: impl Fn(&ServerView, Option<&Attempt>) -> bool,
    ) -> Placement {
        let servers = self.servers.of_service(&part.service);
        let may_all_have_run = part.possible_servers == PossibleServers::Unknown;
        if may_all_have_run && servers.len() > usize::from(self.servers_max) {
            return Placement::Unavailable(None);
        }
        let possible = AllPossibleServers::of(part, self.servers);
        let mut best: Option<(ServerKey, Duration, Duration)> = None;
        let mut must_wait = false;
        let mut retry_at: Option<Instant> = None;
        for key in servers {
            let Some(view) = self.servers.get(*key).filter(|v| v.accepts_work()) else {
                continue;
            };
            let tried = part.attempts.iter().rfind(|a| a.server == *key);
            let is_new = !possible.contains(*key, view);
            if !wanted(view, tried) || (is_new && possible.count() >= usize::from(self.servers_max))
            {
                continue;
            }
            if let Some(backoff_end) = view.backoff_until(self.now) {
                retry_at = Some(retry_at.map_or(backoff_end, |b| b.min(backoff_end)));
                continue;
            }
            if !view.has_free_connection() || view.outstanding.len() >= self.in_flight_limit(view) {
                must_wait = true;
                continue;
            }
            let expected = self.expected_time(view);
            let cost = expected + self.penalty(view, expected);
            if best.is_none_or(|(_, _, cost_min)| cost < cost_min) {
                best = Some((*key, expected, cost));
            }
        }
        match best {
            Some((key, expected, _)) => Placement::Now(key, expected),
            None if must_wait => Placement::Wait,
            None => Placement::Unavailable(retry_at),
        }
    }

    /// Returns the most attempts that this VM may have in flight at a server, such that the
    /// attempts of all VMs are executed in time.
    ///
    /// This prevents servers from working through queues of parts whose pages have already been
    /// returned: attempts beyond this limit would be executed although they are late, while a part
    /// that waits here is released together with its page.
    fn in_flight_limit(&self, view: &ServerView) -> usize {
        let slots = f64::from(view.entry.slots.0.max(1));
        let execution_time = self
            .route_times
            .execution_time()
            .mul_f64(view.slowness(self.now));
        let round_trip = self.round_trips.round_trip(&view.entry.data_centre);
        let time = self.objective.mul_f64(IN_FLIGHT_EXECUTION_FRACTION) + round_trip;
        let rounds = time.as_secs_f64() / execution_time.as_secs_f64().max(1e-4);
        (slots * rounds / f64::from(self.sending_vms)).ceil() as usize
    }

    /// Returns the time added to the expected response time of a server that is remote, failing or
    /// stalled.
    fn penalty(&self, view: &ServerView, expected: Duration) -> Duration {
        let mut cost = FAILURE_PENALTY.mul_f64(view.failure_rate(self.now));
        if view.entry.data_centre != *self.data_centre {
            cost += REMOTE_PENALTY;
        }
        if stall::is_stalled(self.now, view, expected) {
            cost += STALL_PENALTY;
        }
        cost
    }
}

/// The servers that may have executed a part, for this VM or for its peers.
///
/// It prevents a part from being executed by more servers than its route allows. With three
/// replicas, a peer may query two of them without success and report the part as missing, and this
/// VM would then query the third.
struct AllPossibleServers<'a> {
    own: SmallVec<[ServerKey; 4]>,
    by_peers: SmallVec<[&'a ServerName; 4]>,
}

impl<'a> AllPossibleServers<'a> {
    fn of(part: &'a Part, servers: &Servers) -> Self {
        let may_have_run = part.attempts.iter().filter(|a| a.may_have_run());
        let mut own: SmallVec<[ServerKey; 4]> = may_have_run.map(|a| a.server).collect();
        own.sort_unstable();
        own.dedup();
        let is_own = |name: &&ServerName| {
            let key = servers.find_by_name(name).map(|(key, _)| key);
            key.is_some_and(|key| own.contains(&key))
        };
        let names = part.possible_servers.servers().iter();
        let by_peers = names.filter(|name| !is_own(name)).collect();
        Self { own, by_peers }
    }

    fn count(&self) -> usize {
        self.own.len() + self.by_peers.len()
    }

    fn contains(&self, key: ServerKey, view: &ServerView) -> bool {
        self.own.contains(&key) || self.by_peers.contains(&&view.entry.name)
    }
}
