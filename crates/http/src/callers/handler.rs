//! Takes a caller's request apart, has it answered and puts the answer together.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use gs_types::prelude::*;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::body::read_body;
use crate::callers::reply;
use crate::callers::reply::LookupReply;
use crate::callers::request;
use crate::server::Handler;

/// Answers lookups; the node's engine stands behind it.
#[async_trait]
pub trait LookupService: Send + Sync + 'static {
    /// Runs one lookup to its only outcome.
    ///
    /// Dropping the future tells the engine that the caller hung up.
    async fn lookup(&self, req: LookupRequest) -> LookupReply;
}

/// The handler of the callers' interface.
pub struct CallerHandler {
    desk: Arc<dyn LookupService>,
    body: usize,
    body_timeout: Duration,
}

impl CallerHandler {
    /// Takes lookups with bodies of at most `body` bytes that arrive within `body_timeout`.
    #[must_use]
    pub fn new(desk: Arc<dyn LookupService>, body: usize, body_timeout: Duration) -> Self {
        Self {
            desk,
            body,
            body_timeout,
        }
    }

    async fn answer(&self, req: Request<Incoming>) -> Result<Response<Full<Bytes>>> {
        let (head, body) = req.into_parts();
        let target = request::target(&head)?;
        let body = read_body(body, self.body, self.body_timeout).await?;
        let req = request::lookup(&head, target, &body)?;
        let (front, lookup) = (req.front.clone(), req.lookup.clone());
        let r = self.desk.lookup(req).await;
        Ok(reply::lookup(&r, &front, &lookup))
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
                Err(e) => reply::error(&e, has_key),
            }
        })
    }
}
