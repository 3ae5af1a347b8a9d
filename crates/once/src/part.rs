//! Claim objects: their paths and content.

use std::fmt;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::claim::AskId;
use crate::claim::KeyHash;

/// The minute in which a key was minted, counted from the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Window(pub u64);

/// Seconds in a window.
pub(crate) const WINDOW_SECONDS: u64 = 60;

impl Window {
    /// The window of a time in seconds since the Unix epoch.
    #[must_use]
    pub fn at(seconds: u64) -> Self {
        Self(seconds / WINDOW_SECONDS)
    }
}

/// Names a claim object: the claims of one bucket and window, cut into parts of bounded size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartPath {
    /// When the keys were minted.
    pub window: Window,
    /// The bucket that the keys hash to.
    pub bucket: u16,
    /// Counts from 0; a part exists only when the one before it is full.
    pub part: u32,
}

impl fmt::Display for PartPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "claims/{}/{}/{}", self.window.0, self.bucket, self.part)
    }
}

/// An entry of a claim object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key, hashed.
    pub key: KeyHash,
    /// Whose claim it is.
    pub id: AskId,
    /// What that lookup asks.
    pub fingerprint: Fingerprint,
}

/// The content of a claim object; entries are only ever added.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The entries, in the order they were made.
    pub claims: Vec<Claim>,
}
