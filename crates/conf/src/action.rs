//! What the book asks its shell to do.

use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::event::CallId;
use crate::message::Message;
use crate::patch::AffectedTarget;
use crate::verdict::PatchOutcome;

/// Names one write, so that its result finds its purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub u64);

/// One output of the book; the shell carries them out in order, so that a VM never tells a peer that
/// a version is in force before it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Read [`crate::CURRENT_PATH`]; answered by [`crate::Event::Read`].
    Read,
    /// Write an object once, without a retry; answered by [`crate::Event::Wrote`].
    Write {
        /// Names the write.
        id: WriteId,
        /// The object's path.
        path: String,
        /// The version that the object must have; 0 if it must not exist.
        if_version: u64,
        /// The content.
        content: Arc<str>,
    },
    /// Delete an object whatever its version; it may be tried once, and may fail.
    Prune(String),
    /// Send a message to a peer; it may be lost.
    Send(VmId, Message),
    /// Send a message to every peer; it may be lost.
    Broadcast(Message),
    /// This version is in force here from now on.
    Apply(Arc<Config>),
    /// Refuse these lookups as not run until told otherwise; replaces the list given before.
    ///
    /// A patch of these was prepared here and its outcome cannot be learned, so serving them by the
    /// version held may be serving them by one that is no longer in force.
    Doubt(Vec<AffectedTarget>),
    /// The word to the operator who waits for this call; given once.
    Verdict(CallId, PatchOutcome),
    /// Send [`crate::Event::Tick`] after this time; replaces the one asked before.
    Wake(Duration),
}
