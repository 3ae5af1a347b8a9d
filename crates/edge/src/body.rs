//! The bounds on a caller's body.

use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use hyper::body::Incoming;

/// The longest that a request's body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The most bytes of a body before any routes are known, which name the bound.
const BODY_MAX: usize = 1 << 20;

/// Reads a body of at most `max` bytes.
pub(crate) async fn read_body(body: Incoming, max: Option<usize>) -> Result<Bytes> {
    gs_http::read_body(body, max.unwrap_or(BODY_MAX), BODY_TIMEOUT).await
}
