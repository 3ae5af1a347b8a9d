//! The error type shared by all crates: a kind for programs, and a step, a peer and a hint for
//! operators.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A result whose error is [`Error`](struct@Error) by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The kind of an error, for programs to branch on.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ErrorKind {
    /// External input does not parse or breaks a rule.
    BadInput,
    /// The named object does not exist.
    NotFound,
    /// The named version is no longer the newest, or another write was first.
    Conflict,
    /// The caller is not allowed to do this.
    Forbidden,
    /// The peer could not be reached or did not answer in time.
    Unavailable,
    /// The write may or may not have taken effect.
    Unknown,
    /// A limit on size, count or time was exceeded.
    TooMuch,
    /// The message has a version that this process does not support.
    Version,
    /// Local I/O failed.
    Io,
}

/// An error with the step and the peer at which it occurred, and a hint how to fix it.
///
/// # Examples
///
/// ```
/// use gs_types::prelude::*;
///
/// let e = Error::new(ErrorKind::Unavailable, "no answer within 2s")
///     .at("read config")
///     .from_peer("127.0.0.1:7000")
///     .with_hint("check `platform.addr`");
/// assert_eq!(
///     e.to_string(),
///     "no answer within 2s (step: read config, peer: 127.0.0.1:7000)"
/// );
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    kind: ErrorKind,
    text: String,
    step: Option<String>,
    peer: Option<String>,
    hint: Option<String>,
}

impl Error {
    /// Creates an error of the given kind; `text` says what happened.
    #[must_use]
    pub fn new(kind: ErrorKind, text: impl Into<String>) -> Self {
        Self {
            kind,
            text: text.into(),
            step: None,
            peer: None,
            hint: None,
        }
    }

    /// Adds the step that failed; a step that was already added stays, so the innermost one is
    /// shown.
    #[must_use]
    pub fn at(mut self, step: impl Into<String>) -> Self {
        self.step.get_or_insert_with(|| step.into());
        self
    }

    /// Adds the peer that the step communicated with; a peer that was already added stays.
    #[must_use]
    pub fn from_peer(mut self, peer: impl Into<String>) -> Self {
        self.peer.get_or_insert_with(|| peer.into());
        self
    }

    /// Adds a hint how to fix the error; a hint that was already added stays.
    #[must_use]
    pub fn with_hint(mut self, hint: impl Into<String>) -> Self {
        self.hint.get_or_insert_with(|| hint.into());
        self
    }

    /// Returns the kind of the error.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the step that failed, if known.
    #[must_use]
    pub fn step(&self) -> Option<&str> {
        self.step.as_deref()
    }

    /// Returns the peer that the step communicated with, if any.
    #[must_use]
    pub fn peer(&self) -> Option<&str> {
        self.peer.as_deref()
    }

    /// Returns the hint how to fix the error, if any.
    #[must_use]
    pub fn hint(&self) -> Option<&str> {
        self.hint.as_deref()
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)?;
        match (&self.step, &self.peer) {
            (Some(s), Some(p)) => write!(f, " (step: {s}, peer: {p})"),
            (Some(s), None) => write!(f, " (step: {s})"),
            (None, Some(p)) => write!(f, " (peer: {p})"),
            (None, None) => Ok(()),
        }
    }
}

impl std::error::Error for Error {}
