//! Settings of the backend servers' views.

use std::time::Duration;

/// Settings of the backend servers' views.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteOptions {
    /// How long a cold server takes to get its full share of attempts.
    pub slow_start: Duration,
    /// The first rest of a server that was set aside; doubled each time in a row.
    pub ejection_min: Duration,
    /// The longest rest.
    pub ejection_max: Duration,
    /// How much longer a server rests whose health endpoint does not answer either, so that dead
    /// servers are not probed with lookups all the time; bounded, as endpoints mislead.
    pub ejection_silent: Duration,
    /// The weight of failures in a row at which a server is set aside; see
    /// [`Failure::weight`](crate::Failure::weight).
    pub failures_max: u32,
    /// How long what a server says of its snapshots in a reply outweighs its health endpoint.
    pub self_report: Duration,
}

impl Default for RouteOptions {
    fn default() -> Self {
        Self {
            slow_start: Duration::from_secs(3),
            ejection_min: Duration::from_millis(250),
            ejection_max: Duration::from_secs(5),
            ejection_silent: Duration::from_secs(20),
            failures_max: 4,
            self_report: Duration::from_secs(3),
        }
    }
}
