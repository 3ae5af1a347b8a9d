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
    #[serde(rename = "ask")]
    ClaimRequested(ClaimAsk),
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
