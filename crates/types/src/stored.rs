//! What a call to the platform's object service gave a decision.

use serde::Deserialize;
use serde::Serialize;

/// A platform object as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// Its version.
    pub version: u64,
    /// Its content.
    pub content: Vec<u8>,
}

/// Why a call to the platform gave nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum StoreError {
    /// Another write was first: 409.
    Conflict,
    /// The call provably had no effect and never will: refused with 429 or 503, or never sent.
    NotDone,
    /// The answer is lost; a write may have taken effect or may yet.
    Lost,
}
