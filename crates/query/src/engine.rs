//! The engine: dispatches events to the lookups of a process and their shared state.

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
use crate::core::GroupState;
use crate::core::Timer;
use crate::counters::Counters;
use crate::event::Arrival;
use crate::event::Event;
use crate::event::PartReply;
use crate::event::ServerReport;
use crate::lookup::ActiveLookup;
use crate::options::EngineOptions;
use crate::policies;

/// A state machine without I/O for all lookups of one process.
///
/// Pass it every [`Event`] with the time at which it happened and carry out the [`Action`]s in
/// order. The same events at the same times with the same seed produce the same actions.
#[derive(Debug)]
pub struct Engine {
    pub(crate) core: Core,
    pub(crate) lookups: BTreeMap<LookupSeq, Box<ActiveLookup>>,
    /// The time of the earliest wake-up requested.
    wake_at: Option<Instant>,
}

#[bon]
impl Engine {
    /// Starts building an engine from the VM, its incarnation and data centre, and a seed.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if an option is out of range or an embedded state machine definition is
    /// invalid.
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
            wake_at: None,
        })
    }
}

/// How long suspicion lasts after connections to several servers were lost together, which covers
/// the time until a peer's notice arrives.
const SUSPICION_AFTER_LOSSES: Duration = Duration::from_secs(1);

impl Engine {
    /// Processes one event and appends the resulting actions to `out`.
    pub fn on(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Config(config) => self.on_config(&config),
            Event::Group(map) => self.on_group(&map, out),
            Event::Report(report) => self.on_report(now, &report, out),
            Event::Sign(notice, source) => self.on_notice(now, notice, source, out),
            Event::Shares(shares) => self.on_shares(&shares, out),
            Event::Arrive(arrival) => self.on_arrival(now, arrival, out),
            Event::Claim(seq, decision) => {
                self.with_lookup(seq, |core, lk| {
                    core.on_claim_decided(now, lk, decision, out)
                });
            }
            Event::Sent(id) => self.on_sent(now, &id),
            Event::Reply(id, reply) => self.on_reply(now, &id, reply, out),
            Event::Gone(seq) => {
                self.with_lookup(seq, |core, lk| core.on_caller_disconnect(now, lk, out))
            }
            Event::Connection(server, opened) => self.on_connection(&server, opened),
            Event::Lost(server) => self.on_connection_lost(now, server),
            Event::Tick => self.on_tick(now, out),
            Event::Leave => self.core.is_leaving = true,
        }
        self.update_queues(now, out);
        self.request_wake(now, out);
    }

    /// Returns the running totals for metrics.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.core.counters
    }

    /// Returns the number of lookups in flight; a leaving process has finished when it is zero.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.lookups.len()
    }

    /// Runs `f` on a lookup in flight, and removes the lookup if that ended it.
    pub(crate) fn with_lookup(
        &mut self,
        seq: LookupSeq,
        f: impl FnOnce(&mut Core, &mut ActiveLookup),
    ) {
        let Some(lk) = self.lookups.get_mut(&seq) else {
            return;
        };
        f(&mut self.core, lk);
        if lk.is_done {
            self.lookups.remove(&seq);
            self.core.in_flight = self.lookups.len();
        }
    }

    fn on_config(&mut self, config: &Config) {
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

    fn on_group(&mut self, map: &GroupMap, out: &mut Vec<Action>) {
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
                core.groups.push(GroupState {
                    name: map.group.clone(),
                    view,
                    hedge: policies::build_hedge_policy(&core.options),
                });
            }
        }
        for decl in &map.servers {
            if let Some(idx) = core.servers.find(&decl.name) {
                request_connections(core, idx, out);
            }
        }
    }

    fn on_report(&mut self, now: Instant, r: &ServerReport, out: &mut Vec<Action>) {
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
        match core.servers.on_health_report(now, idx, report) {
            ReportEffect::Nothing => {}
            ReportEffect::Drained => core.on_drained(idx, "health", true, out),
            ReportEffect::NewIncarnation => {
                core.freed_servers.push(idx);
                request_connections(core, idx, out);
            }
        }
    }

    fn on_shares(&mut self, shares: &[(ServerName, Connections)], out: &mut Vec<Action>) {
        for (name, share) in shares {
            let Some(idx) = self.core.servers.find(name) else {
                self.core.servers.set_undeclared_share(name, *share);
                continue;
            };
            self.core.servers.set_share(idx, *share);
            self.core.freed_servers.push(idx);
            request_connections(&self.core, idx, out);
        }
    }

    fn on_arrival(&mut self, now: Instant, arrival: Arrival, out: &mut Vec<Action>) {
        let seq = arrival.seq;
        if self.lookups.contains_key(&seq) {
            log::error!("event=lookup-number-used-twice lookup={seq}");
            return;
        }
        if let Some(lk) = self.core.on_arrival(now, arrival, out) {
            self.lookups.insert(seq, lk);
        }
        self.core.in_flight = self.lookups.len();
    }

    fn on_sent(&mut self, now: Instant, id: &AttemptId) {
        if !self.is_ours(id) {
            return;
        }
        match self.lookups.get_mut(&id.lookup) {
            Some(lk) => self.core.on_sent(now, lk, id),
            None => self.core.on_orphan_sent(id),
        }
    }

    fn on_reply(&mut self, now: Instant, id: &AttemptId, reply: PartReply, out: &mut Vec<Action>) {
        if !self.is_ours(id) {
            self.core.counters.stray_replies += 1;
            return;
        }
        if !self.lookups.contains_key(&id.lookup) {
            self.core.on_orphan_reply(now, id, &reply, out);
            return;
        }
        self.with_lookup(id.lookup, |core, lk| core.on_reply(now, lk, id, reply, out));
    }

    /// Whether an attempt id was issued by this incarnation of this VM.
    fn is_ours(&self, id: &AttemptId) -> bool {
        id.incarnation == self.core.incarnation && id.vm == self.core.vm
    }

    fn on_connection(&mut self, server: &ServerName, opened: bool) {
        if let Some(idx) = self.core.servers.find(server) {
            self.core.servers.on_connection_change(idx, opened);
        }
    }

    fn on_connection_lost(&mut self, now: Instant, server: ServerName) {
        if self.core.connection_losses.note_loss(now, server) {
            self.core
                .crash_suspects
                .raise_suspicion(now, SUSPICION_AFTER_LOSSES);
        }
    }

    fn on_tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.wake_at = None;
        while let Some((at, timer)) = self.core.timers.first().copied() {
            if at > now {
                break;
            }
            self.core.timers.remove(&(at, timer));
            match timer {
                Timer::Lookup(seq) => self.with_lookup(seq, |core, lk| core.on_timer(now, lk, out)),
                Timer::Server(server) => self.core.freed_servers.push(server),
                Timer::Orphans => self.core.release_expired_orphans(now),
            }
        }
    }

    /// Dispatches or requeues waiting parts until no server is left that changed or has a
    /// connection freed.
    fn update_queues(&mut self, now: Instant, out: &mut Vec<Action>) {
        loop {
            if let Some(server) = self.core.changed_servers.pop() {
                self.requeue_waiting(now, server, out);
            } else if let Some(server) = self.core.freed_servers.pop() {
                self.dispatch_waiting(now, server, out);
            } else {
                return;
            }
        }
    }

    fn requeue_waiting(&mut self, now: Instant, server: ServerIdx, out: &mut Vec<Action>) {
        for part in self.core.wait_queues.all(server) {
            self.with_lookup(part.seq, |core, lk| core.requeue(now, lk, part.pos, out));
        }
    }

    fn dispatch_waiting(&mut self, now: Instant, server: ServerIdx, out: &mut Vec<Action>) {
        while let Some(part) = self.core.wait_queues.first(server) {
            match self.core.servers.dispatch_status(now, server) {
                DispatchStatus::Free => {}
                DispatchStatus::Paused(until) | DispatchStatus::Ejected(until) => {
                    self.core.timers.insert((until, Timer::Server(server)));
                    return;
                }
                DispatchStatus::Busy | DispatchStatus::Draining => return,
            }
            self.with_lookup(part.seq, |core, lk| {
                core.dispatch_waiting(now, lk, part.pos, server, out);
            });
        }
    }

    fn request_wake(&mut self, now: Instant, out: &mut Vec<Action>) {
        let Some((first, _)) = self.core.timers.first().copied() else {
            return;
        };
        if self.wake_at.is_none_or(|at| first < at) {
            self.wake_at = Some(first);
            out.push(Action::Wake(first.saturating_duration_since(now)));
        }
    }
}

/// Requests that this VM's share of connections to a server is kept open.
fn request_connections(core: &Core, idx: ServerIdx, out: &mut Vec<Action>) {
    let view = core.servers.view(idx);
    if !view.is_draining() {
        out.push(Action::Warm(
            view.decl().name.clone(),
            view.connection_share(),
        ));
    }
}
