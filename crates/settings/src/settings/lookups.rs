//! What callers may send, and how their lookups are decided.

use std::time::Duration;

use gs_types::prelude::*;
use serde::Serialize;

use crate::fraction::Fraction;
use crate::words::Policy;

/// Bounds on callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, bon::Builder)]
#[serde(rename_all = "kebab-case")]
pub struct Callers {
    /// The largest request body.
    #[builder(default = Bytes(64 << 10))]
    pub body: Bytes,
    /// The largest request head.
    #[builder(default = Bytes(16 << 10))]
    pub headers: Bytes,
    /// The longest that a request's head may take to arrive.
    #[serde(with = "humantime_serde")]
    #[builder(default = Duration::from_secs(2))]
    pub header_timeout: Duration,
    /// The longest that a request's body may take to arrive.
    #[serde(with = "humantime_serde")]
    #[builder(default = Duration::from_secs(2))]
    pub body_timeout: Duration,
    /// The most lookups in flight.
    #[builder(default = 2000)]
    pub in_flight: u32,
    /// The most connections held open.
    #[builder(default = Connections(4096))]
    pub connections: Connections,
}

impl Default for Callers {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// The decisions' policy.
#[derive(Clone, Debug, PartialEq, Serialize, bon::Builder)]
#[serde(rename_all = "kebab-case")]
pub struct Tuning {
    /// Which set of decisions runs.
    #[builder(default)]
    pub policy: Policy,
    /// Hedges and retries together, allowed for each first attempt.
    #[builder(default = extra())]
    pub extra_budget: Fraction,
    /// The seed of the decisions' random numbers; drawn at start if `None`.
    pub seed: Option<u64>,
}

impl Default for Tuning {
    fn default() -> Self {
        Self::builder().build()
    }
}

fn extra() -> Fraction {
    Fraction::new(0.03).unwrap_or_default()
}

/// The claims of at-most-once lookups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Claims {
    /// How old an idempotency key may be; older ones are refused for ever.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// How far the clocks of callers and VMs may differ.
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
