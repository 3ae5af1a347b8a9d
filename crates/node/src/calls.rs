//! Makes the decisions' calls to the platform, each in a task of its own.

use std::sync::Arc;

use bytes::Bytes;
use gs_store::Object;
use gs_store::Platform;
use gs_store::Version;
use gs_types::prelude::*;

/// Why a call gave nothing, as decisions take it.
pub(crate) fn failure(e: &Error) -> StoreError {
    match e.kind() {
        ErrorKind::Conflict => StoreError::Conflict,
        ErrorKind::Unknown => StoreError::Lost,
        _ => StoreError::NotDone,
    }
}

/// An object, as decisions take it.
pub(crate) fn stored(o: Object) -> Stored {
    Stored {
        version: o.version.0,
        content: o.content.to_vec(),
    }
}

/// Makes calls to the platform and hands each result to a function.
#[derive(Clone)]
pub(crate) struct Calls(pub(crate) Arc<dyn Platform>);

impl Calls {
    pub(crate) fn read(
        &self,
        path: String,
        done: impl FnOnce(Result<Option<Object>>) + Send + 'static,
    ) {
        let platform = Arc::clone(&self.0);
        tokio::spawn(async move { done(platform.read(&path).await) });
    }

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

    pub(crate) fn delete(
        &self,
        path: String,
        if_version: u64,
        done: impl FnOnce(Result<bool>) + Send + 'static,
    ) {
        let platform = Arc::clone(&self.0);
        tokio::spawn(async move { done(platform.delete(&path, Version(if_version)).await) });
    }

    /// Deletes an object whatever its version; a failure leaves it for the next time.
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
