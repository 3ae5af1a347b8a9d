//! A lookup request as received from a caller.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::idempotency_key::IdempotencyKey;
use crate::ids::Fingerprint;
use crate::ids::FrontName;
use crate::ids::LookupName;
use crate::ids::SnapshotId;

/// A caller's lookup request, parsed but not yet checked against the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupRequest {
    /// The front that declares the lookup.
    pub front: FrontName,
    /// The name of the lookup.
    pub lookup: LookupName,
    /// The text to search for.
    pub query: Arc<str>,
    /// For a keyed lookup: the key that determines its shard.
    pub key: Option<Arc<str>>,
    /// For an at-most-once lookup: the caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The time that the caller allows; the declared deadline applies if this is longer or absent.
    pub deadline: Option<Duration>,
    /// The newest snapshot that the caller has seen; the answer is never from an older one.
    pub floor: Option<SnapshotId>,
}

impl LookupRequest {
    /// Returns a hash of what a backend server would execute, equal for every resend through any
    /// VM.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&[
            self.front.as_str(),
            self.lookup.as_str(),
            &self.query,
            self.key.as_deref().unwrap_or(""),
        ])
    }
}
