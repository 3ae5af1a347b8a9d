//! The state of admission control for operators.

use serde::Serialize;

/// The admission policy's state.
#[derive(Clone, Debug, Default, Serialize)]
pub struct AdmissionDump {
    /// The policy's name.
    pub policy: &'static str,
    /// The most lookups in flight that it admits.
    pub limit: f64,
    /// The fraction of a lookup's time budget that its parts may need on the mean; 1 if the policy
    /// does not check it.
    pub fill: f64,
    /// Whether it reports overload.
    pub overloaded: bool,
}
