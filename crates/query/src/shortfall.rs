//! What the log tells of a lookup that ends without some of its shards.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use gs_limit::Distance;

use crate::attempt::Attempt;
use crate::core::Core;
use crate::lookup::LookupRun;
use crate::lookup::ShardRun;
use crate::lookup::ShardState;

/// The most lookups told of in a second, so that the log stays small while every lookup ends short.
pub(crate) const LOOKUPS_PER_SECOND: u32 = 10;

impl Core {
    /// Logs a lookup that ends short: what each missing shard was doing, and what bounds its hedges.
    pub(crate) fn log_shortfall(&mut self, now: Instant, lk: &LookupRun) {
        if !log::log_enabled!(log::Level::Info) {
            return;
        }
        let Some(left_out) = self.shortfalls.take(now) else {
            return;
        };
        let hedge = &self.groups[lk.group].hedge;
        let after = |from| Millis(hedge.delay(from));
        let missing = lk.shards.iter().filter(|s| s.state != ShardState::Whole);
        let missing: Vec<String> = missing.map(|s| self.tell_shard(now, s)).collect();
        log::info!(
            "event=lookup-short lookup={} group={} promise={} whole={} of={} took_ms={} hedge_near_ms={} \
             hedge_far_ms={} extra_left={:.1} left_out={left_out} missing=\"{}\"",
            lk.seq,
            self.groups[lk.group].name,
            lk.decl.promise,
            lk.whole,
            lk.shards.len(),
            now.saturating_duration_since(lk.arrived).as_millis(),
            after(Distance::Near),
            after(Distance::Far),
            self.budget.available(),
            missing.join("; "),
        );
    }

    fn tell_shard(&self, now: Instant, shard: &ShardRun) -> String {
        let attempts: Vec<String> = shard
            .attempts
            .iter()
            .map(|a| self.tell_attempt(now, a))
            .collect();
        format!("{} {} [{}]", shard.id, shard.state, attempts.join(", "))
    }

    /// An attempt with its server, its kind, its state, and its age in milliseconds since it was handed over.
    fn tell_attempt(&self, now: Instant, a: &Attempt) -> String {
        let view = self.servers.view(a.server);
        let place = if view.is_local() { "near" } else { "far" };
        let age = now.saturating_duration_since(a.at).as_millis();
        format!("{} {place} {} {} {age}", view.decl().name, a.kind, a.state)
    }
}

/// A time in milliseconds, or `-` if there is none.
struct Millis(Option<Duration>);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(time) => write!(f, "{}", time.as_millis()),
            None => f.write_str("-"),
        }
    }
}
