//! The engine: every lookup of a process, and what they share.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bon::bon;
use gs_route::DispatchStatus;
use gs_route::GroupView;
use gs_route::HealthReport;
use gs_route::ReportEffect;
use gs_route::ServerIdx;
use gs_types::prelude::*;

use crate::action::Action;
use crate::core::Core;
use crate::core::GroupRun;
use crate::core::Timer;
use crate::counters::Counters;
use crate::event::Arrival;
use crate::event::Event;
use crate::event::PartReply;
use crate::event::ServerReport;
use crate::lookup::LookupRun;
use crate::options::EngineOptions;
use crate::policies;

/// All lookups of one process as a state machine without I/O.
///
/// Feed it every [`Event`] with the time at which it happened and carry out the [`Action`]s in
/// their order. The same events at the same times with the same seed give the same actions.
#[derive(Debug)]
pub struct Engine {
    pub(crate) core: Core,
    pub(crate) lookups: BTreeMap<LookupSeq, Box<LookupRun>>,
    /// The time of the earliest wake-up asked for.
    woken_at: Option<Instant>,
}

#[bon]
impl Engine {
    /// Starts building an engine: name the VM, its incarnation and data centre, and a seed.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if an option is out of range or an embedded chart is broken.
    #[builder(start_fn = builder, finish_fn = build)]
    pub fn new(
        vm: VmId,
        incarnation: Incarnation,
        data_centre: DataCentre,
        seed: u64,
        #[builder(default)] options: EngineOptions,
    ) -> Result<Self> {
        Ok(Self {
            core: Core::new(vm, incarnation, data_centre, seed, options)?,
            lookups: BTreeMap::new(),
            woken_at: None,
        })
    }
}

/// How long suspicion stays up after servers were lost together: time enough for a peer's word.
const SUSPICION_AFTER_LOSSES: Duration = Duration::from_secs(1);

impl Engine {
    /// Takes one event in and appends what has to be done to `out`.
    pub fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Config(config) => self.config(&config),
            Event::Group(map) => self.group(&map, out),
            Event::Report(report) => self.report(now, &report, out),
            Event::Sign(sign, source) => self.sign(now, sign, source, out),
            Event::Shares(shares) => self.shares(&shares, out),
            Event::Arrive(arrival) => self.arrive(now, arrival, out),
            Event::Claim(seq, verdict) => {
                self.with(seq, |core, lk| core.claimed(now, lk, verdict, out));
            }
            Event::Sent(id) => self.sent(now, &id),
            Event::Reply(id, reply) => self.reply(now, &id, reply, out),
            Event::Gone(seq) => self.with(seq, |core, lk| core.gone(now, lk, out)),
            Event::Connection(server, opened) => self.connection(&server, opened),
            Event::Lost(server) => self.lost(now, server),
            Event::Tick => self.tick(now, out),
            Event::Leave => self.core.is_leaving = true,
        }
        self.follow_up(now, out);
        self.wake(now, out);
    }

    /// Running totals, for metrics.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.core.counters
    }

    /// Lookups in flight; zero means that a leaving process has finished.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.lookups.len()
    }

    /// Runs `f` on a lookup in flight, and forgets the lookup if that ended it.
    pub(crate) fn with(&mut self, seq: LookupSeq, f: impl FnOnce(&mut Core, &mut LookupRun)) {
        let Some(lk) = self.lookups.get_mut(&seq) else {
            return;
        };
        f(&mut self.core, lk);
        if lk.is_done {
            self.lookups.remove(&seq);
            self.core.in_flight = self.lookups.len();
        }
    }

    fn config(&mut self, config: &Config) {
        let core = &mut self.core;
        if core.config.is_some_and(|old| old > config.version) {
            return;
        }
        core.config = Some(config.version);
        core.decls = config
            .fronts
            .iter()
            .flat_map(|f| f.lookups.iter().map(move |l| (f, l)))
            .map(|(f, l)| ((f.name.clone(), l.name.clone()), Arc::new(l.clone())))
            .collect();
    }

    fn group(&mut self, map: &GroupMap, out: &mut Vec<Action>) {
        let core = &mut self.core;
        let known = core.group_names.get(&map.group).copied();
        if known.is_some_and(|n| core.groups[n].view.revision() > map.revision) {
            return;
        }
        let view = GroupView::new(map, &mut core.servers);
        match known {
            Some(n) => core.groups[n].view = view,
            None => {
                core.group_names
                    .insert(map.group.clone(), core.groups.len());
                core.groups.push(GroupRun {
                    name: map.group.clone(),
                    view,
                    hedge: policies::hedge(&core.options),
                });
            }
        }
        for decl in &map.servers {
            if let Some(idx) = core.servers.find(&decl.name) {
                warm(core, idx, out);
            }
        }
    }

    fn report(&mut self, now: Instant, r: &ServerReport, out: &mut Vec<Action>) {
        let core = &mut self.core;
        let Some(idx) = core.servers.find(&r.server) else {
            if r.draining {
                core.servers.drain_undeclared(&r.server, r.incarnation);
            }
            return;
        };
        let report = HealthReport {
            incarnation: r.incarnation,
            snapshots: &r.snapshots,
            load: r.load,
            draining: r.draining,
        };
        match core.servers.report(now, idx, report) {
            ReportEffect::Nothing => {}
            ReportEffect::Drained => core.drained(idx, "health", true, out),
            ReportEffect::NewIncarnation => {
                core.freed.push(idx);
                warm(core, idx, out);
            }
        }
    }

    fn shares(&mut self, shares: &[(ServerName, Connections)], out: &mut Vec<Action>) {
        for (name, share) in shares {
            let Some(idx) = self.core.servers.find(name) else {
                self.core.servers.share_undeclared(name, *share);
                continue;
            };
            self.core.servers.set_share(idx, *share);
            self.core.freed.push(idx);
            warm(&self.core, idx, out);
        }
    }

    fn arrive(&mut self, now: Instant, arrival: Arrival, out: &mut Vec<Action>) {
        let seq = arrival.seq;
        if self.lookups.contains_key(&seq) {
            log::error!("event=lookup-number-used-twice lookup={seq}");
            return;
        }
        if let Some(lk) = self.core.arrive(now, arrival, out) {
            self.lookups.insert(seq, lk);
        }
        self.core.in_flight = self.lookups.len();
    }

    fn sent(&mut self, now: Instant, id: &AttemptId) {
        if !self.is_ours(id) {
            return;
        }
        match self.lookups.get_mut(&id.lookup) {
            Some(lk) => self.core.sent(now, lk, id),
            None => self.core.orphan_sent(id),
        }
    }

    fn reply(&mut self, now: Instant, id: &AttemptId, reply: PartReply, out: &mut Vec<Action>) {
        if !self.is_ours(id) {
            self.core.counters.stray_replies += 1;
            return;
        }
        if !self.lookups.contains_key(&id.lookup) {
            self.core.orphan_replied(now, id, &reply, out);
            return;
        }
        self.with(id.lookup, |core, lk| core.replied(now, lk, id, reply, out));
    }

    /// Whether an attempt id was made by this run of this VM.
    fn is_ours(&self, id: &AttemptId) -> bool {
        id.incarnation == self.core.incarnation && id.vm == self.core.vm
    }

    fn connection(&mut self, server: &ServerName, opened: bool) {
        if let Some(idx) = self.core.servers.find(server) {
            self.core.servers.on_connection_change(idx, opened);
        }
    }

    fn lost(&mut self, now: Instant, server: ServerName) {
        if self.core.losses.note(now, server) {
            self.core.suspects.raise(now, SUSPICION_AFTER_LOSSES);
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.woken_at = None;
        while let Some((at, timer)) = self.core.timers.first().copied() {
            if at > now {
                break;
            }
            self.core.timers.remove(&(at, timer));
            match timer {
                Timer::Lookup(seq) => self.with(seq, |core, lk| core.due(now, lk, out)),
                Timer::Server(server) => self.core.freed.push(server),
                Timer::Orphans => self.core.drop_orphans(now),
            }
        }
    }

    /// Serves the queues of servers that changed or have a connection free, until none is left.
    fn follow_up(&mut self, now: Instant, out: &mut Vec<Action>) {
        loop {
            if let Some(server) = self.core.changed.pop() {
                self.place_anew(now, server, out);
            } else if let Some(server) = self.core.freed.pop() {
                self.serve_queue(now, server, out);
            } else {
                return;
            }
        }
    }

    fn place_anew(&mut self, now: Instant, server: ServerIdx, out: &mut Vec<Action>) {
        for ticket in self.core.waiting.all(server) {
            self.with(ticket.seq, |core, lk| core.requeue(now, lk, ticket.at, out));
        }
    }

    fn serve_queue(&mut self, now: Instant, server: ServerIdx, out: &mut Vec<Action>) {
        while let Some(ticket) = self.core.waiting.first(server) {
            match self.core.servers.dispatch_status(now, server) {
                DispatchStatus::Free => {}
                DispatchStatus::Paused(until) | DispatchStatus::Ejected(until) => {
                    self.core.timers.insert((until, Timer::Server(server)));
                    return;
                }
                DispatchStatus::Busy | DispatchStatus::Draining => return,
            }
            self.with(ticket.seq, |core, lk| {
                core.serve(now, lk, ticket.at, server, out);
            });
        }
    }

    fn wake(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some((first, _)) = self.core.timers.first().copied() else {
            return;
        };
        if self.woken_at.is_none_or(|at| first < at) {
            self.woken_at = Some(first);
            out.push(Action::Wake(first.saturating_duration_since(now)));
        }
    }
}

/// Asks the shell to hold this VM's share of connections to a server ready.
fn warm(core: &Core, idx: ServerIdx, out: &mut Vec<Action>) {
    let view = core.servers.view(idx);
    if !view.is_draining() {
        out.push(Action::Warm(view.decl().name.clone(), view.share()));
    }
}
