//! Calls the platform for the state machines, each call in its own task.

use std::sync::Arc;

use bytes::Bytes;
use gs_store::Object;
use gs_store::Platform;
use gs_store::Version;
use gs_types::prelude::*;

/// Converts the error of a call to the platform for the state machines.
pub(crate) fn store_error(e: &Error) -> StoreError {
    match e.kind() {
        ErrorKind::Conflict => StoreError::Conflict,
        ErrorKind::Unknown => StoreError::Lost,
        _ => StoreError::NotDone,
    }
}

/// Converts an object of the platform for the state machines.
pub(crate) fn to_stored(o: Object) -> Stored {
    Stored {
        version: o.version.0,
        content: o.content.to_vec(),
    }
}

/// Calls the platform and passes each result to a function.
#[derive(Clone)]
pub(crate) struct PlatformCalls(pub(crate) Arc<dyn Platform>);

impl PlatformCalls {
    /// Reads an object.
    pub(crate) fn read(
        &self,
        path: String,
        done: impl FnOnce(Result<Option<Object>>) + Send + 'static,
    ) {
        let platform = Arc::clone(&self.0);
        tokio::spawn(async move { done(platform.read(&path).await) });
    }

    /// Writes an object if it still has the version `if_version`.
    pub(crate) fn write(
        &self,
        path: String,
        if_version: u64,
        content: Vec<u8>,
        done: impl FnOnce(Result<Version>) + Send + 'static,
    ) {
        let platform = Arc::clone(&self.0);
        tokio::spawn(async move {
            done(
                platform
                    .write(&path, Version(if_version), Bytes::from(content))
                    .await,
            );
        });
    }

    /// Deletes an object if it still has the version `if_version`.
    pub(crate) fn delete(
        &self,
        path: String,
        if_version: u64,
        done: impl FnOnce(Result<bool>) + Send + 'static,
    ) {
        let platform = Arc::clone(&self.0);
        tokio::spawn(async move { done(platform.delete(&path, Version(if_version)).await) });
    }

    /// Deletes an object at any version; after a failure, it stays until the next call.
    pub(crate) fn prune(&self, path: String) {
        let platform = Arc::clone(&self.0);
        tokio::spawn(async move {
            if let Ok(Some(o)) = platform.read(&path).await
                && let Err(e) = platform.delete(&path, o.version).await
            {
                log::debug!("event=prune-failed path={path} error=\"{e}\"");
            }
        });
    }
}
