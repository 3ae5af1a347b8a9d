//! The relay: the state of all requests in flight and the state that they share.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use gs_types::prelude::*;
use gs_types::rate_limit::RateLimit;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::action::Action;
use crate::active_request::ActiveRequest;
use crate::attempt::AttemptKey;
use crate::budget::ExtraAttemptBudget;
use crate::connection_shares::ConnectionShares;
use crate::counters::Counters;
use crate::crash_evidence::FIRST_REPORTS_PER_S_MAX;
use crate::crash_evidence::REPEAT_REPORTS_PER_S_MAX;
use crate::crash_ledger::CrashLedger;
use crate::delegation::FanOutPlan;
use crate::delegation_times::DelegationTimes;
use crate::event::Event;
use crate::executed_log::ExecutedLog;
use crate::hedge::RouteTimes;
use crate::options::RelayOptions;
use crate::orphan::OrphanedAttempt;
use crate::peer_vms::PeerVms;
use crate::process_pause::ProcessPause;
use crate::quarantine::Quarantine;
use crate::register_reachability::RegisterReachability;
use crate::round_trips::MinRoundTrips;
use crate::route::Route;
use crate::server::ServerDump;
use crate::server_ends::LOGGED_ENDS_PER_S_MAX;
use crate::servers::ServerKey;
use crate::servers::Servers;
use crate::service_state::ServiceState;
use crate::slack_share::SlackShare;
use crate::table::RouteTable;
use crate::unanswered::ServerWatch;
use crate::verdicts::VERDICTS_PER_S_MAX;

/// The largest number of crashes logged per second.
const LOGGED_CRASHES_PER_S_MAX: u32 = 10;

/// State machine of all requests of one process, without I/O.
///
/// Pass it every [`Event`] with the time at which it happened and carry out the returned
/// [`Action`]s in order. The same events at the same times with the same seed give the same
/// actions.
#[derive(Debug)]
pub struct Relay {
    pub(crate) core: Core,
    pub(crate) requests: HashMap<LookupSeq, Box<ActiveRequest>>,
    /// Requests with attempts that ended since the last check for completion.
    pub(crate) ended_since_check: BTreeSet<LookupSeq>,
    wake_at: Option<Instant>,
}

/// State shared by all requests.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) options: RelayOptions,
    pub(crate) table: Option<Arc<RouteTable>>,
    pub(crate) servers: Servers,
    pub(crate) services: HashMap<ServiceName, ServiceState>,
    pub(crate) route_times: HashMap<LookupName, RouteTimes>,
    /// Attempts in flight whose request has ended.
    pub(crate) orphaned_attempts: HashMap<AttemptKey, OrphanedAttempt>,
    /// When requests are checked next.
    pub(crate) timers: BTreeSet<(Instant, LookupSeq)>,
    /// Servers that did not answer attempts which they may still run.
    pub(crate) server_watch: ServerWatch,
    /// Limits the log lines on ended servers.
    pub(crate) server_end_log: RateLimit,
    /// Evidence that requests crash servers.
    pub(crate) crash_ledger: CrashLedger,
    /// Requests that were executed lately.
    pub(crate) executed: ExecutedLog,
    /// Requests in quarantine or on probation.
    pub(crate) quarantine: Quarantine,
    /// Requests quarantined during the present event.
    pub(crate) newly_quarantined: Vec<Fingerprint>,
    /// Limits the reports on requests that crashed their first server.
    pub(crate) first_report_limit: RateLimit,
    /// Limits all other reports.
    pub(crate) repeat_report_limit: RateLimit,
    /// Limits the verdicts that are published.
    pub(crate) publish_limit: RateLimit,
    /// Limits the log lines on crashes.
    pub(crate) crash_log: RateLimit,
    /// Whether the register is reachable.
    pub(crate) register_reachability: RegisterReachability,
    /// Least round-trip time to each data centre.
    pub(crate) round_trips: MinRoundTrips,
    /// Mean network time of delegations to the peers of each data centre.
    pub(crate) delegation_times: DelegationTimes,
    /// The announced VMs.
    pub(crate) peer_vms: PeerVms,
    /// Shares of the connections to servers that this VM may hold.
    pub(crate) connection_shares: ConnectionShares,
    /// This VM's share of the slack of a shard's service.
    pub(crate) shard_slack: SlackShare,
    /// This VM's share of the slack of any other service.
    pub(crate) other_slack: SlackShare,
    /// Until when the other VMs are sure to list this one, so that its shares are its own; `None`
    /// before the first list.
    pub(crate) listed_until: Option<Instant>,
    /// When the last list of VMs arrived.
    pub(crate) vms_listed_at: Option<Instant>,
    /// When the list arrived from which the shares of the slack were last computed.
    pub(crate) slack_listed_at: Option<Instant>,
    /// The fan-out plan of each scatter route.
    pub(crate) plans: HashMap<LookupName, FanOutPlan>,
    /// Peers that are registered as servers in `servers`.
    pub(crate) registered_peers: BTreeSet<ServerName>,
    /// Peers that the plans delegate to.
    pub(crate) delegation_peers: BTreeSet<ServerName>,
    /// Whether routes, servers or VMs have changed since the plans were built.
    pub(crate) are_plans_stale: bool,
    /// When the plans are rebuilt, or unconnected peers are connected to.
    pub(crate) rebuild_plans_at: Option<Instant>,
    /// Servers whose register entry is missing, with the time at which they are removed.
    pub(crate) missing_servers: HashMap<ServerName, Instant>,
    /// Services whose queue is to be dispatched: an attempt at one of their servers has ended, or
    /// the connections to one were assigned again.
    pub(crate) services_to_dispatch: Vec<ServiceName>,
    /// Number of requests in flight.
    pub(crate) in_flight: usize,
    /// When every request must have its final response, once the process shuts down.
    pub(crate) shutdown_at: Option<Instant>,
    /// The last pause of this process.
    pub(crate) process_pause: Option<ProcessPause>,
    pub(crate) counters: Counters,
    pub(crate) rng: ChaCha8Rng,
}

impl Relay {
    /// Creates a relay without routes and servers.
    #[must_use]
    pub fn new(options: RelayOptions, seed: u64) -> Self {
        Self {
            core: Core {
                options,
                table: None,
                servers: Servers::default(),
                services: HashMap::new(),
                route_times: HashMap::new(),
                orphaned_attempts: HashMap::new(),
                timers: BTreeSet::new(),
                server_watch: ServerWatch::default(),
                server_end_log: RateLimit::new(LOGGED_ENDS_PER_S_MAX),
                crash_ledger: CrashLedger::default(),
                executed: ExecutedLog::default(),
                quarantine: Quarantine::default(),
                newly_quarantined: Vec::new(),
                first_report_limit: RateLimit::new(FIRST_REPORTS_PER_S_MAX),
                repeat_report_limit: RateLimit::new(REPEAT_REPORTS_PER_S_MAX),
                publish_limit: RateLimit::new(VERDICTS_PER_S_MAX),
                crash_log: RateLimit::new(LOGGED_CRASHES_PER_S_MAX),
                register_reachability: RegisterReachability::new(),
                round_trips: MinRoundTrips::default(),
                delegation_times: DelegationTimes::default(),
                peer_vms: PeerVms::default(),
                connection_shares: ConnectionShares::default(),
                shard_slack: SlackShare::default(),
                other_slack: SlackShare::default(),
                listed_until: None,
                vms_listed_at: None,
                slack_listed_at: None,
                plans: HashMap::new(),
                registered_peers: BTreeSet::new(),
                delegation_peers: BTreeSet::new(),
                are_plans_stale: false,
                rebuild_plans_at: None,
                missing_servers: HashMap::new(),
                services_to_dispatch: Vec::new(),
                in_flight: 0,
                shutdown_at: None,
                process_pause: None,
                counters: Counters::default(),
                rng: ChaCha8Rng::seed_from_u64(seed),
            },
            requests: HashMap::new(),
            ended_since_check: BTreeSet::new(),
            wake_at: None,
        }
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Table(table) => self.core.on_route_table(now, table, out),
            Event::Server(entry) => self.core.on_server_entry(now, entry, out),
            Event::EntryMissing(name) => self.core.on_server_entry_missing(now, name, out),
            Event::EntryRemoved(name, stable_for) => {
                self.core
                    .on_server_entry_removed(now, name, stable_for, out);
            }
            Event::Verdicts(verdicts, origin) => {
                self.core.on_verdicts(now, verdicts, origin, out);
            }
            Event::CrashReported(report) => self.core.on_crash_report(now, report, out),
            Event::RegisterReachable(is_reachable) => self
                .core
                .register_reachability
                .set_reachable(now, is_reachable),
            Event::Vms(vms) => self.core.on_vm_list(now, vms, out),
            Event::Opened(name, took) => self.core.on_connection_opened(now, &name, took),
            Event::Closed(name) => self.core.on_connection_closed(now, &name, out),
            Event::Refused(name) => self.core.on_server_refused(now, &name, out),
            Event::Options(options) => self.core.options = options,
            Event::Arrive(arrival) => {
                if let Some(request) = self.core.on_arrival(now, arrival, out) {
                    self.requests.insert(request.seq, request);
                }
                self.core.in_flight = self.requests.len();
            }
            Event::Ended(id, end) => self.on_ended(now, id, end, out),
            Event::CallerDisconnected(seq) => self.with_request(seq, |core, request| {
                core.on_caller_disconnect(now, request, out)
            }),
            Event::ShutDown(answer_by) => self.on_shut_down(answer_by),
            Event::CaughtUp => self.finish_done_requests(now, out),
            Event::Tick => self.on_tick(now, out),
        }
        self.stop_quarantined(now, out);
        self.dispatch_waiting(now, out);
        self.request_wake_up(now, out);
    }

    /// Returns the running totals.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.core.counters
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the state of each known server, for dumps.
    #[must_use]
    pub fn servers(&self, now: Instant) -> Vec<ServerDump> {
        self.core.servers.all().map(|v| v.dump(now)).collect()
    }

    /// Returns the version of the routes in force; `None` before the first.
    #[must_use]
    pub fn version(&self) -> Option<ConfVersion> {
        self.core.table.as_ref().map(|t| t.version())
    }

    /// Runs `f` on a request in flight and removes the request if `f` returns `true`.
    pub(crate) fn with_request(
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

    /// Finishes the requests that are done, of those whose attempts have ended since the last call.
    ///
    /// It is called once all events that arrived together are processed. After a pause of the
    /// process all requests are past their objective, and a check after each event would return a
    /// page with only some of the answers that arrived together.
    fn finish_done_requests(&mut self, now: Instant, out: &mut Vec<Action>) {
        for seq in std::mem::take(&mut self.ended_since_check) {
            self.with_request(seq, |core, request| core.finish_if_done(now, request, out));
        }
    }

    /// Handles the expired timers.
    fn on_tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        let wake_due = self.wake_at.take();
        if let Some(process_pause) = ProcessPause::detect(wake_due, now) {
            self.postpone_timers(now, process_pause);
        }
        self.core.remove_missing(now, out);
        self.core.rebuild_plans(now, out);
        self.core.repeat_checks(now, out);
        while let Some((at, seq)) = self.core.timers.first().copied() {
            if at > now {
                break;
            }
            self.core.timers.remove(&(at, seq));
            let mut stalled = None;
            self.with_request(seq, |core, request| {
                request.timer = None;
                stalled = core.check_attempts(now, request, out);
                core.finish_if_done(now, request, out)
            });
            if let Some(server) = stalled {
                self.hedge_stalled_others(now, server, out);
            }
        }
    }

    /// Postpones the request timers that expired during a pause of this process.
    fn postpone_timers(&mut self, now: Instant, process_pause: ProcessPause) {
        self.core.process_pause = Some(process_pause);
        let due = self.core.timers.iter().take_while(|(at, _)| *at <= now);
        let due: Vec<LookupSeq> = due.map(|(_, seq)| *seq).collect();
        for seq in due {
            self.with_request(seq, |core, request| {
                core.cancel_check(request);
                let at = process_pause.postpone(now);
                request.timer = Some(at);
                core.timers.insert((at, request.seq));
                false
            });
        }
    }

    /// Hedges the other attempts in flight at a server that has stalled.
    ///
    /// A stall delays everything sent to a server. It is detected by the first attempt that exceeds
    /// its hedge delay; without this, each later attempt would wait for its own delay.
    fn hedge_stalled_others(&mut self, now: Instant, server: ServerKey, out: &mut Vec<Action>) {
        let Some(view) = self.core.servers.get(server) else {
            return;
        };
        let waiting: Vec<AttemptKey> = view.outstanding.iter().map(|(id, _)| *id).collect();
        for id in waiting {
            self.with_request(id.lookup, |core, request| {
                core.hedge_stalled(now, request, id.part, server, out);
                false
            });
        }
    }

    /// Requests a wake-up for the next timer, unless one is due by then.
    fn request_wake_up(&mut self, now: Instant, out: &mut Vec<Action>) {
        let first = self.core.timers.first().map(|(at, _)| *at);
        let removal = self.core.missing_servers.values().min().copied();
        let check = self.core.server_watch.next_check_at();
        let times = [first, removal, self.core.rebuild_plans_at, check];
        let Some(at) = times.into_iter().flatten().min() else {
            return;
        };
        if self
            .wake_at
            .is_none_or(|planned| at < planned || planned <= now)
        {
            self.wake_at = Some(at);
            out.push(Action::Wake(at.saturating_duration_since(now)));
        }
    }
}

impl Core {
    /// Returns the state shared by the requests for a service, which is created on first use.
    pub(crate) fn service_state(&mut self, name: &ServiceName) -> &mut ServiceState {
        let options = &self.options;
        self.services.entry(name.clone()).or_insert_with(|| {
            ServiceState::new(ExtraAttemptBudget::new(
                options.extra_window,
                options.extra_ratio,
                0.0,
            ))
        })
    }

    /// Returns the attempt times of a route, which are created on first use.
    pub(crate) fn route_times(&mut self, route: &Route) -> &mut RouteTimes {
        let quantile = self.options.hedge_quantile;
        self.route_times
            .entry(route.name.clone())
            .or_insert_with(|| RouteTimes::new(route.objective, quantile))
    }

    /// Schedules a check of a request for the given time, or for when its final response must be
    /// sent if that is earlier; a check that is due sooner stays.
    pub(crate) fn schedule_check(&mut self, request: &mut ActiveRequest, at: Instant) {
        let at = at.min(request.answer_by);
        if request.timer.is_some_and(|planned| planned <= at) {
            return;
        }
        self.cancel_check(request);
        request.timer = Some(at);
        self.timers.insert((at, request.seq));
    }

    /// Cancels the scheduled check of a request.
    pub(crate) fn cancel_check(&mut self, request: &mut ActiveRequest) {
        if let Some(at) = request.timer.take() {
            self.timers.remove(&(at, request.seq));
        }
    }
}
