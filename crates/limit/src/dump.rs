//! What an operator sees of admission.

use serde::Serialize;

/// The admission policy's state.
#[derive(Clone, Debug, Default, Serialize)]
pub struct AdmissionDump {
    /// The policy's name.
    pub policy: &'static str,
    /// Lookups that it lets be in flight at most.
    pub limit: f64,
    /// The part of its time that a lookup's parts may need on the mean; 1 if it does not look.
    pub fill: f64,
    /// Whether it sees overload.
    pub overloaded: bool,
}
