//! Running totals, for metrics.

use serde::Serialize;

/// What the relay counted since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests that arrived.
    pub arrivals: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests answered after their objective.
    pub late: u64,
    /// Pages without every shard.
    pub partial: u64,
    /// Callers that hung up first.
    pub gone: u64,
    /// Bundles of parts left to other VMs.
    pub bundles: u64,
    /// Bundles that came to nothing.
    pub bundles_failed: u64,
    /// Attempts made.
    pub attempts: u64,
    /// Attempts made beside a slow one.
    pub hedges: u64,
    /// Hedges that answered first.
    pub hedges_won: u64,
    /// Attempts made after one that failed.
    pub retries: u64,
    /// Extra attempts wanted and not made, as the budget was used up.
    pub extra_refused: u64,
    /// Attempts that servers refused for load.
    pub sheds: u64,
    /// Attempts that broke, were spoilt or came too late.
    pub broken: u64,
}
