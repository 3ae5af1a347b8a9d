//! Reads request bodies within limits of size and time.

use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use hyper::body::Incoming;

/// The longest that a request's body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest body, in bytes, before any routes are known; the routes set the limit from then on.
const DEFAULT_BODY_BYTES_MAX: usize = 1 << 20;

/// Reads a body of at most `max` bytes, or [`DEFAULT_BODY_BYTES_MAX`] if no limit is known.
pub(crate) async fn read_body(body: Incoming, max: Option<usize>) -> Result<Bytes> {
    gs_http::read_body(body, max.unwrap_or(DEFAULT_BODY_BYTES_MAX), BODY_TIMEOUT).await
}
