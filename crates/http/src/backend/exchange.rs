//! Sends one request on a pooled connection and reads its complete reply.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::backend::body_collector::BodyCollector;
use crate::backend::pooled_connection::PooledConnection;
use crate::backend::read_allowance::ReadAllowance;

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
    /// The reply is larger than allowed, or the replies that this process is receiving are too large together; the
    /// request may have been executed.
    TooLarge,
    /// The status is none of a final response; the request may have been executed.
    NotFinal(StatusCode),
}

/// The most bytes that may be read for the next step of a reply, its head or a chunk of its body: interim responses,
/// chunk headers, trailers, and what is read ahead.
const READ_BYTES_MAX: usize = 256 << 10;

/// Sends `req` and reads the reply, with a body of at most `body_bytes_max` bytes.
///
/// Bytes without an end, wherever they come in a reply, end the exchange. Its duration is for the caller to bound.
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
    conn.allowance.reset(READ_BYTES_MAX);
    let result = send_and_receive(conn, req, body_bytes_max).await;
    match result {
        Err(ExchangeError::Broken(_)) if conn.allowance.is_used_up() => {
            Err(ExchangeError::TooLarge)
        }
        result => result,
    }
}

async fn send_and_receive(
    conn: &mut PooledConnection,
    req: Request<Full<Bytes>>,
    body_bytes_max: usize,
) -> Result<CompleteReply, ExchangeError> {
    let res = conn.tx.send_request(req).await;
    let (head, body) = res.map_err(classify_send_error)?.into_parts();
    // hyper skips the interim responses but 101, for which no request here asks.
    if !(200..600).contains(&head.status.as_u16()) {
        return Err(ExchangeError::NotFinal(head.status));
    }
    if body.size_hint().lower() > body_bytes_max as u64 {
        return Err(ExchangeError::TooLarge);
    }
    Ok(CompleteReply {
        status: head.status,
        headers: head.headers,
        body: receive_body(body, body_bytes_max, &conn.allowance).await?,
    })
}

async fn receive_body(
    mut body: Incoming,
    bytes_max: usize,
    allowance: &ReadAllowance,
) -> Result<Bytes, ExchangeError> {
    let mut collector = BodyCollector::new(bytes_max);
    allowance.reset(READ_BYTES_MAX);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| ExchangeError::Broken(e.to_string()))?;
        // Trailers mean nothing to this process.
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if !collector.push(chunk) {
            return Err(ExchangeError::TooLarge);
        }
        allowance.reset(READ_BYTES_MAX);
    }
    Ok(collector.into_bytes())
}

/// Returns whether a failed request was not sent at all, or may have been.
fn classify_send_error(e: hyper::Error) -> ExchangeError {
    if e.is_canceled() {
        return ExchangeError::NotSent;
    }
    ExchangeError::Broken(e.to_string())
}
