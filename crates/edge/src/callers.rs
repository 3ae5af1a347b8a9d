//! The interface to callers, and the handler of their requests.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use gs_http::Handler;
use gs_relay::CallerRequest;
use gs_relay::Outcome;
use gs_relay::RefuseReason;
use gs_relay::SHUTDOWN_RETRY_AFTER;
use gs_types::prelude::*;
use http::request::Parts;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::body::read_body;
use crate::relay_client::RelayClient;

/// The protocol of callers; `gs_platform` implements that of the platform.
pub trait CallerCodec: Send + Sync + 'static {
    /// Parses a request.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadInput`] if it cannot be relayed.
    fn read(&self, head: Parts, body: Bytes) -> Result<CallerRequest>;

    /// Builds the response to a request from its outcome; `id` is the request id that the caller gave.
    fn write(&self, id: &str, outcome: Outcome) -> Response<Full<Bytes>>;
}

/// Parses callers' requests, submits them to the relay and responds with their outcomes.
pub(crate) struct CallerHandler {
    pub(crate) codec: Arc<dyn CallerCodec>,
    pub(crate) relay_client: RelayClient,
}

impl CallerHandler {
    async fn answer(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = req.into_parts();
        let body = tokio::select! {
            body = read_body(body, self.relay_client.body_max()) => Some(body),
            () = self.relay_client.wait_for_final_responses() => None,
        };
        let is_complete = body.is_some();
        let body = body.unwrap_or_else(|| Ok(Bytes::new()));
        let req = match body.and_then(|body| self.codec.read(head, body)) {
            Ok(req) => req,
            Err(e) => return error_response(&e),
        };
        let id = Arc::clone(&req.id);
        let outcome = match is_complete {
            true => self.relay_client.submit(req, None).await,
            false => Outcome::Refused(RefuseReason::ShuttingDown, Some(SHUTDOWN_RETRY_AFTER)),
        };
        self.codec.write(&id, outcome)
    }
}

/// Logs a request that could not be parsed, and builds the response to it.
fn error_response(e: &Error) -> Response<Full<Bytes>> {
    log::info!("event=request-unreadable kind={} error=\"{e}\"", e.kind());
    let mut res = Response::new(Full::new(Bytes::from(format!("{e}\n"))));
    *res.status_mut() = match e.kind() {
        ErrorKind::TooMuch => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    };
    res
}

impl Handler for CallerHandler {
    fn handle(
        self: Arc<Self>,
        _: SocketAddr,
        req: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<Full<Bytes>>> + Send>> {
        Box::pin(async move { self.answer(req).await })
    }
}
