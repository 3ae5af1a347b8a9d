//! Running totals for metrics.

use serde::Serialize;

/// Totals since the relay started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests that arrived.
    pub arrivals: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests answered after their objective, also with a failure forwarded from a server; those
    /// that failed are counted in `failed` only.
    pub late: u64,
    /// Pages without every shard.
    pub partial: u64,
    /// Requests whose caller disconnected before the response.
    pub gone: u64,
    /// Bundles of parts delegated to other VMs.
    pub bundles: u64,
    /// Bundles that failed.
    pub bundles_failed: u64,
    /// Attempts made.
    pub attempts: u64,
    /// Attempts made in parallel with a slow one.
    pub hedges: u64,
    /// Hedges whose answer arrived first.
    pub hedges_won: u64,
    /// Attempts made after one that failed.
    pub retries: u64,
    /// Attempts repeated without the budget, as the one before had not reached its server.
    pub resent: u64,
    /// Extra attempts not made because the budget was used up.
    pub extra_refused: u64,
    /// Attempts that servers refused for load.
    pub sheds: u64,
    /// Attempts rejected by another server that has the address.
    pub misdirected: u64,
    /// Attempts that ended with a broken connection, a malformed answer or a timeout.
    pub broken: u64,
    /// Attempts that servers had when they ended, which count as evidence against their requests.
    pub crashes: u64,
    /// Requests that this VM found to crash servers.
    pub quarantines: u64,
    /// Arrivals refused because the request is in quarantine.
    pub quarantined: u64,
}
