//! The outcomes expected of a trace: a TOML file written and reviewed by hand.

use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

/// The expected outcome of a replay. Keys that are absent are not compared.
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
    /// The expected lookups.
    #[serde(default)]
    pub lookup: Vec<LookupExpectation>,
    /// The expected dispatches to backend servers.
    #[serde(default)]
    pub server: Vec<ServerExpectation>,
}

impl Expectations {
    /// Parses the text of a file.
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
    /// It is answered with a page.
    Answered,
    /// It is refused, and nothing ran.
    NotRun,
    /// It is refused, and it may have run.
    Unknown,
    /// It has not ended by the end of the trace.
    Pending,
}

impl OutcomeKind {
    /// Returns the kind of an outcome.
    #[must_use]
    pub fn of(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Answered(_) => Self::Answered,
            Outcome::NotRun(_) => Self::NotRun,
            Outcome::Unknown(_) => Self::Unknown,
        }
    }
}

/// The expected end of a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LookupExpectation {
    /// The sequence number of the lookup.
    pub seq: LookupSeq,
    /// How it ends.
    pub outcome: OutcomeKind,
    /// For a refusal: the reason.
    pub reason: Option<RefusalReason>,
    /// For a refusal: whether it says when to retry.
    pub retry_after: Option<bool>,
    /// For a page: the snapshot.
    pub snapshot: Option<SnapshotId>,
    /// For a page: the number of shards queried.
    pub shards: Option<u32>,
    /// For a page: the number of shards that are complete.
    pub whole: Option<u32>,
    /// The missing shards, each as its number and the reason, for example `3 late`.
    pub missing: Option<Vec<String>>,
    /// For a page: the documents, best first.
    pub docs: Option<Vec<String>>,
    /// For a page: whether it ended early.
    pub ended_early: Option<bool>,
    /// The latest time of the outcome, since the start of the trace.
    #[serde(default, with = "humantime_serde")]
    pub by: Option<Duration>,
    /// The exact number of attempts dispatched.
    pub dispatches: Option<u32>,
    /// The largest number of attempts dispatched.
    pub dispatches_max: Option<u32>,
}

/// The expected dispatches to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ServerExpectation {
    /// The name of the server.
    pub name: ServerName,
    /// Only dispatches from this time on count.
    #[serde(default, with = "humantime_serde")]
    pub after: Duration,
    /// Only dispatches before this time count.
    #[serde(default, with = "humantime_serde")]
    pub before: Option<Duration>,
    /// Only dispatches of this lookup count.
    pub lookup: Option<LookupSeq>,
    /// The largest number of dispatches.
    pub dispatches_max: Option<u32>,
    /// The smallest number of dispatches.
    pub dispatches_min: Option<u32>,
}
