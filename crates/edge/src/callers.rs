//! The border to callers, and the handler in front of it.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use gs_http::Handler;
use gs_relay::CallerRequest;
use gs_relay::Outcome;
use gs_types::prelude::*;
use http::request::Parts;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::body::read_body;
use crate::desk::Desk;

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
        let read = read_body(body, self.desk.body_max()).await;
        let req = match read.and_then(|body| self.codec.read(head, body)) {
            Ok(req) => req,
            Err(e) => return refuse(&e),
        };
        let id = Arc::clone(&req.id);
        let outcome = self.desk.ask(req, None).await;
        self.codec.write(&id, outcome)
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
