//! Logs each request that was not answered completely and on time, and records the latency of all requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use gs_actor::lock;
use gs_relay::Outcome;
use gs_relay::RequestReport;
use gs_types::prelude::*;
use gs_types::rate_limit::RateLimit;

use crate::metrics::Metrics;

/// The largest number of requests logged per second. Each is logged completely, with its attempts, or not at all; the
/// number of suppressed ones is logged with the next.
const LOGGED_REQUESTS_PER_S_MAX: u32 = 10;

/// Logs what operators need to know of requests that went wrong, and records the latency of all.
pub(crate) struct RequestLog {
    rate_limit: Mutex<RateLimit>,
    metrics: Arc<Metrics>,
}

impl RequestLog {
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            rate_limit: Mutex::new(RateLimit::new(LOGGED_REQUESTS_PER_S_MAX)),
            metrics,
        }
    }

    /// Records the end of a request.
    pub(crate) fn record(&self, id: &str, path: &str, is_delegated: bool, e: &RequestReport) {
        let (outcome, reason) = outcome_and_reason(e);
        self.metrics.record_request(outcome, reason, e.took);
        if outcome == WHOLE {
            return;
        }
        let Some(suppressed) = lock(&self.rate_limit).try_acquire(Instant::now()) else {
            return;
        };
        let (complete, parts) = e.parts;
        log::info!(
            "event=request-end id={id} path={path} route={} version={} handed={is_delegated} \
             outcome={outcome} reason={reason} took_ms={} objective_ms={} parts={complete}/{parts} \
             given_up={} extra={} resent={} rejected={} left_out={suppressed}",
            e.route.as_ref().map_or("", LookupName::as_str),
            e.version.unwrap_or_default(),
            e.took.as_millis(),
            e.objective.as_millis(),
            e.abandoned,
            e.extra,
            e.resent,
            e.rejected,
        );
        for s in &e.attempt_log {
            log::info!(
                "event=request-attempt id={id} shard={} service={} server={} cause={} at_ms={} \
                 took_ms={} end={} budget={}",
                s.shard,
                s.service,
                s.server.as_ref().map_or("", ServerName::as_str),
                s.cause,
                s.at.as_millis(),
                s.took.map_or(-1, |t| t.as_millis() as i64),
                s.end,
                s.budget_use.map_or_else(String::new, |b| b.to_string()),
            );
        }
    }
}

/// The outcome of a request that was answered completely and on time.
const WHOLE: &str = "whole";

/// Returns how a request ended, and why if it was refused or failed.
fn outcome_and_reason(e: &RequestReport) -> (&'static str, &'static str) {
    let is_late = e.took > e.objective;
    match &e.outcome {
        Outcome::Relayed(a) if !a.status.is_success() => ("relayed-failure", ""),
        Outcome::Relayed(_) | Outcome::Page(_) if is_late => ("late", ""),
        Outcome::Page(p) if !p.missing.is_empty() => ("partial", ""),
        Outcome::Relayed(_) | Outcome::Page(_) => (WHOLE, ""),
        Outcome::Refused(reason, _) => ("refused", reason.into()),
        Outcome::Failed(reason) => ("failed", reason.into()),
    }
}
