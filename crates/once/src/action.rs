//! Outputs of the claims state machine, carried out by its I/O driver (shell).

use std::time::Duration;

use gs_query::ClaimDecision;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::message::Message;

/// One output of [`crate::IdempotencyClaims`].
///
/// The driver makes each call to the platform once, and does not retry it by itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Read an object; answered by [`crate::Event::Read`].
    Read {
        /// The path of the object.
        path: String,
    },
    /// Write an object; answered by [`crate::Event::Wrote`].
    Write {
        /// The path of the object.
        path: String,
        /// The version to replace; 0 if it must not exist.
        if_version: u64,
        /// The new content.
        content: Vec<u8>,
    },
    /// Remove an object; answered by [`crate::Event::Removed`].
    Remove {
        /// The path of the object.
        path: String,
        /// The version to remove.
        if_version: u64,
    },
    /// Send a message to another VM; it may be lost.
    Send(VmId, Message),
    /// The decision on a claim that a lookup requested; sent once for each request.
    #[serde(rename = "verdict")]
    Decision(LookupSeq, ClaimDecision),
    /// Send [`crate::Event::Tick`] after this time at the latest; replaces the previous request.
    Wake(Duration),
}
