//! Logs lookups that end without some of their shards.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use gs_limit::Distance;

use crate::attempt::Attempt;
use crate::engine_state::EngineState;
use crate::lookup::ActiveLookup;
use crate::lookup::LookupShard;
use crate::lookup::ShardState;

/// The maximum number of incomplete lookups logged per second, which bounds the log while every
/// lookup ends incomplete.
pub(crate) const LOGGED_LOOKUPS_PER_SECOND: u32 = 10;

impl EngineState {
    /// Logs an incomplete lookup: the state and attempts of each missing shard, and what limits its
    /// hedges.
    pub(crate) fn log_incomplete(&mut self, now: Instant, lk: &ActiveLookup) {
        if !log::log_enabled!(log::Level::Info) {
            return;
        }
        let Some(left_out) = self.incomplete_log_limit.try_acquire(now) else {
            return;
        };
        let hedge = &self.groups[lk.group].hedge_policy;
        let hedge_delay = |distance| OptionalMillis(hedge.delay(distance));
        let missing = lk.shards.iter().filter(|s| s.state != ShardState::Whole);
        let missing: Vec<String> = missing.map(|s| self.describe_shard(now, s)).collect();
        log::info!(
            "event=lookup-short lookup={} group={} promise={} whole={} of={} took_ms={} hedge_near_ms={} \
             hedge_far_ms={} extra_left={:.1} left_out={left_out} missing=\"{}\"",
            lk.seq,
            self.groups[lk.group].name,
            lk.decl.promise,
            lk.complete_parts,
            lk.shards.len(),
            now.saturating_duration_since(lk.arrived_at).as_millis(),
            hedge_delay(Distance::SameDataCentre),
            hedge_delay(Distance::OtherDataCentre),
            self.extra_budget.available(),
            missing.join("; "),
        );
    }

    fn describe_shard(&self, now: Instant, shard: &LookupShard) -> String {
        let attempts: Vec<String> = shard
            .attempts
            .iter()
            .map(|a| self.describe_attempt(now, a))
            .collect();
        format!("{} {} [{}]", shard.id, shard.state, attempts.join(", "))
    }

    /// Formats an attempt: its server, distance, cause, state, and age in milliseconds since it was
    /// dispatched.
    fn describe_attempt(&self, now: Instant, a: &Attempt) -> String {
        let view = self.servers.view(a.server);
        let distance = if view.is_local() { "near" } else { "far" };
        let age = now.saturating_duration_since(a.dispatched_at).as_millis();
        format!(
            "{} {distance} {} {} {age}",
            view.decl().name,
            a.cause,
            a.state
        )
    }
}

/// A duration displayed in milliseconds, or `-` if there is none.
struct OptionalMillis(Option<Duration>);

impl fmt::Display for OptionalMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(time) => write!(f, "{}", time.as_millis()),
            None => f.write_str("-"),
        }
    }
}
