//! One request and its whole reply on a lent connection.

use bytes::Bytes;
use gs_types::prelude::*;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;

use crate::backend::lane::Lent;

/// A reply read to its end.
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Sends `req` and reads the reply, with a body of at most `max` bytes.
///
/// # Errors
///
/// [`ErrorKind::Unavailable`] if the connection broke first, [`ErrorKind::TooMuch`] for a larger
/// body. After an error the connection is of no more use.
pub(crate) async fn exchange(
    lent: &mut Lent,
    req: Request<Full<Bytes>>,
    max: usize,
) -> Result<Whole> {
    let broken = |e: hyper::Error| Error::new(ErrorKind::Unavailable, e.to_string()).at("exchange");
    let res = lent.tx.send_request(req).await.map_err(broken)?;
    let (head, body) = res.into_parts();
    let body = Limited::new(body, max)
        .collect()
        .await
        .map_err(|e| match e.downcast() {
            Ok(e) => broken(*e),
            Err(e) => Error::new(ErrorKind::TooMuch, e.to_string()).at("read reply"),
        })?;
    Ok(Whole {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}
