//! The inputs of the configuration manager.

use std::sync::Arc;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::action::WriteId;
use crate::message::Message;
use crate::patch::Patch;

/// Identifies a call of [`Event::Propose`], so that its outcome reaches the waiting operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// An input of the configuration manager.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The process starts; always the first event.
    Start,
    /// An operator of an authenticated team proposes a patch.
    Propose {
        /// The id of the call.
        ask: CallId,
        /// The team.
        team: TeamName,
        /// The patch.
        patch: Patch,
        /// Whether the patch is only checked.
        dry_run: bool,
    },
    /// The result of reading [`crate::CURRENT_PATH`], from [`crate::Action::Read`] or from the watch.
    Read(ReadResult),
    /// The result of a write requested by [`crate::Action::Write`].
    Wrote(WriteId, WriteResult),
    /// A message from a peer.
    Message(VmId, Message),
    /// All VMs that may serve lookups, from the platform's list, including this one.
    Members(Vec<VmId>),
    /// The groups on the platform; a lookup on another group causes a warning.
    Groups(Vec<GroupName>),
    /// The timer requested by [`crate::Action::Wake`] has expired.
    Tick,
}

/// The result of reading [`crate::CURRENT_PATH`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReadResult {
    /// The object.
    Found {
        /// The platform's version of the object.
        object: u64,
        /// Its content.
        content: Arc<str>,
    },
    /// The object does not exist.
    Missing,
    /// The platform did not answer.
    Failed,
}

/// The result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteResult {
    /// It took effect and the object has this version.
    Done(u64),
    /// The object had another version than the condition required.
    Conflict,
    /// It may have taken effect, or may still take effect.
    Unknown,
    /// It did not take effect: the platform rejected it or was unreachable.
    Failed,
}
