//! The outcomes stated for a trace: a TOML file that a person writes and reviews.

use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// What a replay must come to. What is not stated is not compared.
///
/// ```
/// let e = gs_trace::Expectations::parse(
///     r#"
///     [[lookup]]
///     seq = 1
///     outcome = "answered"
///     snapshot = 7
///     missing = ["3 late"]
///     by = "100ms"
///
///     [[server]]
///     name = "s4"
///     after = "3s"
///     dispatches-max = 0
///     "#,
/// )?;
/// assert_eq!(e.lookup.len(), 1);
/// # Ok::<(), gs_types::prelude::Error>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Expectations {
    /// Stated lookups.
    #[serde(default)]
    pub lookup: Vec<LookupExpectation>,
    /// Stated backend servers.
    #[serde(default)]
    pub server: Vec<ServerExpectation>,
}

impl Expectations {
    /// Reads a file's text.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] with the line and the reason.
    pub fn parse(text: &str) -> Result<Self> {
        toml::from_str(text).map_err(|e| {
            Error::new(ErrorKind::BadInput, e.to_string().trim_end())
                .at("read outcomes")
                .with_hint("docs/TRACES.md lists the keys")
        })
    }
}

/// How a lookup ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum OutcomeKind {
    /// With a page.
    Answered,
    /// Refused, and nothing ran.
    NotRun,
    /// Refused, and it may have run.
    Unknown,
    /// Not by the end of the trace.
    Pending,
}

impl OutcomeKind {
    /// The kind of an outcome.
    #[must_use]
    pub fn of(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Answered(_) => Self::Answered,
            Outcome::NotRun(_) => Self::NotRun,
            Outcome::Unknown(_) => Self::Unknown,
        }
    }
}

/// What a lookup must come to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LookupExpectation {
    /// The lookup.
    pub seq: LookupSeq,
    /// How it ends.
    pub outcome: OutcomeKind,
    /// For a refusal: why.
    pub reason: Option<RefusalReason>,
    /// For a refusal: whether it says when to come back.
    pub retry_after: Option<bool>,
    /// For a page: the snapshot.
    pub snapshot: Option<SnapshotId>,
    /// For a page: the shards asked.
    pub shards: Option<u32>,
    /// For a page: the shards whole.
    pub whole: Option<u32>,
    /// The missing shards, each as its number and the reason, such as `3 late`.
    pub missing: Option<Vec<String>>,
    /// For a page: the documents, best first.
    pub docs: Option<Vec<String>>,
    /// For a page: whether it ended early.
    pub ended_early: Option<bool>,
    /// The outcome is there at this time since the start of the trace, or before.
    #[serde(default, with = "humantime_serde")]
    pub by: Option<Duration>,
    /// Attempts dispatched, exactly.
    pub dispatches: Option<u32>,
    /// Attempts dispatched, at most.
    pub dispatches_max: Option<u32>,
}

/// What a backend server must be given, or not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServerExpectation {
    /// The server.
    pub name: ServerName,
    /// Only dispatches from this time on count.
    #[serde(default, with = "humantime_serde")]
    pub after: Duration,
    /// Only dispatches before this time count.
    #[serde(default, with = "humantime_serde")]
    pub before: Option<Duration>,
    /// Only dispatches of this lookup count.
    pub lookup: Option<LookupSeq>,
    /// The most dispatches.
    pub dispatches_max: Option<u32>,
    /// The least dispatches.
    pub dispatches_min: Option<u32>,
}
