//! A caller's lookup as it arrives.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::idempotency_key::IdempotencyKey;
use crate::ids::Fingerprint;
use crate::ids::FrontName;
use crate::ids::LookupName;
use crate::ids::SnapshotId;

/// A caller's lookup, parsed and checked for form, but not against the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupRequest {
    /// The front asked.
    pub front: FrontName,
    /// The lookup asked.
    pub lookup: LookupName,
    /// The text to search for.
    pub query: Arc<str>,
    /// For a keyed lookup: the key that names its shard.
    pub key: Option<Arc<str>>,
    /// For an at-most-once lookup: the caller's idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The time the caller gives; the declared deadline if longer or absent.
    pub deadline: Option<Duration>,
    /// The newest snapshot the caller has seen; the answer is never from an older one.
    pub floor: Option<SnapshotId>,
}

impl LookupRequest {
    /// Hashes what a backend server would run, equal for every resend through any VM.
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
