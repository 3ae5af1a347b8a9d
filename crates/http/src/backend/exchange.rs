//! Sends one request on a pooled connection and reads its complete reply.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;

use crate::backend::pooled_connection::PooledConnection;

/// A reply whose body has been read to its end.
pub struct CompleteReply {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Why no complete reply was received; the connection cannot be reused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection was closed before the request was written: no byte of it was sent.
    NotSent,
    /// The connection broke, or the bytes received are no valid reply; the request may have been executed.
    Broken(String),
    /// The body of the reply is larger than allowed; the request has been executed.
    TooLarge,
}

/// Sends `req` and reads the reply, with a body of at most `body_bytes_max` bytes.
///
/// # Errors
///
/// [`ExchangeError`] shows whether the request may have been executed.
pub async fn exchange(
    conn: &mut PooledConnection,
    req: Request<Full<Bytes>>,
    body_bytes_max: usize,
) -> Result<CompleteReply, ExchangeError> {
    // Unsolicited bytes on the connection, or its end, are detected here instead of failing the request.
    conn.tx.ready().await.map_err(|_| ExchangeError::NotSent)?;
    let res = conn
        .tx
        .send_request(req)
        .await
        .map_err(classify_send_error)?;
    let (head, body) = res.into_parts();
    let body = Limited::new(body, body_bytes_max)
        .collect()
        .await
        .map_err(|e| match e.downcast::<hyper::Error>() {
            Ok(e) => ExchangeError::Broken(e.to_string()),
            Err(_) => ExchangeError::TooLarge,
        })?;
    Ok(CompleteReply {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}

/// Returns whether a failed request was not sent at all, or may have been.
fn classify_send_error(e: hyper::Error) -> ExchangeError {
    if e.is_canceled() {
        return ExchangeError::NotSent;
    }
    ExchangeError::Broken(e.to_string())
}
