//! Settings whose value is one of a few words.

use serde::Deserialize;
use serde::Serialize;

/// The policy for decisions on lookups.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// The default policy, chosen by measurements.
    #[default]
    Chosen,
    /// The simple baseline policy that measurements compare the default with.
    Baseline,
}

/// The level of detail of the log; each level includes the ones before it.
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
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// Conditions that need an operator.
    Error,
    /// Unusual conditions.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// The result of each decision.
    Debug,
    /// Everything.
    Trace,
}
