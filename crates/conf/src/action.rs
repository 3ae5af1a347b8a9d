//! The outputs of the configuration manager.

use std::sync::Arc;
use std::time::Duration;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::event::CallId;
use crate::message::Message;
use crate::patch::AffectedTarget;
use crate::patch_outcome::PatchOutcome;

/// Identifies a write, so that its result can be matched to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub u64);

/// An output of the configuration manager.
///
/// The I/O driver (shell) performs them in order, so that a VM never reports to a peer that a version
/// is in force before it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Read [`crate::CURRENT_PATH`]; answered by [`crate::Event::Read`].
    Read,
    /// Write an object once, without a retry; answered by [`crate::Event::Wrote`].
    Write {
        /// The id of the write.
        id: WriteId,
        /// The object's path.
        path: String,
        /// The version that the object must have; 0 if it must not exist.
        if_version: u64,
        /// The content.
        content: Arc<str>,
    },
    /// Delete an object at any version; tried once, and may fail.
    Prune(String),
    /// Send a message to a peer; the message may be lost.
    Send(VmId, Message),
    /// Send a message to every peer; the message may be lost.
    Broadcast(Message),
    /// Put this version in force on this VM.
    Apply(Arc<Config>),
    /// Refuse these lookups as not run until the next such action; replaces the previous list.
    ///
    /// A prepared patch changes them and its outcome is unknown here, so the version known to this VM
    /// may no longer be in force for them.
    Doubt(Vec<AffectedTarget>),
    /// Send the outcome to the operator's call; sent once per call.
    Verdict(CallId, PatchOutcome),
    /// Send [`crate::Event::Tick`] after this time; replaces the previous timer.
    Wake(Duration),
}
