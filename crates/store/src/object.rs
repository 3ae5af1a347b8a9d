//! Objects, lists and changes as the platform's object service returns them.

use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// Maximum size of an object's content that the platform accepts, in bytes.
pub const OBJECT_MAX_BYTES: usize = 1_000_000;

/// Version of an object: the object service's revision at its last write. Versions never repeat.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// As the condition of a write or delete: the object must not exist.
    pub const ABSENT: Self = Self(0);
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Object that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Its version.
    pub version: Version,
    /// Its content.
    pub content: Bytes,
}

/// Object in a list, without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its path.
    pub path: String,
    /// Its version.
    pub version: Version,
}

/// Objects under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The object service's revision when they were listed, from which to watch.
    pub revision: u64,
    /// The objects under the prefix.
    pub objects: Vec<Entry>,
}

/// Object that changed or was deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedObject {
    /// Its path.
    pub path: String,
    /// Its present version.
    pub version: Version,
    /// Whether it was deleted.
    #[serde(default)]
    pub deleted: bool,
}

/// Reply to a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// The object service's revision, from which to continue the watch.
    pub revision: u64,
    /// The objects that changed; empty if the wait ended first.
    pub changed: Vec<ChangedObject>,
}
