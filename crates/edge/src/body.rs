//! Reads requests' bodies within their bounds.

use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;

/// The longest that a request's body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The most bytes of a body before any routes are known, which name the bound.
const BODY_MAX: usize = 1 << 20;

/// Reads a body of at most `max` bytes.
///
/// Guards against a sender that never ends a body: it would hold memory and a connection for as long as
/// it likes.
pub(crate) async fn read_body(body: Incoming, max: Option<usize>) -> Result<Bytes> {
    let max = max.unwrap_or(BODY_MAX);
    let read = Limited::new(body, max).collect();
    let read = tokio::time::timeout(BODY_TIMEOUT, read).await;
    let late = |_| Error::new(ErrorKind::TooMuch, "the body did not arrive in time");
    match read.map_err(late)? {
        Ok(b) => Ok(b.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Error::new(
            ErrorKind::TooMuch,
            format!("the body is over {max} bytes"),
        )),
        Err(e) => Err(Error::new(ErrorKind::BadInput, e.to_string())),
    }
}
