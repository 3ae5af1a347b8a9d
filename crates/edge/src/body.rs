//! Reads request bodies within limits of size and time.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gs_http::BodyBudget;
use gs_types::prelude::*;
use http::HeaderValue;
use http::header;
use hyper::Response;
use hyper::body::Incoming;

/// The longest that a request's body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest body, in bytes, before any routes are known; the routes set the limit from then on.
const DEFAULT_BODY_BYTES_MAX: usize = 1 << 20;

/// Reads a body of at most `max` bytes, or [`DEFAULT_BODY_BYTES_MAX`] if no limit is known.
///
/// # Errors
///
/// As for [`gs_http::read_body`].
pub(crate) async fn read_body(
    body: Incoming,
    max: Option<usize>,
    budget: &Arc<BodyBudget>,
) -> Result<Bytes> {
    let max = max.unwrap_or(DEFAULT_BODY_BYTES_MAX);
    gs_http::read_body(body, max, BODY_TIMEOUT, budget).await
}

/// Adds to a response that its connection is closed, as the rest of the request's body is not read.
pub(crate) fn closing<B>(mut res: Response<B>) -> Response<B> {
    let close = HeaderValue::from_static("close");
    res.headers_mut().insert(header::CONNECTION, close);
    res
}
