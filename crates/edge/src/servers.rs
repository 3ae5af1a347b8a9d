//! The interface to backend servers.

use std::time::Duration;

use bytes::Bytes;
use gs_http::CompleteReply;
use gs_relay::AttemptEnd;
use gs_relay::Dispatch;
use gs_relay::OpaqueRequest;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Request;

/// The protocol of backend servers; `gs_platform` implements that of the platform, and the module `peers` that between
/// VMs.
pub trait ServerCodec: Send + Sync + 'static {
    /// Builds the request of an attempt; `left` is the time that its caller still waits.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if it cannot be put into a request.
    fn request(&self, d: &Dispatch, left: Duration) -> Result<Request<Full<Bytes>>>;

    /// Parses the complete reply to an attempt.
    fn reply(&self, d: &Dispatch, complete_reply: CompleteReply) -> ParsedReply;
}

/// Returns the caller's request to forward: its method, target, headers and body, unchanged.
///
/// # Errors
///
/// [`ErrorKind::BadInput`] if it cannot be put into a request.
pub fn opaque_request(content: &OpaqueRequest) -> Result<Request<Full<Bytes>>> {
    let mut req = Request::builder()
        .method(content.method.clone())
        .uri(&*content.target)
        .body(Full::new(content.body.clone()))
        .map_err(|e| Error::new(ErrorKind::BadInput, e.to_string()).at("build request"))?;
    req.headers_mut().clone_from(&content.headers);
    Ok(req)
}

/// The parsed reply to an attempt.
pub struct ParsedReply {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Whether the connection may be reused.
    pub is_connection_reusable: bool,
    /// How long the server keeps the connection idle, if it says so.
    pub idle_max: Option<Duration>,
}
