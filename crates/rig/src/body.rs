//! The bodies of the stand-ins' replies, complete or truncated.

use std::io;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::header::CONTENT_LENGTH;

/// The body of a reply.
pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// Returns a body that is sent completely.
pub(crate) fn complete(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|e| match e {}).boxed()
}

/// Returns a body that sends these bytes again and again and never ends.
pub(crate) fn endless(bytes: Bytes) -> Body {
    BodyExt::boxed(StreamBody::new(stream::repeat_with(move || {
        Ok(Frame::data(bytes.clone()))
    })))
}

/// Makes a reply announce a body of `length` bytes, send only `bytes`, and close its connection.
pub(crate) fn cut_short(res: &mut Response<Body>, length: usize, bytes: Bytes) {
    res.headers_mut().insert(CONTENT_LENGTH, length.into());
    let sent = stream::once(async move { Ok(Frame::data(bytes)) });
    let end = stream::once(async {
        // hyper drops unwritten bytes when a body fails; it writes them while the body is pending.
        tokio::task::yield_now().await;
        Err(io::Error::from(io::ErrorKind::BrokenPipe))
    });
    *res.body_mut() = BodyExt::boxed(StreamBody::new(sent.chain(end)));
}
