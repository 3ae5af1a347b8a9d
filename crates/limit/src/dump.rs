//! What an operator sees of admission.

use serde::Serialize;

/// The admission policy's state.
#[derive(Clone, Debug, Default, Serialize)]
pub struct AdmissionDump {
    /// The policy's name.
    pub policy: &'static str,
    /// Lookups that it lets be in flight now.
    pub limit: f64,
    /// Whether it sees overload.
    pub overloaded: bool,
}
