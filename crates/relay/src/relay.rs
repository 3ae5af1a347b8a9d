//! The relay: every request of a process, and what they share.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use gs_types::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::action::Action;
use crate::active_request::ActiveRequest;
use crate::attempt::AttemptKey;
use crate::budget::ExtraAttemptBudget;
use crate::connection_shares::ConnectionShares;
use crate::counters::Counters;
use crate::crash_suspects::CrashSuspects;
use crate::delegation::FanOutPlan;
use crate::delegation_times::DelegationTimes;
use crate::event::Event;
use crate::hedge::RouteTimes;
use crate::options::RelayOptions;
use crate::peer_vms::PeerVms;
use crate::process_pause::ProcessPause;
use crate::register_reachability::RegisterReachability;
use crate::round_trips::MinRoundTrips;
use crate::route::Route;
use crate::server::ServerDump;
use crate::servers::ServerKey;
use crate::servers::Servers;
use crate::service::Service;
use crate::table::RouteTable;

/// All requests of one process as a state machine without I/O.
///
/// Feed it every [`Event`] with the time at which it happened and carry out the [`Action`]s in their
/// order. The same events at the same times with the same seed give the same actions.
#[derive(Debug)]
pub struct Relay {
    pub(crate) core: Core,
    pub(crate) requests: HashMap<LookupSeq, Box<ActiveRequest>>,
    /// Requests of which attempts have ended since they were last looked at.
    pub(crate) to_review: BTreeSet<LookupSeq>,
    woken_at: Option<Instant>,
}

/// What all requests share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) options: RelayOptions,
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) servers: Servers,
    pub(crate) services: HashMap<ServiceName, Service>,
    pub(crate) times: HashMap<LookupName, RouteTimes>,
    /// Attempts whose request has ended, with their server and the time at which they began.
    pub(crate) orphans: HashMap<AttemptKey, (ServerKey, Instant, LookupName)>,
    pub(crate) timers: BTreeSet<(Instant, LookupSeq)>,
    /// Requests that crash servers.
    pub(crate) suspects: CrashSuspects,
    /// Whether the register is in reach.
    pub(crate) register_reachability: RegisterReachability,
    /// How far each data centre is.
    pub(crate) round_trips: MinRoundTrips,
    /// How long hand-overs are on their way.
    pub(crate) delegation_times: DelegationTimes,
    /// The VMs that are there.
    pub(crate) peer_vms: PeerVms,
    /// Who shares the connections to servers with this VM.
    pub(crate) connection_shares: ConnectionShares,
    /// Where the fan-outs of each route are run.
    pub(crate) plans: HashMap<LookupName, FanOutPlan>,
    /// Peers that are kept beside the servers.
    pub(crate) peers_known: BTreeSet<ServerName>,
    /// Peers that the plans name.
    pub(crate) peers_wanted: BTreeSet<ServerName>,
    /// Whether something has changed since the plans were made.
    pub(crate) are_plans_stale: bool,
    /// When the plans are made anew, or peers that are away are connected to.
    pub(crate) replan_at: Option<Instant>,
    /// Servers whose entry vanished, with the time at which they count as gone.
    pub(crate) missing: HashMap<ServerName, Instant>,
    /// Servers with a connection freed, or with more reach, since their queue was last looked at.
    pub(crate) freed: Vec<ServiceName>,
    pub(crate) in_flight: usize,
    /// The last time that this process stood still.
    pub(crate) process_pause: Option<ProcessPause>,
    pub(crate) counters: Counters,
    pub(crate) rng: ChaCha8Rng,
}

impl Relay {
    /// Starts without routes and servers.
    #[must_use]
    pub fn new(options: RelayOptions, seed: u64) -> Self {
        Self {
            core: Core {
                options,
                table: None,
                servers: Servers::default(),
                services: HashMap::new(),
                times: HashMap::new(),
                orphans: HashMap::new(),
                timers: BTreeSet::new(),
                suspects: CrashSuspects::default(),
                register_reachability: RegisterReachability::new(),
                round_trips: MinRoundTrips::default(),
                delegation_times: DelegationTimes::default(),
                peer_vms: PeerVms::default(),
                connection_shares: ConnectionShares::default(),
                plans: HashMap::new(),
                peers_known: BTreeSet::new(),
                peers_wanted: BTreeSet::new(),
                are_plans_stale: false,
                replan_at: None,
                missing: HashMap::new(),
                freed: Vec::new(),
                in_flight: 0,
                process_pause: None,
                counters: Counters::default(),
                rng: ChaCha8Rng::seed_from_u64(seed),
            },
            requests: HashMap::new(),
            to_review: BTreeSet::new(),
            woken_at: None,
        }
    }

    /// Takes one event in and appends what has to be done to `out`.
    pub fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Table(table) => self.core.take_table(now, table, out),
            Event::Server(entry) => self.core.register(now, entry, out),
            Event::ServerGone(name) => self.core.on_entry_missing(now, name, out),
            Event::Quarantined(requests) => {
                for request in requests {
                    self.core.suspects.quarantine(now, request);
                }
            }
            Event::RegisterReachable(is_in) => self.core.register_reachability.set(now, is_in),
            Event::Vms(vms) => self.core.on_vms(now, vms, out),
            Event::Opened(name, took) => self.core.opened(&name, took),
            Event::Closed(name) => self.core.closed(now, &name),
            Event::Options(options) => self.core.options = options,
            Event::Arrive(arrival) => {
                if let Some(request) = self.core.on_arrival(now, arrival, out) {
                    self.requests.insert(request.seq, request);
                }
                self.core.in_flight = self.requests.len();
            }
            Event::Ended(id, end) => self.ended(now, id, end, out),
            Event::CallerDisconnected(seq) => self.with(seq, |core, request| {
                core.on_caller_disconnect(now, request, out)
            }),
            Event::CaughtUp => self.finish_done_requests(now, out),
            Event::Tick => self.tick(now, out),
        }
        self.dispatch_waiting(now, out);
        self.wake(now, out);
    }

    /// Running totals.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.core.counters
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// What is known of each server, for dumps.
    #[must_use]
    pub fn servers(&self, now: Instant) -> Vec<ServerDump> {
        self.core.servers.all().map(|v| v.dump(now)).collect()
    }

    /// The version of the routes in force; `None` before the first.
    #[must_use]
    pub fn version(&self) -> Option<ConfVersion> {
        self.core.table.as_ref().map(|t| t.version())
    }

    /// Runs `f` on a request in flight; it tells whether the request has ended.
    pub(crate) fn with(
        &mut self,
        seq: LookupSeq,
        f: impl FnOnce(&mut Core, &mut ActiveRequest) -> bool,
    ) {
        let Some(request) = self.requests.get_mut(&seq) else {
            return;
        };
        if f(&mut self.core, request) {
            self.requests.remove(&seq);
            self.core.in_flight = self.requests.len();
        }
    }

    /// Looks at the requests whose attempts have ended since the last time.
    ///
    /// Guards against a page that leaves with some of the answers that came together: after a stand-still of the
    /// process all are behind their objective, and the first ones would make the page up.
    fn finish_done_requests(&mut self, now: Instant, out: &mut Vec<Action>) {
        for seq in std::mem::take(&mut self.to_review) {
            self.with(seq, |core, request| core.finish_if_done(now, request, out));
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        let asked = self.woken_at.take();
        if let Some(process_pause) = ProcessPause::detect(asked, now) {
            self.postpone(now, process_pause);
        }
        self.core.remove_missing(now, out);
        self.core.rebuild_plans(now, out);
        while let Some((at, seq)) = self.core.timers.first().copied() {
            if at > now {
                break;
            }
            self.core.timers.remove(&(at, seq));
            let mut stalled = None;
            self.with(seq, |core, request| {
                request.timer = None;
                stalled = core.check_attempts(now, request, out);
                core.finish_if_done(now, request, out)
            });
            if let Some(server) = stalled {
                self.hedge_stalled_others(now, server, out);
            }
        }
    }

    /// Puts off what fell due in a stand-still of this process.
    fn postpone(&mut self, now: Instant, process_pause: ProcessPause) {
        self.core.process_pause = Some(process_pause);
        let due = self.core.timers.iter().take_while(|(at, _)| *at <= now);
        let due: Vec<LookupSeq> = due.map(|(_, seq)| *seq).collect();
        for seq in due {
            self.with(seq, |core, request| {
                core.disarm(request);
                let at = process_pause.postpone(now);
                request.timer = Some(at);
                core.timers.insert((at, request.seq));
                false
            });
        }
    }

    /// Hedges the other attempts that wait for a server that was found to have stopped answering.
    ///
    /// A pause holds up everything sent to a server. The first attempt to outlast its delay tells of
    /// it; those sent later would each wait their own delay out in turn.
    fn hedge_stalled_others(&mut self, now: Instant, server: ServerKey, out: &mut Vec<Action>) {
        let Some(view) = self.core.servers.get(server) else {
            return;
        };
        let waiting: Vec<AttemptKey> = view.outstanding.iter().map(|(id, _)| *id).collect();
        for id in waiting {
            self.with(id.lookup, |core, request| {
                core.hedge_stalled(now, request, id.part, server, out);
                false
            });
        }
    }

    fn wake(&mut self, now: Instant, out: &mut Vec<Action>) {
        let first = self.core.timers.first().map(|(at, _)| *at);
        let gone = self.core.missing.values().min().copied();
        let times = [first, gone, self.core.replan_at];
        let Some(at) = times.into_iter().flatten().min() else {
            return;
        };
        if self.woken_at.is_none_or(|woken| at < woken || woken <= now) {
            self.woken_at = Some(at);
            out.push(Action::Wake(at.saturating_duration_since(now)));
        }
    }
}

impl Core {
    /// What the requests for a service share.
    pub(crate) fn service(&mut self, name: &ServiceName) -> &mut Service {
        let o = &self.options;
        let share = o.extra_slack * self.connection_shares.slack_share(name);
        self.services.entry(name.clone()).or_insert_with(|| {
            Service::new(ExtraAttemptBudget::new(
                o.extra_window,
                o.extra_ratio,
                share,
            ))
        })
    }

    /// What is learned of a route's attempts.
    pub(crate) fn times(&mut self, route: &Route) -> &mut RouteTimes {
        let quantile = self.options.hedge_quantile;
        self.times
            .entry(route.name.clone())
            .or_insert_with(|| RouteTimes::new(route.objective, quantile))
    }

    /// Sets the time at which a request is looked at next, if that is sooner than planned.
    pub(crate) fn arm(&mut self, request: &mut ActiveRequest, at: Instant) {
        let at = at.min(request.answer_by);
        if request.timer.is_some_and(|planned| planned <= at) {
            return;
        }
        self.disarm(request);
        request.timer = Some(at);
        self.timers.insert((at, request.seq));
    }

    pub(crate) fn disarm(&mut self, request: &mut ActiveRequest) {
        if let Some(at) = request.timer.take() {
            self.timers.remove(&(at, request.seq));
        }
    }
}
