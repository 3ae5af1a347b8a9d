//! The engine's settings and the choice of its policies.

use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// The set of policies that the engine runs; both keep the same guarantees.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyName {
    /// The baseline policy: round robin, no hedges, fixed timeouts, a fixed limit of lookups in
    /// flight.
    Baseline,
    /// The default policy: replicas chosen by this VM's own observations, hedges after a
    /// learned delay, adaptive admission.
    #[default]
    Chosen,
}

/// The engine's settings; the defaults suit every supported deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// The set of policies.
    pub policy: PolicyName,
    /// The maximum number of lookups in flight; further arrivals are refused. The admission policy
    /// applies it first, and may refuse arrivals below it.
    pub lookups_max: u32,
    /// The maximum number of attempts at one shard of one lookup, hedges included; attempts that were
    /// never sent do not count.
    pub tries_max: u16,
    /// Extra attempts (hedges and retries together) earned by each initial attempt.
    pub extra_ratio: f64,
    /// The maximum number of extra attempts saved up for a burst of failures.
    pub extra_burst: u32,
    /// Extra attempts earned per second without any load, so that an idle VM can retry.
    pub extra_floor: f64,
    /// The quantile of part latencies after which a part is hedged.
    pub hedge_quantile: f64,
    /// The time after which the baseline policy times out an attempt and retries it.
    #[serde(with = "humantime_serde")]
    pub attempt_timeout: Duration,
    /// How long a lookup that crashed two servers is refused.
    #[serde(with = "humantime_serde")]
    pub quarantine: Duration,
    /// How long suspicion lasts after a lookup broke a connection before any of its parts arrived.
    #[serde(with = "humantime_serde")]
    pub suspicion: Duration,
    /// The duration of a server's slow start, after which it gets its full share of attempts.
    #[serde(with = "humantime_serde")]
    pub slow_start: Duration,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            policy: PolicyName::Chosen,
            lookups_max: 4096,
            tries_max: 4,
            extra_ratio: 0.03,
            extra_burst: 256,
            extra_floor: 10.0,
            hedge_quantile: 0.97,
            attempt_timeout: Duration::from_millis(250),
            quarantine: Duration::from_secs(30),
            suspicion: Duration::from_secs(10),
            slow_start: Duration::from_secs(3),
        }
    }
}

impl EngineOptions {
    /// Checks the range of every option.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] with the option's name and its range.
    pub fn check(&self) -> Result<()> {
        let bad = |name: &str, range: &str| {
            Err(
                Error::new(ErrorKind::BadInput, format!("`{name}` is out of range"))
                    .at("check engine options")
                    .with_hint(format!("give `{name}` {range}")),
            )
        };
        if self.lookups_max == 0 {
            return bad("lookups_max", "at least 1");
        }
        if self.tries_max == 0 {
            return bad("tries_max", "at least 1");
        }
        if !(0.0..=1.0).contains(&self.extra_ratio) {
            return bad("extra_ratio", "from 0 to 1");
        }
        if !(0.0..=10_000.0).contains(&self.extra_floor) {
            return bad("extra_floor", "from 0 to 10000");
        }
        if !(0.5..1.0).contains(&self.hedge_quantile) {
            return bad("hedge_quantile", "from 0.5 to below 1");
        }
        Ok(())
    }
}
