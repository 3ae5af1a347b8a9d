//! The relay: every request of a process, and what they share.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use gs_types::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::action::Action;
use crate::attempt::RunId;
use crate::budget::ExtraWindow;
use crate::counters::Counters;
use crate::event::Event;
use crate::handover::Plan;
use crate::hedge::RouteTimes;
use crate::options::RelayOptions;
use crate::reach::Reach;
use crate::roster::Roster;
use crate::route::Route;
use crate::run::Run;
use crate::server::ServerDump;
use crate::servers::ServerKey;
use crate::servers::Servers;
use crate::service::Service;
use crate::sharing::Sharing;
use crate::standstill::Standstill;
use crate::suspects::Suspects;
use crate::table::RouteTable;
use crate::transit::Transits;
use crate::ways::Ways;

/// All requests of one process as a state machine without I/O.
///
/// Feed it every [`Event`] with the time at which it happened and carry out the [`Action`]s in their
/// order. The same events at the same times with the same seed give the same actions.
#[derive(Debug)]
pub struct Relay {
    pub(crate) core: Core,
    pub(crate) runs: HashMap<LookupSeq, Box<Run>>,
    /// Requests of which attempts have ended since they were last looked at.
    pub(crate) unsettled: BTreeSet<LookupSeq>,
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
    pub(crate) orphans: HashMap<RunId, (ServerKey, Instant, LookupName)>,
    pub(crate) timers: BTreeSet<(Instant, LookupSeq)>,
    /// Requests that crash servers.
    pub(crate) suspects: Suspects,
    /// Whether the register is in reach.
    pub(crate) reach: Reach,
    /// How far each data centre is.
    pub(crate) ways: Ways,
    /// How long hand-overs are on their way.
    pub(crate) transits: Transits,
    /// The VMs that are there.
    pub(crate) roster: Roster,
    /// Who shares the connections to servers with this VM.
    pub(crate) sharing: Sharing,
    /// Where the fan-outs of each route are run.
    pub(crate) plans: HashMap<LookupName, Plan>,
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
    pub(crate) standstill: Option<Standstill>,
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
                suspects: Suspects::default(),
                reach: Reach::new(),
                ways: Ways::default(),
                transits: Transits::default(),
                roster: Roster::default(),
                sharing: Sharing::default(),
                plans: HashMap::new(),
                peers_known: BTreeSet::new(),
                peers_wanted: BTreeSet::new(),
                are_plans_stale: false,
                replan_at: None,
                missing: HashMap::new(),
                freed: Vec::new(),
                in_flight: 0,
                standstill: None,
                counters: Counters::default(),
                rng: ChaCha8Rng::seed_from_u64(seed),
            },
            runs: HashMap::new(),
            unsettled: BTreeSet::new(),
            woken_at: None,
        }
    }

    /// Takes one event in and appends what has to be done to `out`.
    pub fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Table(table) => self.core.take_table(now, table, out),
            Event::Server(entry) => self.core.register(now, entry, out),
            Event::ServerGone(name) => self.core.missing(now, name, out),
            Event::Quarantined(requests) => {
                for request in requests {
                    self.core.suspects.refuse(now, request);
                }
            }
            Event::Reach(is_in) => self.core.reach.set(now, is_in),
            Event::Roster(vms) => self.core.take_roster(now, vms, out),
            Event::Opened(name, took) => self.core.opened(&name, took),
            Event::Closed(name) => self.core.closed(now, &name),
            Event::Options(options) => self.core.options = options,
            Event::Arrive(arrival) => {
                if let Some(run) = self.core.arrive(now, arrival, out) {
                    self.runs.insert(run.seq, run);
                }
                self.core.in_flight = self.runs.len();
            }
            Event::Ended(id, end) => self.ended(now, id, end, out),
            Event::Gone(seq) => self.with(seq, |core, run| core.caller_gone(now, run, out)),
            Event::CaughtUp => self.settle_all(now, out),
            Event::Tick => self.tick(now, out),
        }
        self.serve_queues(now, out);
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
        self.runs.len()
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
    pub(crate) fn with(&mut self, seq: LookupSeq, f: impl FnOnce(&mut Core, &mut Run) -> bool) {
        let Some(run) = self.runs.get_mut(&seq) else {
            return;
        };
        if f(&mut self.core, run) {
            self.runs.remove(&seq);
            self.core.in_flight = self.runs.len();
        }
    }

    /// Looks at the requests whose attempts have ended since the last time.
    ///
    /// Guards against a page that leaves with some of the answers that came together: after a stand-still of the
    /// process all are behind their objective, and the first ones would make the page up.
    fn settle_all(&mut self, now: Instant, out: &mut Vec<Action>) {
        for seq in std::mem::take(&mut self.unsettled) {
            self.with(seq, |core, run| core.settle(now, run, out));
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        let asked = self.woken_at.take();
        if let Some(standstill) = Standstill::shown_by(asked, now) {
            self.put_off(now, standstill);
        }
        self.core.drop_missing(now, out);
        self.core.replan(now, out);
        while let Some((at, seq)) = self.core.timers.first().copied() {
            if at > now {
                break;
            }
            self.core.timers.remove(&(at, seq));
            let mut stalled = None;
            self.with(seq, |core, run| {
                run.timer = None;
                stalled = core.look_at(now, run, out);
                core.settle(now, run, out)
            });
            if let Some(server) = stalled {
                self.spare_others(now, server, out);
            }
        }
    }

    /// Puts off what fell due in a stand-still of this process.
    fn put_off(&mut self, now: Instant, standstill: Standstill) {
        self.core.standstill = Some(standstill);
        let due = self.core.timers.iter().take_while(|(at, _)| *at <= now);
        let due: Vec<LookupSeq> = due.map(|(_, seq)| *seq).collect();
        for seq in due {
            self.with(seq, |core, run| {
                core.disarm(run);
                let at = standstill.put_off(now);
                run.timer = Some(at);
                core.timers.insert((at, run.seq));
                false
            });
        }
    }

    /// Hedges the other attempts that wait for a server that was found to have stopped answering.
    ///
    /// A pause holds up everything sent to a server. The first attempt to outlast its delay tells of
    /// it; those sent later would each wait their own delay out in turn.
    fn spare_others(&mut self, now: Instant, server: ServerKey, out: &mut Vec<Action>) {
        let Some(view) = self.core.servers.get(server) else {
            return;
        };
        let waiting: Vec<RunId> = view.outstanding.iter().map(|(id, _)| *id).collect();
        for id in waiting {
            self.with(id.lookup, |core, run| {
                core.spare(now, run, id.part, server, out);
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
        let share = o.extra_slack * self.sharing.slack_part(name);
        self.services
            .entry(name.clone())
            .or_insert_with(|| Service::new(ExtraWindow::new(o.extra_window, o.extra_ratio, share)))
    }

    /// What is learned of a route's attempts.
    pub(crate) fn times(&mut self, route: &Route) -> &mut RouteTimes {
        let quantile = self.options.hedge_quantile;
        self.times
            .entry(route.name.clone())
            .or_insert_with(|| RouteTimes::new(route.objective, quantile))
    }

    /// Sets the time at which a request is looked at next, if that is sooner than planned.
    pub(crate) fn arm(&mut self, run: &mut Run, at: Instant) {
        let at = at.min(run.answer_by);
        if run.timer.is_some_and(|planned| planned <= at) {
            return;
        }
        self.disarm(run);
        run.timer = Some(at);
        self.timers.insert((at, run.seq));
    }

    pub(crate) fn disarm(&mut self, run: &mut Run) {
        if let Some(at) = run.timer.take() {
            self.timers.remove(&(at, run.seq));
        }
    }
}
