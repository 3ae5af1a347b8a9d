//! Interface to the platform's object service.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gs_types::prelude::*;

use crate::budget::CallCounts;
use crate::object::Listing;
use crate::object::Object;
use crate::object::Version;
use crate::object::WatchReply;

/// Object service of the platform.
///
/// Every error names its step and the peer. [`ErrorKind::Unavailable`] means that the call had no effect;
/// [`ErrorKind::TooMuch`] that it exceeds the platform's rate limit, the call budget or the size limit, and had no
/// effect either.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] after the retries, [`ErrorKind::TooMuch`] over the rate limit or the call
    /// budget.
    async fn read(&self, path: &str) -> Result<Option<Object>>;

    /// Writes an object if it has the given version ([`Version::ABSENT`]: if it does not exist).
    ///
    /// The write is sent once, as only the writer can know whether a resend is correct. See
    /// [`crate::write_with_read_back`].
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Conflict`] if the object has another version, [`ErrorKind::Unknown`] if the answer was lost, so
    /// that the write may have taken effect or may still do so, [`ErrorKind::Unavailable`] if it was not made,
    /// [`ErrorKind::TooMuch`] if the content is over [`crate::OBJECT_MAX_BYTES`] or a rate limit was exceeded.
    async fn write(&self, path: &str, if_version: Version, content: Bytes) -> Result<Version>;

    /// Deletes an object if it has the given version; returns `false` if it does not exist.
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

    /// Waits until an object under the prefix changes after the given revision, or until `wait` has passed.
    ///
    /// # Errors
    ///
    /// As for [`Platform::read`], but without retries; and [`ErrorKind::NotFound`] if the platform no longer keeps the
    /// changes after the revision, so that the prefix must be listed again.
    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<WatchReply>;

    /// Returns the VMs from the platform's list, which lags behind.
    ///
    /// # Errors
    ///
    /// As for [`Platform::read`].
    async fn vms(&self) -> Result<Vec<VmEntry>>;

    /// Returns the number of calls made so far.
    fn call_counts(&self) -> CallCounts;

    /// Returns the time since the first failed call after the last answered one; `None` if none failed since.
    fn unreachable_for(&self) -> Option<Duration>;
}
