//! The border to backend servers.

use std::time::Duration;

use bytes::Bytes;
use gs_http::Whole;
use gs_relay::AttemptEnd;
use gs_relay::Dispatch;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Request;

/// What backend servers speak.
pub trait ServerCodec: Send + Sync + 'static {
    /// The request of an attempt, with the time that its caller still waits.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if it cannot be put into a request.
    fn request(&self, d: &Dispatch, left: Duration) -> Result<Request<Full<Bytes>>>;

    /// Reads a whole reply to an attempt.
    fn reply(&self, d: &Dispatch, whole: Whole) -> Judged;
}

/// A reply as it was read.
pub struct Judged {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Whether the connection may be used again.
    pub is_clean: bool,
    /// How long the server keeps the connection idle, if it says so.
    pub idle_max: Option<Duration>,
}
