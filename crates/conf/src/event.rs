//! What the book is told.

use std::sync::Arc;

use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::action::WriteId;
use crate::message::Message;
use crate::patch::Patch;

/// Names one call of [`Event::Propose`], so that its verdict finds the waiting operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// One input of the book.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The process starts; the first event.
    Start,
    /// An operator of this team, whose key was checked, proposes a patch.
    Propose {
        /// Names the call.
        ask: CallId,
        /// The team.
        team: TeamName,
        /// The patch.
        patch: Patch,
        /// Only check it.
        dry_run: bool,
    },
    /// What [`crate::CURRENT_PATH`] holds, from [`crate::Action::Read`] or from the watch.
    Read(ReadResult),
    /// How a write asked for by [`crate::Action::Write`] ended.
    Wrote(WriteId, WriteResult),
    /// A peer's message.
    Message(VmId, Message),
    /// Every VM that may take lookups, by the platform's list, this one among them.
    Members(Vec<VmId>),
    /// The groups that the platform holds; a lookup on another group is warned about.
    Groups(Vec<GroupName>),
    /// A timer asked for by [`crate::Action::Wake`] is due.
    Tick,
}

/// What reading [`crate::CURRENT_PATH`] gave.
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
    /// The platform says that there is none.
    Missing,
    /// The platform did not answer.
    Failed,
}

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteResult {
    /// It took effect, and the object has this version.
    Done(u64),
    /// The object has another version than the condition named.
    Conflict,
    /// It may or may not have taken effect, or may yet.
    Unknown,
    /// It was not made: the platform refused it, or was not reached at all.
    Failed,
}
