//! Inputs of the claims state machine.

use std::sync::Arc;

use gs_member::MembershipView;
use gs_query::LookupClaim;
use gs_types::prelude::*;
use serde::Deserialize;
use serde::Serialize;

use crate::message::Message;

/// One input of [`crate::IdempotencyClaims`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// An at-most-once lookup requests a claim.
    #[serde(rename = "ask")]
    ClaimRequested(LookupClaim),
    /// A [`crate::Action::Read`] ended; `None` if there is no such object.
    Read {
        /// The path of the object.
        path: String,
        /// Its content and version, or why it could not be read.
        result: Result<Option<Stored>, StoreError>,
    },
    /// A [`crate::Action::Write`] ended; with the object's new version.
    Wrote {
        /// The path of the object.
        path: String,
        /// Its new version, or why it is not known to be written.
        result: Result<u64, StoreError>,
    },
    /// A [`crate::Action::Remove`] ended; an object that does not exist counts as removed.
    Removed {
        /// The path of the object.
        path: String,
        /// Whether it is known to be removed.
        result: Result<(), StoreError>,
    },
    /// An authenticated message from another VM.
    Peer(VmId, Message),
    /// The view of this VM changed.
    Members(Arc<MembershipView>),
    /// The timer set by [`crate::Action::Wake`] has expired.
    Tick,
}
