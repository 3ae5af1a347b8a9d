//! The interface to the platform's object service.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gs_types::prelude::*;

use crate::budget::CallCounts;
use crate::object::Listing;
use crate::object::Object;
use crate::object::Version;
use crate::object::WatchReply;

/// The platform's object service.
///
/// Every error names its step and the peer. [`ErrorKind::Unavailable`] means that nothing happened;
/// [`ErrorKind::TooMuch`] that the call is over a rate, the call budget or the size bound, and did
/// nothing either.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Reads an object; `None` if there is none.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] after the retries, [`ErrorKind::TooMuch`] over the call budget.
    async fn read(&self, path: &str) -> Result<Option<Object>>;

    /// Writes an object if it has this version ([`Version::ABSENT`]: if there is none).
    ///
    /// It is sent once: whether a resend is right only the writer can know. See
    /// [`crate::write_with_read_back`].
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Conflict`] if it has another version, [`ErrorKind::Unknown`] if the answer was
    /// lost and it may have taken effect or may yet, [`ErrorKind::Unavailable`] if it was not made,
    /// [`ErrorKind::TooMuch`] if the content is over [`crate::OBJECT_MAX_BYTES`] or a rate was passed.
    async fn write(&self, path: &str, if_version: Version, content: Bytes) -> Result<Version>;

    /// Deletes an object if it has this version; `false` if there is none.
    ///
    /// # Errors
    ///
    /// As for [`Platform::write`].
    async fn delete(&self, path: &str, if_version: Version) -> Result<bool>;

    /// Lists the objects under a prefix.
    ///
    /// # Errors
    ///
    /// As for [`Platform::read`].
    async fn list(&self, prefix: &str) -> Result<Listing>;

    /// Waits until something under the prefix changed after a revision, or until `wait` is over.
    ///
    /// # Errors
    ///
    /// As for [`Platform::read`], and [`ErrorKind::NotFound`] if the platform has forgotten the
    /// revision: list again.
    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<WatchReply>;

    /// The VMs by the platform's lagging list.
    ///
    /// # Errors
    ///
    /// As for [`Platform::read`].
    async fn vms(&self) -> Result<Vec<VmEntry>>;

    /// The calls made so far.
    fn call_counts(&self) -> CallCounts;

    /// How long every call has failed; `None` if the last one was answered.
    fn unreachable_for(&self) -> Option<Duration>;
}
