//! The settings of a process's shutdown, and the times that follow from them.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The fraction of [`Shutdown::grace`] after which every request gets its final response.
const ANSWER_FRACTION: f64 = 0.9;

/// The fraction of [`Shutdown::grace`] after which the process exits at the latest; responses are written until then.
const EXIT_FRACTION: f64 = 0.95;

/// The time in which the balancer notices: two probes, a second apart, and the time for the second to fail.
const LAG_DEFAULT: Duration = Duration::from_millis(2500);

/// The shutdown of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Shutdown {
    /// How long it continues to accept connections at least after it reports not ready; at least the time in which the
    /// balancer notices. 2.5 s if it is not set, or half of the grace if that is shorter.
    #[serde(with = "humantime_serde")]
    pub lag: Option<Duration>,
    /// The time from SIGTERM until the platform kills the process.
    #[serde(with = "humantime_serde")]
    pub grace: Duration,
}

impl Shutdown {
    /// Returns how long connections are accepted at least.
    #[must_use]
    pub fn lag(&self) -> Duration {
        self.lag.unwrap_or(LAG_DEFAULT.min(self.grace / 2))
    }

    /// Returns the time from SIGTERM until every request gets its final response.
    #[must_use]
    pub fn answer_after(&self) -> Duration {
        self.grace.mul_f64(ANSWER_FRACTION)
    }

    /// Returns the longest time from SIGTERM to the exit.
    #[must_use]
    pub fn exit_after(&self) -> Duration {
        self.grace.mul_f64(EXIT_FRACTION)
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            lag: None,
            grace: Duration::from_secs(6),
        }
    }
}
