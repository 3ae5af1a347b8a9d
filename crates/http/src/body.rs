//! Reads requests' bodies within their bounds.

use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;

/// Reads a body of at most `max` bytes that arrives within `limit`.
///
/// Guards against a sender that trickles or never ends a body: it would hold memory and a connection
/// for as long as it likes.
///
/// # Errors
///
/// [`ErrorKind::TooMuch`] over either bound, [`ErrorKind::BadInput`] if it breaks off.
pub async fn read_body(body: Incoming, max: usize, limit: Duration) -> Result<Bytes> {
    let read = Limited::new(body, max).collect();
    let late =
        |_| Error::new(ErrorKind::TooMuch, "the body did not arrive in time").at("read body");
    let read = tokio::time::timeout(limit, read).await.map_err(late)?;
    match read {
        Ok(b) => Ok(b.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Error::new(
            ErrorKind::TooMuch,
            format!("the body is over {max} bytes"),
        )
        .at("read body")),
        Err(e) => Err(Error::new(ErrorKind::BadInput, e.to_string()).at("read body")),
    }
}
