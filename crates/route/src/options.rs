//! Settings of slow start, ejection and snapshot reports of backend servers.

use std::time::Duration;

/// Settings of slow start, ejection and snapshot reports of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteOptions {
    /// The duration of slow start, until a cold server gets its full share of attempts.
    pub slow_start: Duration,
    /// The first ejection time of a server; doubled with each consecutive ejection.
    pub ejection_min: Duration,
    /// The longest ejection time.
    pub ejection_max: Duration,
    /// The additional ejection time of a server whose health endpoint does not answer either, so that
    /// crashed servers are not probed with lookups all the time; bounded, because a health endpoint
    /// may be wrong.
    pub ejection_silent: Duration,
    /// The weight of consecutive failures at which a server is ejected; see
    /// [`ServerFailure::weight`](crate::ServerFailure::weight).
    pub failures_max: u32,
    /// How long the snapshots that a server reported in a reply take precedence over those of its
    /// health endpoint.
    pub self_report_lifetime: Duration,
}

impl Default for RouteOptions {
    fn default() -> Self {
        Self {
            slow_start: Duration::from_secs(3),
            ejection_min: Duration::from_millis(250),
            ejection_max: Duration::from_secs(5),
            ejection_silent: Duration::from_secs(20),
            failures_max: 4,
            self_report_lifetime: Duration::from_secs(3),
        }
    }
}
