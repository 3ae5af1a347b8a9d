//! A caller's request, and the content that is forwarded.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use http::HeaderMap;
use http::Method;

/// The part of a request that is forwarded to backend servers unchanged.
#[derive(Clone, Debug)]
pub struct OpaqueRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Box<str>,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// A caller's request, read completely.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The requested host, in lower case and without a port.
    pub host: Box<str>,
    /// The path without its query, by which the route is found.
    pub path: Box<str>,
    /// The caller's id of this request.
    pub id: Arc<str>,
    /// How long the caller waits; `None` if it does not say.
    pub caller_timeout: Option<Duration>,
    /// The content that is forwarded.
    pub content: Arc<OpaqueRequest>,
}

impl CallerRequest {
    /// Hashes the content that a server would execute; equal for every retry of it.
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
