//! The state shared by all lookups of a process.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gs_chart::Chart;
use gs_limit::AdmissionPolicy;
use gs_limit::ExtraBudget;
use gs_limit::HedgePolicy;
use gs_liveness::ServerWatch;
use gs_route::GroupView;
use gs_route::ReplicaPolicy;
use gs_route::RouteOptions;
use gs_route::ServerIdx;
use gs_route::Servers;
use gs_types::prelude::*;
use gs_types::rate_limit::RateLimit;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::action::Action;
use crate::action::Notice;
use crate::attempt::AttemptEvent;
use crate::attempt::AttemptState;
use crate::attempt::attempt_chart;
use crate::connection_losses::ConnectionLosses;
use crate::counters::Counters;
use crate::crash_suspects::CrashSuspects;
use crate::incomplete_log::LOGGED_LOOKUPS_PER_SECOND;
use crate::lookup::ActiveLookup;
use crate::options::EngineOptions;
use crate::policies;
use crate::server_ends::KnownServer;
use crate::server_ends::LookupOrigin;
use crate::wait_queues::WaitQueues;

/// The key of an attempt within this process: its lookup, shard and number.
pub(crate) type AttemptKey = (LookupSeq, ShardId, u16);

/// A group's map and its learned hedging delay.
#[derive(Debug)]
pub(crate) struct GroupState {
    pub(crate) name: GroupName,
    pub(crate) view: GroupView,
    pub(crate) hedge_policy: Box<dyn HedgePolicy>,
}

/// An attempt whose lookup has ended or restarted; it occupies its connection until the I/O driver
/// (shell) reports its end.
#[derive(Debug)]
pub(crate) struct Orphan {
    pub(crate) server: ServerIdx,
    /// When it was dispatched.
    pub(crate) dispatched_at: Instant,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) is_sent: bool,
    /// Whether no other server had its lookup.
    pub(crate) was_alone: bool,
    /// Whether a server executed its lookup without crashing.
    pub(crate) is_proven: bool,
    /// The latest time at which its lookup was to be answered.
    pub(crate) answer_by: Instant,
    pub(crate) expires_at: Instant,
}

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerPurpose {
    /// A lookup's deadline, hedge or canary.
    Lookup(LookupSeq),
    /// The end of a server's pause or ejection, for which parts wait.
    Server(ServerIdx),
    /// The expiry of orphans whose end was never reported.
    Orphans,
    /// The repetition of checks of servers that had no result.
    ServerChecks,
}

/// The state shared by all lookups of a process.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) vm: VmId,
    pub(crate) incarnation: Incarnation,
    pub(crate) options: EngineOptions,
    pub(crate) chart: Chart<AttemptState, AttemptEvent>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) config_version: Option<ConfVersion>,
    pub(crate) decls: BTreeMap<(FrontName, LookupName), Arc<Lookup>>,
    pub(crate) group_names: BTreeMap<GroupName, usize>,
    pub(crate) groups: Vec<GroupState>,
    pub(crate) servers: Servers,
    pub(crate) replica_policy: Box<dyn ReplicaPolicy>,
    pub(crate) admission_policy: Box<dyn AdmissionPolicy>,
    /// The tokens for hedges and retries of all lookups.
    pub(crate) extra_budget: ExtraBudget,
    pub(crate) wait_queues: WaitQueues,
    pub(crate) orphans: BTreeMap<AttemptKey, Orphan>,
    pub(crate) timers: BTreeSet<(Instant, TimerPurpose)>,
    pub(crate) crash_suspects: CrashSuspects,
    pub(crate) connection_losses: ConnectionLosses,
    /// The servers that did not answer an attempt.
    pub(crate) server_watch: ServerWatch<KnownServer, LookupOrigin>,
    /// The lookups quarantined while this event is processed, and for how long.
    pub(crate) newly_quarantined: Vec<(Fingerprint, Duration)>,
    pub(crate) is_leaving: bool,
    /// The latest time of every outcome, once the process shuts down.
    pub(crate) shutdown_at: Option<Instant>,
    /// Lookups in flight.
    pub(crate) in_flight: usize,
    pub(crate) counters: Counters,
    /// Limits the rate of log lines about lookups that end incomplete.
    pub(crate) incomplete_log_limit: RateLimit,
    /// Servers with a connection freed since their queues were last checked.
    pub(crate) freed_servers: Vec<ServerIdx>,
    /// Servers that no longer accept work or hold other snapshots, so that their queued parts must
    /// be placed again.
    pub(crate) changed_servers: Vec<ServerIdx>,
}

impl EngineState {
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
            config_version: None,
            decls: BTreeMap::new(),
            group_names: BTreeMap::new(),
            groups: Vec::new(),
            servers: Servers::new(data_centre, route)?,
            replica_policy: policies::build_replica_policy(&options),
            admission_policy: policies::build_admission_policy(&options),
            extra_budget: ExtraBudget::new(
                options.extra_ratio,
                options.extra_burst,
                options.extra_floor,
            ),
            wait_queues: WaitQueues::default(),
            orphans: BTreeMap::new(),
            timers: BTreeSet::new(),
            crash_suspects: CrashSuspects::new(options.quarantine, options.suspicion),
            connection_losses: ConnectionLosses::default(),
            server_watch: ServerWatch::default(),
            newly_quarantined: Vec::new(),
            is_leaving: false,
            shutdown_at: None,
            in_flight: 0,
            counters: Counters::default(),
            incomplete_log_limit: RateLimit::new(LOGGED_LOOKUPS_PER_SECOND),
            freed_servers: Vec::new(),
            changed_servers: Vec::new(),
            options,
        })
    }

    /// Returns the global id of an attempt.
    pub(crate) fn attempt_id(&self, (lookup, shard, attempt): AttemptKey) -> AttemptId {
        AttemptId {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            lookup,
            shard,
            attempt,
        }
    }

    /// Sets a lookup's timer, if that is sooner than the time already set.
    pub(crate) fn set_lookup_timer(&mut self, lk: &mut ActiveLookup, at: Instant) {
        let at = at.min(lk.answer_by);
        match lk.timer_at {
            Some(planned) if planned <= at => return,
            Some(planned) => {
                self.timers.remove(&(planned, TimerPurpose::Lookup(lk.seq)));
            }
            None => {}
        }
        lk.timer_at = Some(at);
        self.timers.insert((at, TimerPurpose::Lookup(lk.seq)));
    }

    /// Removes a lookup's timer.
    pub(crate) fn clear_lookup_timer(&mut self, lk: &mut ActiveLookup) {
        if let Some(at) = lk.timer_at.take() {
            self.timers.remove(&(at, TimerPurpose::Lookup(lk.seq)));
        }
    }

    /// Handles a server's own report that it drains: moves its queue and notifies every peer.
    pub(crate) fn on_self_reported_drain(&mut self, server: ServerIdx, out: &mut Vec<Action>) {
        if self.servers.drain_self_reported(server) {
            self.on_drained(server, "own", true, out);
        }
    }

    /// Notifies every peer of the evidence that a fingerprint crashes servers.
    pub(crate) fn broadcast_suspect(
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
        out.push(Action::Spread(Notice::Quarantine {
            fingerprint,
            crashes,
            rest,
        }));
    }
}
