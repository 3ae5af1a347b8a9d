//! The limits for callers, and the settings of lookups.

use std::time::Duration;

use gs_types::prelude::*;
use serde::Serialize;

use crate::choices::Policy;
use crate::fraction::Fraction;

/// The limits for callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, bon::Builder)]
#[serde(rename_all = "kebab-case")]
pub struct Callers {
    /// The largest size of a request body.
    #[builder(default = Bytes(64 << 10))]
    pub body: Bytes,
    /// The largest size of a request head.
    #[builder(default = Bytes(16 << 10))]
    pub headers: Bytes,
    /// The longest time that a request's head may take to arrive.
    #[serde(with = "humantime_serde")]
    #[builder(default = Duration::from_secs(2))]
    pub header_timeout: Duration,
    /// The longest time that a request's body may take to arrive.
    #[serde(with = "humantime_serde")]
    #[builder(default = Duration::from_secs(2))]
    pub body_timeout: Duration,
    /// The largest number of lookups in flight.
    #[builder(default = 2000)]
    pub in_flight: u32,
    /// The largest number of open connections from callers.
    #[builder(default = Connections(4096))]
    pub connections: Connections,
}

impl Default for Callers {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// The policy for decisions on lookups.
#[derive(Clone, Debug, PartialEq, Serialize, bon::Builder)]
#[serde(rename_all = "kebab-case")]
pub struct Tuning {
    /// The policy that is used.
    #[builder(default)]
    pub policy: Policy,
    /// The number of hedges and retries together that are allowed per initial attempt.
    #[builder(default = default_extra_budget())]
    pub extra_budget: Fraction,
    /// The seed of the decisions' random numbers; chosen at random at startup if `None`.
    pub seed: Option<u64>,
}

impl Default for Tuning {
    fn default() -> Self {
        Self::builder().build()
    }
}

fn default_extra_budget() -> Fraction {
    Fraction::new(0.03).unwrap_or_default()
}

/// The claims of at-most-once lookups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Claims {
    /// The largest age of an idempotency key; older keys are always refused.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// The largest difference between the clocks of callers and VMs.
    #[serde(with = "humantime_serde")]
    pub skew: Duration,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(24 * 60 * 60),
            skew: Duration::from_secs(30),
        }
    }
}
