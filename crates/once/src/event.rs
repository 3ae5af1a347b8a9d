//! What the claims are told.

use std::sync::Arc;

use gs_member::View;
use gs_query::ClaimAsk;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::message::Message;

/// One input of [`crate::Once`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// An at-most-once lookup wants its claim.
    Ask(ClaimAsk),
    /// A [`crate::Action::Read`] ended; `None` if there is no such object.
    Read {
        /// The object.
        path: String,
        /// What it holds, or why it could not be read.
        result: Result<Option<Stored>, StoreError>,
    },
    /// A [`crate::Action::Write`] ended; with the object's new version.
    Wrote {
        /// The object.
        path: String,
        /// Its new version, or why it is not known to be written.
        result: Result<u64, StoreError>,
    },
    /// A [`crate::Action::Remove`] ended; an object that is not there counts as removed.
    Removed {
        /// The object.
        path: String,
        /// Whether it is known to be gone.
        result: Result<(), StoreError>,
    },
    /// An authenticated message of another VM.
    Peer(VmId, Message),
    /// The VMs as this one sees them.
    Members(Arc<View>),
    /// A timer asked for by [`crate::Action::Wake`] is due.
    Tick,
}

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
