//! Checks that the state of a relay is consistent, for tests of its decisions.
//!
//! Each check holds after every event that [`Relay::on`] has processed, whatever the events were.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use gs_types::prelude::*;

use crate::active_request::ActiveRequest;
use crate::active_request::Part;
use crate::active_request::PartState;
use crate::attempt::Attempt;
use crate::attempt::AttemptKey;
use crate::bundle::BUNDLE_PART_NUMBER;
use crate::placement::Placement;
use crate::relay::Relay;
use crate::servers::ServerKey;
use crate::service_state::QueuedPart;

/// A violated invariant of a relay's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Inconsistency {
    /// The request is not checked by the time at which its final response must be sent.
    Unchecked(LookupSeq),
    /// A check is scheduled for a request that has ended, or for another time than the request knows.
    StrayCheck(LookupSeq),
    /// The request counts other numbers of complete, abandoned or held parts than it has.
    PartCounts(LookupSeq),
    /// The part, by its position, waits for a server and is not in the queue of its service.
    Unqueued(LookupSeq, usize),
    /// The queue of the service holds a part that does not wait there.
    StrayQueued(ServiceName, LookupSeq, u16),
    /// The part waits, and no server of its service can become free for it.
    WaitsInVain(ServiceName, LookupSeq),
    /// The part neither waits, nor is it complete or abandoned, and nothing is in flight for
    /// it, or for its request if its retry is held.
    Idle(LookupSeq, usize),
    /// The attempt is in flight, and its server does not count it.
    Uncounted(AttemptKey),
    /// The server counts an attempt that is not in flight.
    StrayAttempt(ServerName, AttemptKey),
    /// A request that may be executed at most once has several attempts that may have been.
    MayRunTwice(LookupSeq),
    /// The budget of the service counts other attempts than its window holds.
    BudgetCounts(ServiceName),
    /// More servers than the route allows may have executed the part.
    TooManyServers(LookupSeq, usize),
}

/// The names of the servers that were known at any check, as attempts may refer to servers that are gone.
#[derive(Clone, Debug, Default)]
pub struct SeenServers(HashMap<ServerKey, ServerName>);

impl Relay {
    /// Returns the violated invariants; empty if the state is consistent.
    ///
    /// `seen` is kept from one check of a relay to the next.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use gs_relay::{Relay, RelayOptions, SeenServers};
    ///
    /// let options = RelayOptions::builder()
    ///     .vm("vm-1".parse().unwrap())
    ///     .data_centre("hobart-a".parse().unwrap())
    ///     .region("hobart".parse().unwrap())
    ///     .build();
    /// let mut seen = SeenServers::default();
    /// assert!(Relay::new(options, 1).inconsistencies(Instant::now(), &mut seen).is_empty());
    /// ```
    #[must_use]
    pub fn inconsistencies(&self, now: Instant, seen: &mut SeenServers) -> Vec<Inconsistency> {
        let mut found = Vec::new();
        let names = self.core.servers.names();
        seen.0.extend(names.map(|(key, name)| (key, name.clone())));
        for request in self.requests.values() {
            self.check_timer(request, &mut found);
            self.check_parts(request, &mut found);
            self.check_attempts_counted(request, &mut found);
            check_runs(request, seen, &mut found);
        }
        self.check_timers(&mut found);
        self.check_services(now, &mut found);
        self.check_servers(&mut found);
        found
    }

    fn check_timer(&self, request: &ActiveRequest, found: &mut Vec<Inconsistency>) {
        // A check that expired during a pause of the process is postponed.
        let grace_end = self.core.process_pause.map(|p| p.grace_end());
        let latest = request
            .answer_by
            .max(grace_end.unwrap_or(request.answer_by));
        let is_scheduled =
            |at: &Instant| *at <= latest && self.core.timers.contains(&(*at, request.seq));
        if !request.timer.as_ref().is_some_and(is_scheduled) {
            found.push(Inconsistency::Unchecked(request.seq));
        }
    }

    fn check_timers(&self, found: &mut Vec<Inconsistency>) {
        for (at, seq) in &self.core.timers {
            let planned = self.requests.get(seq).and_then(|r| r.timer);
            if planned != Some(*at) {
                found.push(Inconsistency::StrayCheck(*seq));
            }
        }
    }

    fn check_parts(&self, request: &ActiveRequest, found: &mut Vec<Inconsistency>) {
        let count = |state| request.parts.iter().filter(|p| p.state == state).count();
        let is_held = |p: &&Part| matches!(p.state, PartState::Held(_));
        let counts = (
            count(PartState::Complete),
            count(PartState::Abandoned),
            request.parts.iter().filter(is_held).count(),
        );
        if counts != (request.complete, request.abandoned, request.held) {
            found.push(Inconsistency::PartCounts(request.seq));
        }
        for (index, part) in request.parts.iter().enumerate() {
            let is_active = match part.state {
                PartState::Running => part.has_attempt_in_flight(),
                PartState::Bundled => has_bundle_in_flight(request, index),
                PartState::Held(_) => request.can_be_executed(),
                PartState::Waiting(_) | PartState::Complete | PartState::Abandoned => true,
            };
            if !is_active {
                found.push(Inconsistency::Idle(request.seq, index));
            }
            if matches!(part.state, PartState::Waiting(_)) && !self.is_queued(request, index) {
                found.push(Inconsistency::Unqueued(request.seq, index));
            }
        }
    }

    fn is_queued(&self, request: &ActiveRequest, index: usize) -> bool {
        let service = self.core.services.get(&request.parts[index].service);
        let queued = (request.route.priority, request.seq, index as u16);
        service.is_some_and(|s| s.waiting.contains(&queued))
    }

    fn check_services(&self, now: Instant, found: &mut Vec<Inconsistency>) {
        for (name, service) in &self.core.services {
            if !service.extra_budget.is_consistent() {
                found.push(Inconsistency::BudgetCounts(name.clone()));
            }
            for queued in &service.waiting {
                self.check_queued(name, *queued, found);
            }
            if let Some(first) = service.waiting.first() {
                self.check_first_queued(now, name, *first, found);
            }
        }
    }

    fn queued_part(&self, (_, seq, index): QueuedPart) -> Option<(&ActiveRequest, &Part)> {
        let request = self.requests.get(&seq)?;
        let part = request.parts.get(usize::from(index))?;
        Some((request, part))
    }

    fn check_queued(
        &self,
        service: &ServiceName,
        queued: QueuedPart,
        found: &mut Vec<Inconsistency>,
    ) {
        let waits_here =
            |p: &Part| matches!(p.state, PartState::Waiting(_)) && p.service == *service;
        let part = self.queued_part(queued);
        if !part.is_some_and(|(_, p)| waits_here(p)) {
            let (_, seq, index) = queued;
            found.push(Inconsistency::StrayQueued(service.clone(), seq, index));
        }
    }

    fn check_first_queued(
        &self,
        now: Instant,
        service: &ServiceName,
        queued: QueuedPart,
        found: &mut Vec<Inconsistency>,
    ) {
        let Some((request, part)) = self.queued_part(queued) else {
            return;
        };
        let placement = self
            .core
            .placement_context(now, request)
            .choose_server(part);
        if matches!(placement, Placement::Unavailable(_)) {
            found.push(Inconsistency::WaitsInVain(service.clone(), request.seq));
        }
    }

    fn check_attempts_counted(&self, request: &ActiveRequest, found: &mut Vec<Inconsistency>) {
        for (key, attempt) in request.attempts_in_flight() {
            let view = self.core.servers.get(attempt.server);
            if !view.is_some_and(|v| v.outstanding.iter().any(|(id, _)| *id == key)) {
                found.push(Inconsistency::Uncounted(key));
            }
        }
    }

    fn check_servers(&self, found: &mut Vec<Inconsistency>) {
        for view in self.core.servers.all() {
            for (key, _) in &view.outstanding {
                if !self.is_in_flight(key) {
                    let name = view.entry.name.clone();
                    found.push(Inconsistency::StrayAttempt(name, *key));
                }
            }
        }
    }

    /// Returns whether the end of an attempt is still to come, also of a request that has ended.
    fn is_in_flight(&self, key: &AttemptKey) -> bool {
        if self.core.orphaned_attempts.contains_key(key) {
            return true;
        }
        let Some(request) = self.requests.get(&key.lookup) else {
            return false;
        };
        let number = usize::from(key.attempt);
        let attempt = if key.part == BUNDLE_PART_NUMBER {
            request.bundles.get(number).map(|b| &b.attempt)
        } else {
            let part = request.parts.get(usize::from(key.part));
            part.and_then(|p| p.attempts.get(number))
        };
        attempt.is_some_and(Attempt::is_in_flight)
    }
}

fn check_runs(request: &ActiveRequest, seen: &SeenServers, found: &mut Vec<Inconsistency>) {
    for (index, part) in request.parts.iter().enumerate() {
        let runs = part.attempts.iter().filter(|a| a.may_have_run());
        if request.is_once() && runs.clone().count() > 1 {
            found.push(Inconsistency::MayRunTwice(request.seq));
        }
        let names = part.possible_servers.servers();
        let mut servers: BTreeSet<&ServerName> = names.iter().collect();
        let mut unseen = BTreeSet::new();
        for attempt in runs {
            match seen.0.get(&attempt.server) {
                Some(name) => drop(servers.insert(name)),
                None => drop(unseen.insert(attempt.server)),
            }
        }
        if servers.len() + unseen.len() > usize::from(request.route.servers_max) {
            found.push(Inconsistency::TooManyServers(request.seq, index));
        }
    }
}

fn has_bundle_in_flight(request: &ActiveRequest, index: usize) -> bool {
    let bundles = request.bundles.iter();
    { bundles }.any(|b| b.parts.contains(&index) && b.attempt.is_in_flight())
}
