//! A caller's request, as it is handed on.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use http::HeaderMap;
use http::Method;

/// What a backend server gets to see of a request, unchanged.
#[derive(Clone, Debug)]
pub struct OpaqueRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Box<str>,
    /// The headers that go end to end.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A caller's request, read whole.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The host asked, in lower case and without a port.
    pub host: Box<str>,
    /// The path without its query, to find the route by.
    pub path: Box<str>,
    /// The caller's id of this request.
    pub id: Arc<str>,
    /// How long the caller waits; `None` if it does not say.
    pub caller_timeout: Option<Duration>,
    /// What is handed on.
    pub content: Arc<OpaqueRequest>,
}

impl CallerRequest {
    /// Hashes what a server would run, equal for every resend.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        let body = String::from_utf8_lossy(&self.content.body);
        Fingerprint::of(&[
            &self.host,
            self.content.method.as_str(),
            &self.content.target,
            &body,
        ])
    }
}
