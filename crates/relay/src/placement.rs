//! Which server an attempt goes to.
//!
//! The load it answers: replicas that pause, turn several times slower or are shed by their own
//! queue, while their register entries and health answers stay good. Each candidate is judged by
//! when its answer is expected, from this VM's own attempts and the load told with answers; nothing
//! is polled.

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

/// How much sooner a server in another data centre must be expected to answer, as the bytes of a
/// part from there are paid for.
const REMOTE_HANDICAP: Duration = Duration::from_millis(6);

/// How many times longer a queue takes than the mean of its work says, as others join it elsewhere before
/// their load is told here.
const QUEUE_FACTOR: f64 = 2.0;

/// The most that a server's slowness counts for the outlook of a page: a slow server is passed by, and a page
/// goes out without it.
const SLOWNESS_MAX: f64 = 1.5;

/// The part of the objective in which all that is sent to a server is to be done.
const WINDOW_PART: f64 = 0.6;

/// What is added for a server that does not answer anything at present, the length of a usual pause.
const STALL_COST: Duration = Duration::from_millis(200);

/// What is added for a server that fails every attempt: a retry's time and budget.
const FAILURE_COST: Duration = Duration::from_millis(120);

/// Where an attempt can go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// To this server now, which is expected to answer after this time.
    Now(ServerKey, Duration),
    /// To the first server of the service that has a connection free.
    Wait,
    /// Nowhere before this time, if any is known.
    Nowhere(Option<Instant>),
}

/// What a placement is made from.
pub(crate) struct PlacementContext<'a> {
    pub(crate) now: Instant,
    pub(crate) servers: &'a Servers,
    pub(crate) times: &'a RouteTimes,
    pub(crate) round_trips: &'a MinRoundTrips,
    pub(crate) data_centre: &'a DataCentre,
    /// The most servers that may run a part.
    pub(crate) servers_max: u16,
    /// The time within which an answer is on time.
    pub(crate) objective: Duration,
    /// The VMs that send to the same servers.
    pub(crate) sending_vms: u32,
}

impl PlacementContext<'_> {
    /// Finds the server that is expected to answer first.
    ///
    /// A server that is left to other VMs is asked only if none of this VM's is left, and one that already failed
    /// the part only if no other is.
    pub(crate) fn choose_server(&self, part: &Part) -> Placement {
        let own = self.among(part, |view, tried| view.is_used && tried.is_none());
        if !matches!(own, Placement::Nowhere(_)) {
            return own;
        }
        let fresh = self.among(part, |_, tried| tried.is_none());
        if matches!(fresh, Placement::Nowhere(_)) && !part.attempts.is_empty() {
            return self.among(part, |_, tried| tried.is_some_and(|a| !a.is_live()));
        }
        fresh
    }

    /// Finds a server for a second attempt beside a slow one: untried and free.
    pub(crate) fn choose_hedge_server(&self, part: &Part) -> Option<(ServerKey, Duration)> {
        match self.among(part, |view, tried| view.is_used && tried.is_none()) {
            Placement::Now(key, expected) => Some((key, expected)),
            Placement::Wait | Placement::Nowhere(_) => None,
        }
    }

    /// How long a server is expected to take for an attempt sent now.
    pub(crate) fn expected(&self, view: &ServerView) -> Duration {
        self.expected_behind(view, 0.0)
    }

    /// The same with so many parts before it that wait here for a connection.
    fn expected_behind(&self, view: &ServerView, waiting: f64) -> Duration {
        let work = self.times.work().mul_f64(view.slowness(self.now));
        let rounds = view.rounds(self.now, waiting);
        self.round_trips.round_trip(&view.entry.data_centre) + work.mul_f64(1.0 + rounds)
    }

    /// How long a part is expected to take in all if it is begun now; `None` without a server.
    ///
    /// Unlike a placement it looks beyond this VM's connections, at what waits for them.
    pub(crate) fn expected_part_time(
        &self,
        service: &ServiceName,
        waiting: usize,
    ) -> Option<Duration> {
        let views = self
            .servers
            .of(service)
            .iter()
            .filter_map(|k| self.servers.get(*k));
        let open: SmallVec<[&ServerView; 4]> = views
            .filter(|v| v.is_open() && v.backoff_until(self.now).is_none())
            .collect();
        let each = waiting as f64 / open.len().max(1) as f64;
        let of = |v: &&ServerView| {
            let base = self.round_trips.round_trip(&v.entry.data_centre);
            let work = self
                .times
                .work()
                .mul_f64(v.slowness(self.now).min(SLOWNESS_MAX));
            base + work.mul_f64(1.0 + QUEUE_FACTOR * v.rounds(self.now, each))
        };
        open.iter().map(of).min()
    }

    fn among(
        &self,
        part: &Part,
        wanted: impl Fn(&ServerView, Option<&Attempt>) -> bool,
    ) -> Placement {
        let servers = self.servers.of(&part.service);
        let may_all_have_run = part.possible_servers == PossibleServers::Unknown;
        if may_all_have_run && servers.len() > usize::from(self.servers_max) {
            return Placement::Nowhere(None);
        }
        let ran = Ran::of(part, self.servers);
        let mut best: Option<(ServerKey, Duration, Duration)> = None;
        let mut must_wait = false;
        let mut back_at: Option<Instant> = None;
        for key in servers {
            let Some(view) = self.servers.get(*key).filter(|v| v.is_open()) else {
                continue;
            };
            let tried = part.attempts.iter().rfind(|a| a.server == *key);
            let is_new = !ran.contains(*key, view);
            if !wanted(view, tried) || (is_new && ran.count() >= usize::from(self.servers_max)) {
                continue;
            }
            if let Some(until) = view.backoff_until(self.now) {
                back_at = Some(back_at.map_or(until, |b| b.min(until)));
                continue;
            }
            if !view.has_connection() || view.outstanding.len() >= self.window(view) {
                must_wait = true;
                continue;
            }
            let expected = self.expected(view);
            let cost = expected + self.penalty(view, expected);
            if best.is_none_or(|(_, _, least)| cost < least) {
                best = Some((*key, expected, cost));
            }
        }
        match best {
            Some((key, expected, _)) => Placement::Now(key, expected),
            None if must_wait => Placement::Wait,
            None => Placement::Nowhere(back_at),
        }
    }

    /// The most attempts of this VM under way at a server, such that what all VMs send it is done in time.
    ///
    /// Guards against servers that work through queues of parts whose pages have long gone out: more than
    /// this comes late, and is worked on all the same, while what waits here is let go with its page.
    fn window(&self, view: &ServerView) -> usize {
        let slots = f64::from(view.entry.slots.0.max(1));
        let work = self.times.work().mul_f64(view.slowness(self.now));
        let way = self.round_trips.round_trip(&view.entry.data_centre);
        let time = self.objective.mul_f64(WINDOW_PART) + way;
        let runs = time.as_secs_f64() / work.as_secs_f64().max(1e-4);
        (slots * runs / f64::from(self.sending_vms)).ceil() as usize
    }

    fn penalty(&self, view: &ServerView, expected: Duration) -> Duration {
        let mut cost = FAILURE_COST.mul_f64(view.failing(self.now));
        if view.entry.data_centre != *self.data_centre {
            cost += REMOTE_HANDICAP;
        }
        if stall::is_stalled(self.now, view, expected) {
            cost += STALL_COST;
        }
        cost
    }
}

/// The servers that ran a part or may have, for this VM and for its peers.
///
/// Guards against a part that runs on more servers than its route allows, which shows with three
/// replicas: a peer asked two of them in vain, and this VM, to which it is missing, the third.
struct Ran<'a> {
    here: SmallVec<[ServerKey; 4]>,
    elsewhere: SmallVec<[&'a ServerName; 4]>,
}

impl<'a> Ran<'a> {
    fn of(part: &'a Part, servers: &Servers) -> Self {
        let ran = part.attempts.iter().filter(|a| a.may_have_run());
        let mut here: SmallVec<[ServerKey; 4]> = ran.map(|a| a.server).collect();
        here.sort_unstable();
        here.dedup();
        let is_here = |name: &&ServerName| {
            let key = servers.find(name).map(|(key, _)| key);
            key.is_some_and(|key| here.contains(&key))
        };
        let names = part.possible_servers.servers().iter();
        let elsewhere = names.filter(|name| !is_here(name)).collect();
        Self { here, elsewhere }
    }

    fn count(&self) -> usize {
        self.here.len() + self.elsewhere.len()
    }

    fn contains(&self, key: ServerKey, view: &ServerView) -> bool {
        self.here.contains(&key) || self.elsewhere.contains(&&view.entry.name)
    }
}
