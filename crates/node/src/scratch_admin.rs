//! Scratch.
use bytes::Bytes;
use gs_admin::Fleet;
use gs_http::Handler;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use std::pin::Pin;
use std::sync::Arc;
pub(crate) struct Scratch(pub(crate) crate::operators::Operators);
impl Handler for Scratch {
    fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<Full<Bytes>>> + Send>> {
        Box::pin(async move {
            let (code, text) = match req.uri().path() {
                "/ready" => (if self.0.ready() { 200 } else { 503 }, String::new()),
                "/metrics" => (200, self.0.metrics()),
                "/dump/fleet" => (200, self.0.fleet_dump().await.to_string()),
                "/status" => (200, self.0.status().to_string()),
                _ => (200, self.0.dump().to_string()),
            };
            Response::builder()
                .status(code)
                .body(Full::from(text))
                .unwrap_or_default()
        })
    }
}
