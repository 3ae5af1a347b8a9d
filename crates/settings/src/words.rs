//! Settings that are one of a few words.

use serde::Deserialize;
use serde::Serialize;

/// Which set of decisions runs.
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
    /// The policy that the measurements chose.
    #[default]
    Chosen,
    /// The plain policy that measurements compare with.
    Baseline,
}

/// How much is logged.
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
    /// Only what needs a person.
    Error,
    /// And what is out of the ordinary.
    Warn,
    /// And what changes.
    #[default]
    Info,
    /// And what each decision was.
    Debug,
    /// Everything.
    Trace,
}
