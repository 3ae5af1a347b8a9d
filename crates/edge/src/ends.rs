//! One log line for each request that did not end whole and on time, and the totals of all.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use gs_actor::lock;
use gs_relay::Outcome;
use gs_relay::RequestReport;
use gs_types::pace::Pace;
use gs_types::prelude::*;

use crate::metrics::Metrics;

/// The most requests told of in a second; each is told whole, with its attempts, or not at all. How many
/// were left out is told with the next one.
const REQUESTS_PER_SECOND: u32 = 10;

/// Writes what an engineer wants to know of requests that went wrong, and measures all.
pub(crate) struct Ends {
    pace: Mutex<Pace>,
    metrics: Arc<Metrics>,
}

impl Ends {
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            pace: Mutex::new(Pace::new(REQUESTS_PER_SECOND)),
            metrics,
        }
    }

    /// Notes the end of a request.
    pub(crate) fn note(&self, id: &str, path: &str, is_handed: bool, e: &RequestReport) {
        let (outcome, reason) = kind_of(e);
        self.metrics.request(outcome, reason, e.took);
        if outcome == WHOLE {
            return;
        }
        let Some(left_out) = lock(&self.pace).take(Instant::now()) else {
            return;
        };
        let (whole, parts) = e.parts;
        log::info!(
            "event=request-end id={id} path={path} route={} version={} handed={is_handed} \
             outcome={outcome} reason={reason} took_ms={} objective_ms={} parts={whole}/{parts} \
             given_up={} extra={} left_out={left_out}",
            e.route.as_ref().map_or("", LookupName::as_str),
            e.version.unwrap_or_default(),
            e.took.as_millis(),
            e.objective.as_millis(),
            e.abandoned,
            e.extra,
        );
        for s in &e.attempt_log {
            log::info!(
                "event=request-attempt id={id} shard={} service={} server={} cause={} at_ms={} \
                 took_ms={} end={}",
                s.shard,
                s.service,
                s.server.as_ref().map_or("", ServerName::as_str),
                s.cause,
                s.at.as_millis(),
                s.took.map_or(-1, |t| t.as_millis() as i64),
                s.end,
            );
        }
    }
}

/// The outcome of a request that was whole and on time.
const WHOLE: &str = "whole";

/// How a request ended, and why if it was refused or failed.
fn kind_of(e: &RequestReport) -> (&'static str, &'static str) {
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
