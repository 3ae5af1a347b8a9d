//! The border to callers, and the handler in front of it.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gs_http::Handler;
use gs_relay::CallerRequest;
use gs_relay::Outcome;
use gs_types::prelude::*;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::desk::Desk;

/// The longest that a request's body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The most bytes of a body before any routes are known, which name the bound.
const BODY_MAX: usize = 1 << 20;

/// What callers speak.
pub trait CallerCodec: Send + Sync + 'static {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if it cannot be handed on.
    fn read(&self, head: Parts, body: Bytes) -> Result<CallerRequest>;

    /// Puts the end of a request into a response; `id` is the caller's.
    fn write(&self, id: &str, outcome: Outcome) -> Response<Full<Bytes>>;
}

/// Takes callers' requests apart, has them answered and puts the answers together.
pub(crate) struct Callers {
    pub(crate) codec: Arc<dyn CallerCodec>,
    pub(crate) desk: Desk,
}

impl Callers {
    async fn answer(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = req.into_parts();
        let read = self.read(body).await;
        let req = match read.and_then(|body| self.codec.read(head, body)) {
            Ok(req) => req,
            Err(e) => return refuse(&e),
        };
        let id = Arc::clone(&req.id);
        let outcome = self.desk.ask(req).await;
        self.codec.write(&id, outcome)
    }

    /// Reads a body within its bounds of size and time.
    ///
    /// Guards against a sender that never ends a body: it would hold memory and a connection for as
    /// long as it likes.
    async fn read(&self, body: Incoming) -> Result<Bytes> {
        let max = self.desk.body_max().unwrap_or(BODY_MAX);
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
}

fn refuse(e: &Error) -> Response<Full<Bytes>> {
    log::info!("event=request-unreadable kind={} error=\"{e}\"", e.kind());
    let mut res = Response::new(Full::new(Bytes::from(format!("{e}\n"))));
    *res.status_mut() = match e.kind() {
        ErrorKind::TooMuch => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    };
    res
}

impl Handler for Callers {
    fn handle(
        self: Arc<Self>,
        _: SocketAddr,
        req: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<Full<Bytes>>> + Send>> {
        Box::pin(async move { self.answer(req).await })
    }
}
