//! The error that crosses crate borders: a kind for programs, a step, a peer and a hint for people.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The result of a fallible step.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What went wrong, for programs to branch on.
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
    /// What came from outside does not parse or breaks a rule.
    BadInput,
    /// The thing named does not exist.
    NotFound,
    /// The version named is no longer the newest, or another write was first.
    Conflict,
    /// The caller may not do this.
    Forbidden,
    /// The peer could not be reached or did not answer in time.
    Unavailable,
    /// The write may or may not have taken effect.
    Unknown,
    /// A bound on size, count or time was passed.
    TooMuch,
    /// A message of a version that this process does not speak.
    Version,
    /// Local I/O failed.
    Io,
}

/// An error with the step and the peer at which it arose, and a hint how to fix it.
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
    /// Starts an error of this kind with what happened.
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

    /// Names the step that failed; the innermost step named first stays.
    #[must_use]
    pub fn at(mut self, step: impl Into<String>) -> Self {
        self.step.get_or_insert_with(|| step.into());
        self
    }

    /// Names the peer that was being talked to.
    #[must_use]
    pub fn from_peer(mut self, peer: impl Into<String>) -> Self {
        self.peer.get_or_insert_with(|| peer.into());
        self
    }

    /// Says how to fix it.
    #[must_use]
    pub fn with_hint(mut self, hint: impl Into<String>) -> Self {
        self.hint.get_or_insert_with(|| hint.into());
        self
    }

    /// The kind, for programs.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// The step that failed, if named.
    #[must_use]
    pub fn step(&self) -> Option<&str> {
        self.step.as_deref()
    }

    /// The peer that was being talked to, if any.
    #[must_use]
    pub fn peer(&self) -> Option<&str> {
        self.peer.as_deref()
    }

    /// How to fix it, if known.
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
