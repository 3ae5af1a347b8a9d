//! What the platform's object service answers.

use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// The largest content that the platform takes, in bytes.
pub const OBJECT_MAX_BYTES: usize = 1_000_000;

/// A version of an object: the store's revision at its last write. Versions never repeat.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// As a condition: the object must not exist.
    pub const ABSENT: Self = Self(0);
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// An object as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Its version.
    pub version: Version,
    /// Its content.
    pub content: Bytes,
}

/// An object as listed, without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its path.
    pub path: String,
    /// Its version.
    pub version: Version,
}

/// The objects under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The store's revision, to watch from.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<Entry>,
}

/// An object that changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedObject {
    /// Its path.
    pub path: String,
    /// Its version now.
    pub version: Version,
    /// Whether it is gone.
    #[serde(default)]
    pub deleted: bool,
}

/// What a watch brought.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// The store's revision, to watch on from.
    pub revision: u64,
    /// What changed; empty if the wait was over first.
    pub changed: Vec<ChangedObject>,
}
