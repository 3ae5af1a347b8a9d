//! One request and its whole reply on a lent connection.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;

use crate::backend::lane::PooledConnection;

/// A reply read to its end.
pub struct CompleteReply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Why no whole reply came; the connection is of no more use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection had closed before the request was written: nothing of it left.
    NotSent,
    /// The connection broke, or what came was no reply; the request may have run.
    Broken(String),
    /// The reply's body is over the bound; the request has run.
    TooLarge,
}

/// Sends `req` and reads the reply, with a body of at most `max` bytes.
///
/// # Errors
///
/// [`ExchangeError`] says whether the request may have run.
pub async fn exchange(
    lent: &mut PooledConnection,
    req: Request<Full<Bytes>>,
    max: usize,
) -> Result<CompleteReply, ExchangeError> {
    // Bytes that nobody asked for, or an end of the connection, are seen here and not by the request.
    lent.tx.ready().await.map_err(|_| ExchangeError::NotSent)?;
    let res = lent.tx.send_request(req).await.map_err(failed)?;
    let (head, body) = res.into_parts();
    let body = Limited::new(body, max).collect().await.map_err(|e| {
        match e.downcast::<hyper::Error>() {
            Ok(e) => ExchangeError::Broken(e.to_string()),
            Err(_) => ExchangeError::TooLarge,
        }
    })?;
    Ok(CompleteReply {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}

fn failed(e: hyper::Error) -> ExchangeError {
    if e.is_canceled() {
        return ExchangeError::NotSent;
    }
    ExchangeError::Broken(e.to_string())
}
