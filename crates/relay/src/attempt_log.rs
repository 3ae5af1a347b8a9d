//! Records of the attempts that explain a failed, late or incomplete request, for the log.

use std::time::Duration;
use std::time::Instant;

use gs_types::prelude::*;

use crate::active_request::ActiveRequest;
use crate::active_request::PartState;
use crate::attempt::Attempt;
use crate::attempt::Cause;
use crate::budget::BudgetUse;
use crate::servers::Servers;

/// The most records of one request; parts that were complete after their initial attempt explain
/// nothing and are skipped.
const RECORDS_MAX: usize = 24;

/// One attempt of a request, as logged.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    /// The shard, or 0 if there is only one part.
    pub shard: u16,
    /// The service; for a bundle, that of the peers.
    pub service: ServiceName,
    /// The server or peer; `None` if it is no longer known.
    pub server: Option<ServerName>,
    /// Why it was made.
    pub cause: Cause,
    /// When it was made, relative to the request's arrival.
    pub at: Duration,
    /// How long it took; `None` if it was in flight when the request ended.
    pub took: Option<Duration>,
    /// How it ended; `under-way` if it had not.
    pub end: &'static str,
    /// The budget's use after it was taken from it; `None` for an initial attempt.
    pub budget_use: Option<BudgetUse>,
}

/// Returns the attempts that explain how a request ended.
pub(crate) fn attempt_log(request: &ActiveRequest, servers: &Servers) -> Vec<AttemptRecord> {
    let mut records = Vec::new();
    for b in &request.bundles {
        let view = servers.get(b.attempt.server);
        let service = view.map(|v| v.entry.service.clone());
        let first = b.parts.first().and_then(|at| request.parts.get(*at));
        if let Some(service) = service.or_else(|| first.map(|p| p.service.clone())) {
            let shard = first.map_or(0, |p| p.shard);
            records.push(attempt_record(
                request.arrived_at,
                shard,
                service,
                &b.attempt,
                servers,
            ));
        }
    }
    for part in &request.parts {
        let is_plain = part.state == PartState::Complete && part.attempts.len() <= 1;
        if is_plain {
            continue;
        }
        for a in &part.attempts {
            records.push(attempt_record(
                request.arrived_at,
                part.shard,
                part.service.clone(),
                a,
                servers,
            ));
        }
    }
    records.truncate(RECORDS_MAX);
    records
}

fn attempt_record(
    arrived_at: Instant,
    shard: u16,
    service: ServiceName,
    a: &Attempt,
    servers: &Servers,
) -> AttemptRecord {
    AttemptRecord {
        shard,
        service,
        server: servers.get(a.server).map(|v| v.entry.name.clone()),
        cause: a.cause,
        at: a.dispatched_at.saturating_duration_since(arrived_at),
        took: a
            .ended
            .map(|(at, _)| at.saturating_duration_since(a.dispatched_at)),
        end: a.ended.map_or("under-way", |(_, how)| how),
        budget_use: a.budget_use,
    }
}
