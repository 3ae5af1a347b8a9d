//! The result of a call to the platform's object service, as state machines receive it.

use serde::Deserialize;
use serde::Serialize;

/// A platform object as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The version of the object.
    pub version: u64,
    /// The content of the object.
    pub content: Vec<u8>,
}

/// Why a call to the platform failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum StoreError {
    /// Another write was first (status 409).
    Conflict,
    /// The call had no effect and will have none: it was refused with status 429 or 503, or never
    /// sent.
    NotDone,
    /// The response was lost; a write may have taken effect, or may still do so.
    Lost,
}
