//! One log line for each request that did not end whole and on time, and the totals of all.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use gs_actor::lock;
use gs_relay::Ending;
use gs_relay::Outcome;

/// The most lines a second; what is left out is counted and told with the next line.
const LINES_PER_SECOND: u32 = 50;

/// Writes what an engineer wants to know of requests that went wrong.
#[derive(Default)]
pub(crate) struct Ends(Mutex<Pace>);

#[derive(Default)]
struct Pace {
    second: Option<Instant>,
    lines: u32,
    left_out: u64,
}

impl Ends {
    /// Notes the end of a request.
    pub(crate) fn note(&self, id: &str, path: &str, is_handed: bool, e: &Ending) {
        let is_late = e.took > e.objective;
        let (outcome, reason): (&str, &str) = match &e.outcome {
            Outcome::Relayed(a) if !a.status.is_success() => ("relayed-failure", a.status.as_str()),
            Outcome::Relayed(_) | Outcome::Page(_) if is_late => ("late", ""),
            Outcome::Page(p) if !p.missing.is_empty() => ("partial", ""),
            Outcome::Relayed(_) | Outcome::Page(_) => return,
            Outcome::Refused(reason, _) => ("refused", reason.into()),
            Outcome::Failed(reason) => ("failed", reason.into()),
        };
        let Some(left_out) = self.may_write() else {
            return;
        };
        let (whole, parts) = e.parts;
        log::info!(
            "event=request-end id={id} path={path} handed={is_handed} outcome={outcome} reason={reason} took_ms={} \
             objective_ms={} parts={whole}/{parts} extra={} left_out={left_out}",
            e.took.as_millis(),
            e.objective.as_millis(),
            e.extra,
        );
    }

    /// Whether a line may be written now, and how many were left out since the last.
    fn may_write(&self) -> Option<u64> {
        let mut pace = lock(&self.0);
        let now = Instant::now();
        let is_new = pace
            .second
            .is_none_or(|s| now.saturating_duration_since(s) >= Duration::from_secs(1));
        if is_new {
            pace.second = Some(now);
            pace.lines = 0;
        }
        if pace.lines >= LINES_PER_SECOND {
            pace.left_out += 1;
            return None;
        }
        pace.lines += 1;
        Some(std::mem::take(&mut pace.left_out))
    }
}
