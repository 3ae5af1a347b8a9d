//! The interface to callers, and the handler of their requests.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

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

use crate::body::closing;
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

/// When to retry a request whose body did not fit into the memory for bodies.
const BODY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Parses callers' requests, submits them to the relay and responds with their outcomes.
pub(crate) struct CallerHandler {
    pub(crate) codec: Arc<dyn CallerCodec>,
    pub(crate) relay_client: RelayClient,
}

impl CallerHandler {
    async fn answer(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = req.into_parts();
        let client = &self.relay_client;
        let body = tokio::select! {
            body = read_body(body, client.body_max(), &client.bodies) => body,
            () = client.wait_for_final_responses() => {
                return self.refuse(head, RefuseReason::ShuttingDown, SHUTDOWN_RETRY_AFTER);
            }
        };
        if let Err(e) = &body
            && e.kind() == ErrorKind::Unavailable
        {
            log::info!("event=body-refused error=\"{e}\"");
            return self.refuse(head, RefuseReason::Overload, BODY_RETRY_AFTER);
        }
        let req = match body.and_then(|body| self.codec.read(head, body)) {
            Ok(req) => req,
            Err(e) => return error_response(&e),
        };
        let id = Arc::clone(&req.id);
        let outcome = self.relay_client.submit(req, None).await;
        self.codec.write(&id, outcome)
    }

    /// Refuses a request whose body is not read completely.
    fn refuse(
        &self,
        head: Parts,
        reason: RefuseReason,
        retry_after: Duration,
    ) -> Response<Full<Bytes>> {
        match self.codec.read(head, Bytes::new()) {
            Ok(req) => {
                let refused = Outcome::Refused(reason, Some(retry_after));
                closing(self.codec.write(&req.id, refused))
            }
            Err(e) => closing(error_response(&e)),
        }
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
