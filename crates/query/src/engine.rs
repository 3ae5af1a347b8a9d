//! The engine: dispatches events to the lookups of a process and their shared state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bon::bon;
use gs_liveness::EndSign;
use gs_route::DispatchStatus;
use gs_route::GroupView;
use gs_route::HealthReport;
use gs_route::ReportEffect;
use gs_route::ServerIdx;
use gs_types::prelude::*;

use crate::action::Action;
use crate::counters::Counters;
use crate::engine_state::EngineState;
use crate::engine_state::GroupState;
use crate::engine_state::TimerPurpose;
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
    pub(crate) state: EngineState,
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
            state: EngineState::new(vm, incarnation, data_centre, seed, options)?,
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
                self.with_lookup(seq, |state, lk| {
                    state.on_claim_decided(now, lk, decision, out)
                });
            }
            Event::Sent(id) => self.on_sent(now, &id),
            Event::Reply(id, reply) => self.on_reply(now, &id, reply, out),
            Event::Gone(seq) => {
                self.with_lookup(seq, |state, lk| state.on_caller_disconnect(now, lk, out))
            }
            Event::Connection(server, opened) => self.on_connection(&server, opened),
            Event::Lost(server) => self.on_connection_lost(now, server, out),
            Event::Tick => self.on_tick(now, out),
            Event::Leave => self.state.is_leaving = true,
            Event::ShutDown(answer_within) => self.on_shut_down(now, answer_within),
            Event::Accepted(server, took) => {
                let begun_at = now.checked_sub(took).unwrap_or(now);
                self.state.on_server_alive(now, &server, begun_at, out);
            }
            Event::Refused(server) => {
                self.state
                    .end_watched_server(now, &server, EndSign::Refused, out);
            }
        }
        for (fingerprint, rest) in std::mem::take(&mut self.state.newly_quarantined) {
            self.refuse_running(now, fingerprint, rest, out);
        }
        self.update_queues(now, out);
        self.request_wake(now, out);
    }

    /// Returns the running totals for metrics.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.state.counters
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
        f: impl FnOnce(&mut EngineState, &mut ActiveLookup),
    ) {
        let Some(lk) = self.lookups.get_mut(&seq) else {
            return;
        };
        f(&mut self.state, lk);
        if lk.is_done {
            self.lookups.remove(&seq);
            self.state.in_flight = self.lookups.len();
        }
    }

    fn on_config(&mut self, config: &Config) {
        let state = &mut self.state;
        if state.config_version.is_some_and(|old| old > config.version) {
            return;
        }
        state.config_version = Some(config.version);
        state.decls = config
            .fronts
            .iter()
            .flat_map(|f| f.lookups.iter().map(move |l| (f, l)))
            .map(|(f, l)| ((f.name.clone(), l.name.clone()), Arc::new(l.clone())))
            .collect();
    }

    fn on_group(&mut self, map: &GroupMap, out: &mut Vec<Action>) {
        let state = &mut self.state;
        let known = state.group_names.get(&map.group).copied();
        if known.is_some_and(|n| state.groups[n].view.revision() > map.revision) {
            return;
        }
        let view = GroupView::new(map, &mut state.servers);
        match known {
            Some(n) => state.groups[n].view = view,
            None => {
                state
                    .group_names
                    .insert(map.group.clone(), state.groups.len());
                state.groups.push(GroupState {
                    name: map.group.clone(),
                    view,
                    hedge_policy: policies::build_hedge_policy(&state.options),
                });
            }
        }
        for decl in &map.servers {
            if let Some(idx) = state.servers.find(&decl.name) {
                request_connections(state, idx, out);
            }
        }
    }

    fn on_report(&mut self, now: Instant, r: &ServerReport, out: &mut Vec<Action>) {
        let state = &mut self.state;
        let Some(idx) = state.servers.find(&r.server) else {
            if r.draining {
                state.servers.drain_undeclared(&r.server, r.incarnation);
            }
            return;
        };
        let report = HealthReport {
            incarnation: r.incarnation,
            snapshots: &r.snapshots,
            load: r.load,
            draining: r.draining,
        };
        let is_unknown = state.servers.view(idx).incarnation().is_none();
        let may_be_new = is_unknown && state.servers.view(idx).is_silent();
        let effect = state.servers.on_health_report(now, idx, report);
        let is_current = r.incarnation.is_some()
            && r.incarnation == state.servers.view(idx).incarnation()
            && effect != ReportEffect::NewIncarnation;
        if is_current && !may_be_new {
            state.on_server_alive(now, &r.server, now, out);
        } else if is_current && state.server_watch.is_broken(&r.server) {
            // It closed a connection and was silent, and no incarnation was known until now.
            state.end_watched_server(now, &r.server, EndSign::Restarted, out);
        }
        match effect {
            ReportEffect::Nothing => {}
            ReportEffect::Drained => state.on_drained(idx, "health", true, out),
            ReportEffect::NewIncarnation => {
                state.end_watched_server(now, &r.server, EndSign::Restarted, out);
                state.freed_servers.push(idx);
                request_connections(state, idx, out);
            }
        }
    }

    fn on_shares(&mut self, shares: &[(ServerName, Connections)], out: &mut Vec<Action>) {
        for (name, share) in shares {
            let Some(idx) = self.state.servers.find(name) else {
                self.state.servers.set_undeclared_share(name, *share);
                continue;
            };
            self.state.servers.set_share(idx, *share);
            self.state.freed_servers.push(idx);
            request_connections(&self.state, idx, out);
        }
    }

    fn on_arrival(&mut self, now: Instant, arrival: Arrival, out: &mut Vec<Action>) {
        let seq = arrival.seq;
        if self.lookups.contains_key(&seq) {
            log::error!("event=lookup-number-used-twice lookup={seq}");
            return;
        }
        if let Some(lk) = self.state.on_arrival(now, arrival, out) {
            self.lookups.insert(seq, lk);
        }
        self.state.in_flight = self.lookups.len();
    }

    fn on_sent(&mut self, now: Instant, id: &AttemptId) {
        if !self.is_own_attempt(id) {
            return;
        }
        match self.lookups.get_mut(&id.lookup) {
            Some(lk) => self.state.on_sent(now, lk, id),
            None => self.state.on_orphan_sent(id),
        }
    }

    fn on_reply(&mut self, now: Instant, id: &AttemptId, reply: PartReply, out: &mut Vec<Action>) {
        if !self.is_own_attempt(id) {
            self.state.counters.stray_replies += 1;
            return;
        }
        if !self.lookups.contains_key(&id.lookup) {
            self.state.on_orphan_reply(now, id, &reply, out);
            return;
        }
        self.with_lookup(id.lookup, |state, lk| {
            state.on_reply(now, lk, id, reply, out)
        });
    }

    /// Whether an attempt id was issued by this incarnation of this VM.
    fn is_own_attempt(&self, id: &AttemptId) -> bool {
        id.incarnation == self.state.incarnation && id.vm == self.state.vm
    }

    fn on_connection(&mut self, server: &ServerName, opened: bool) {
        if let Some(idx) = self.state.servers.find(server) {
            self.state.servers.on_connection_change(idx, opened);
        }
    }

    fn on_connection_lost(&mut self, now: Instant, server: ServerName, out: &mut Vec<Action>) {
        self.state.check_lost_server(now, &server, out);
        if self.state.connection_losses.note_loss(now, server) {
            self.state
                .crash_suspects
                .raise_suspicion(now, SUSPICION_AFTER_LOSSES);
        }
    }

    fn on_tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.wake_at = None;
        while let Some((at, timer)) = self.state.timers.first().copied() {
            if at > now {
                break;
            }
            self.state.timers.remove(&(at, timer));
            match timer {
                TimerPurpose::Lookup(seq) => {
                    self.with_lookup(seq, |state, lk| state.on_timer(now, lk, out))
                }
                TimerPurpose::Server(server) => self.state.freed_servers.push(server),
                TimerPurpose::Orphans => self.state.release_expired_orphans(now),
                TimerPurpose::ServerChecks => self.state.repeat_checks(now, out),
            }
        }
    }

    /// Dispatches or requeues waiting parts until no server is left that changed or has a
    /// connection freed.
    fn update_queues(&mut self, now: Instant, out: &mut Vec<Action>) {
        loop {
            if let Some(server) = self.state.changed_servers.pop() {
                self.requeue_waiting(now, server, out);
            } else if let Some(server) = self.state.freed_servers.pop() {
                self.dispatch_waiting(now, server, out);
            } else {
                return;
            }
        }
    }

    fn requeue_waiting(&mut self, now: Instant, server: ServerIdx, out: &mut Vec<Action>) {
        for part in self.state.wait_queues.waiting_parts(server) {
            self.with_lookup(part.seq, |state, lk| state.requeue(now, lk, part.pos, out));
        }
    }

    fn dispatch_waiting(&mut self, now: Instant, server: ServerIdx, out: &mut Vec<Action>) {
        while let Some(part) = self.state.wait_queues.next_part(server) {
            match self.state.servers.dispatch_status(now, server) {
                DispatchStatus::Free => {}
                DispatchStatus::Paused(until) | DispatchStatus::Ejected(until) => {
                    self.state
                        .timers
                        .insert((until, TimerPurpose::Server(server)));
                    return;
                }
                DispatchStatus::Busy | DispatchStatus::Draining => return,
            }
            self.with_lookup(part.seq, |state, lk| {
                state.dispatch_waiting(now, lk, part.pos, server, out);
            });
        }
    }

    fn request_wake(&mut self, now: Instant, out: &mut Vec<Action>) {
        if let Some(at) = self.state.server_watch.next_check_at() {
            self.state.timers.insert((at, TimerPurpose::ServerChecks));
        }
        let Some((first, _)) = self.state.timers.first().copied() else {
            return;
        };
        if self.wake_at.is_none_or(|at| first < at) {
            self.wake_at = Some(first);
            out.push(Action::Wake(first.saturating_duration_since(now)));
        }
    }
}

/// Requests that this VM's share of connections to a server is kept open.
fn request_connections(state: &EngineState, idx: ServerIdx, out: &mut Vec<Action>) {
    let view = state.servers.view(idx);
    if !view.is_draining() {
        out.push(Action::Warm(
            view.decl().name.clone(),
            view.connection_share(),
        ));
    }
}
