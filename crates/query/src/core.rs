//! What all lookups of a process share.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_chart::Chart;
use gs_limit::AdmissionPolicy;
use gs_limit::ExtraBudget;
use gs_limit::HedgePolicy;
use gs_route::GroupView;
use gs_route::ReplicaPolicy;
use gs_route::RouteOptions;
use gs_route::ServerIdx;
use gs_route::Servers;
use gs_types::pace::Pace;
use gs_types::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::action::Action;
use crate::action::Sign;
use crate::attempt::AttemptEvent;
use crate::attempt::AttemptState;
use crate::attempt::attempt_chart;
use crate::counters::Counters;
use crate::lookup::LookupRun;
use crate::losses::Losses;
use crate::options::EngineOptions;
use crate::policies;
use crate::shortfall::LOOKUPS_PER_SECOND;
use crate::suspects::Suspects;
use crate::waiting::Waiting;

/// Where an attempt belongs: its lookup, shard and number.
pub(crate) type AttemptKey = (LookupSeq, ShardId, u16);

/// A group and what is learned of it.
#[derive(Debug)]
pub(crate) struct GroupRun {
    pub(crate) name: GroupName,
    pub(crate) view: GroupView,
    pub(crate) hedge: Box<dyn HedgePolicy>,
}

/// An attempt whose lookup has ended; it holds its connection until the shell tells its end.
#[derive(Debug)]
pub(crate) struct Orphan {
    pub(crate) server: ServerIdx,
    /// When it was handed over.
    pub(crate) at: Instant,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) is_sent: bool,
    /// Whether a server ran its lookup and lived.
    pub(crate) is_proven: bool,
    /// When its lookup was to be answered at the latest.
    pub(crate) answer_by: Instant,
    pub(crate) expires: Instant,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A lookup's deadline, hedge or canary.
    Lookup(LookupSeq),
    /// A server's pause or rest is over, and parts wait for it.
    Server(ServerIdx),
    /// Orphans that the shell forgot.
    Orphans,
}

/// What all lookups of a process share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) vm: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) options: EngineOptions,
    pub(crate) chart: Chart<AttemptState, AttemptEvent>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) config: Option<ConfVersion>,
    pub(crate) decls: BTreeMap<(FrontName, LookupName), Arc<Lookup>>,
    pub(crate) group_names: BTreeMap<GroupName, usize>,
    pub(crate) groups: Vec<GroupRun>,
    pub(crate) servers: Servers,
    pub(crate) replica: Box<dyn ReplicaPolicy>,
    pub(crate) admission: Box<dyn AdmissionPolicy>,
    pub(crate) budget: ExtraBudget,
    pub(crate) waiting: Waiting,
    pub(crate) orphans: BTreeMap<AttemptKey, Orphan>,
    pub(crate) timers: BTreeSet<(Instant, Timer)>,
    pub(crate) suspects: Suspects,
    pub(crate) losses: Losses,
    pub(crate) is_leaving: bool,
    /// Lookups in flight.
    pub(crate) in_flight: usize,
    pub(crate) counters: Counters,
    /// Paces the log lines of lookups that end short.
    pub(crate) shortfalls: Pace,
    /// Servers with a connection freed since the last look at their queues.
    pub(crate) freed: Vec<ServerIdx>,
    /// Servers whose queues must be placed anew, as they take nothing or hold other snapshots now.
    pub(crate) changed: Vec<ServerIdx>,
}

impl Core {
    pub(crate) fn new(
        vm: VmId,
        incarnation: Incarnation,
        data_centre: DataCentre,
        seed: u64,
        options: EngineOptions,
    ) -> Result<Self> {
        options.check()?;
        let route = RouteOptions {
            slow_start: options.slow_start,
            ..RouteOptions::default()
        };
        Ok(Self {
            vm,
            incarnation,
            chart: attempt_chart()?,
            rng: ChaCha8Rng::seed_from_u64(seed),
            config: None,
            decls: BTreeMap::new(),
            group_names: BTreeMap::new(),
            groups: Vec::new(),
            servers: Servers::new(data_centre, route)?,
            replica: policies::replica(&options),
            admission: policies::admission(&options),
            budget: ExtraBudget::new(
                options.extra_ratio,
                options.extra_burst,
                options.extra_floor,
            ),
            waiting: Waiting::default(),
            orphans: BTreeMap::new(),
            timers: BTreeSet::new(),
            suspects: Suspects::new(options.quarantine, options.suspicion),
            losses: Losses::default(),
            is_leaving: false,
            in_flight: 0,
            counters: Counters::default(),
            shortfalls: Pace::new(LOOKUPS_PER_SECOND),
            freed: Vec::new(),
            changed: Vec::new(),
            options,
        })
    }

    /// The id of an attempt.
    pub(crate) fn id(&self, (lookup, shard, attempt): AttemptKey) -> AttemptId {
        AttemptId {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            lookup,
            shard,
            attempt,
        }
    }

    /// Sets the time at which a lookup is looked at, if that is sooner than planned.
    pub(crate) fn arm(&mut self, lk: &mut LookupRun, at: Instant) {
        let at = at.min(lk.answer_by);
        match lk.timer {
            Some(planned) if planned <= at => return,
            Some(planned) => {
                self.timers.remove(&(planned, Timer::Lookup(lk.seq)));
            }
            None => {}
        }
        lk.timer = Some(at);
        self.timers.insert((at, Timer::Lookup(lk.seq)));
    }

    /// Takes a lookup's timer away.
    pub(crate) fn disarm(&mut self, lk: &mut LookupRun) {
        if let Some(at) = lk.timer.take() {
            self.timers.remove(&(at, Timer::Lookup(lk.seq)));
        }
    }

    /// A server said itself that it drains: its queue moves, and every peer is told.
    pub(crate) fn drain_seen(&mut self, server: ServerIdx, out: &mut Vec<Action>) {
        if self.servers.drain_self_reported(server) {
            self.drained(server, "own", true, out);
        }
    }

    /// Tells every peer what is held against a fingerprint.
    pub(crate) fn spread_suspect(
        &self,
        fingerprint: Fingerprint,
        crashes: u32,
        rest: Duration,
        out: &mut Vec<Action>,
    ) {
        log::warn!(
            "event=suspect fingerprint={fingerprint} crashes={crashes} rest_ms={}",
            rest.as_millis()
        );
        out.push(Action::Spread(Sign::Quarantine {
            fingerprint,
            crashes,
            rest,
        }));
    }
}
