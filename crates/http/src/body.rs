//! Reads the body of a request within bounds on size and time.

use std::time::Duration;

use bytes::Bytes;
use gs_types::prelude::*;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;

/// Reads a body of at most `bytes_max` bytes that arrives within `timeout`.
///
/// Without these bounds, a client that sends a body slowly or never ends it would hold memory and a connection
/// indefinitely.
///
/// # Errors
///
/// [`ErrorKind::TooMuch`] if either bound is exceeded, [`ErrorKind::BadInput`] if the body is incomplete or malformed.
pub async fn read_body(body: Incoming, bytes_max: usize, timeout: Duration) -> Result<Bytes> {
    let read = Limited::new(body, bytes_max).collect();
    let timed_out =
        |_| Error::new(ErrorKind::TooMuch, "the body did not arrive in time").at("read body");
    let read = tokio::time::timeout(timeout, read)
        .await
        .map_err(timed_out)?;
    match read {
        Ok(b) => Ok(b.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Error::new(
            ErrorKind::TooMuch,
            format!("the body is over {bytes_max} bytes"),
        )
        .at("read body")),
        Err(e) => Err(Error::new(ErrorKind::BadInput, e.to_string()).at("read body")),
    }
}
