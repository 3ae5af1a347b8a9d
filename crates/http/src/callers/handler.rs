//! Parses a caller's request, passes it to the [`LookupService`] and builds the response.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gs_types::prelude::*;
use gs_types::size::Bytes as Size;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::body::read_body;
use crate::body_budget::BodyBudget;
use crate::callers::request;
use crate::callers::response;
use crate::callers::response::LookupReply;
use crate::server::Handler;

/// The memory that the bodies of requests may hold together.
const BODIES_MAX: Size = Size(16 << 20);

/// Executes lookups; implemented by the node on top of its engine.
#[async_trait]
pub trait LookupService: Send + Sync + 'static {
    /// Executes a lookup and returns its only outcome.
    ///
    /// The future is dropped when the caller disconnects.
    async fn lookup(&self, req: LookupRequest) -> LookupReply;
}

/// The HTTP handler for callers.
pub struct CallerHandler {
    service: Arc<dyn LookupService>,
    body_bytes_max: usize,
    body_timeout: Duration,
    bodies: Arc<BodyBudget>,
    /// When requests that have not arrived completely are refused; `None` for never.
    shutdown_at: watch::Sender<Option<Instant>>,
}

impl CallerHandler {
    /// Creates a handler for requests with bodies of at most `body_bytes_max` bytes that arrive within `body_timeout`.
    #[must_use]
    pub fn new(
        service: Arc<dyn LookupService>,
        body_bytes_max: usize,
        body_timeout: Duration,
    ) -> Self {
        Self {
            service,
            body_bytes_max,
            body_timeout,
            bodies: Arc::new(BodyBudget::new(BODIES_MAX)),
            shutdown_at: watch::Sender::new(None),
        }
    }

    /// Refuses requests that have not arrived completely at this time, present and later ones.
    pub fn stop_reading_at(&self, at: Instant) {
        self.shutdown_at.send_replace(Some(at));
    }

    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>> {
        let (head, body) = req.into_parts();
        let target = request::parse_target(&head)?;
        let body = tokio::select! {
            body = read_body(body, self.body_bytes_max, self.body_timeout, &self.bodies) => body?,
            () = self.wait_for_shutdown() => return Err(leaving_error()),
        };
        let req = request::parse_lookup(&head, target, &body)?;
        let (front, lookup) = (req.front.clone(), req.lookup.clone());
        let r = self.service.lookup(req).await;
        Ok(response::lookup_response(&r, &front, &lookup))
    }

    /// Waits until requests are no longer read.
    async fn wait_for_shutdown(&self) {
        let mut shutdown_at = self.shutdown_at.subscribe();
        loop {
            let at = *shutdown_at.borrow_and_update();
            let reached = async {
                match at {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = reached => return,
                // The sender outlives this call, so this is always a new time.
                _ = shutdown_at.changed() => {}
            }
        }
    }
}

impl Handler for CallerHandler {
    fn handle(
        self: Arc<Self>,
        _: SocketAddr,
        req: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<Full<Bytes>>> + Send>> {
        Box::pin(async move {
            let has_key = req.headers().contains_key(request::IDEMPOTENCY_KEY);
            match self.answer(req).await {
                Ok(res) => res,
                Err(e) => response::error_response(&e, has_key),
            }
        })
    }
}

/// Returns the error of a request that has not arrived completely when the process has to exit.
fn leaving_error() -> Error {
    Error::new(ErrorKind::Unavailable, "this VM is leaving")
        .at("read body")
        .with_hint("retry on another VM")
}
