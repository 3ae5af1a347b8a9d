//! Answers the balancer's questions, and those of whoever looks after the process.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use gs_actor::Shared;
use gs_actor::lock;
use gs_http::Handler;
use gs_http::ServerState;
use gs_relay::Relay;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::json;

use crate::lanes::Lanes;
use crate::state::State;

/// Answers `/ready`, `/metrics` and `/dump`.
pub(crate) struct Status {
    pub(crate) state: Arc<State>,
    pub(crate) relay: Shared<Relay>,
    pub(crate) lanes: Arc<Lanes>,
    pub(crate) callers: Arc<ServerState>,
}

impl Status {
    fn answer(&self, path: &str) -> (StatusCode, String) {
        match path {
            "/ready" if self.state.is_ready() => (StatusCode::OK, String::new()),
            "/ready" => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
            "/metrics" => (StatusCode::OK, self.metrics()),
            "/dump" => (StatusCode::OK, self.dump()),
            _ => (
                StatusCode::NOT_FOUND,
                format!("no such path `{path:.80}`\n"),
            ),
        }
    }

    /// The totals in the usual scrape format.
    fn metrics(&self) -> String {
        let c = *lock(&self.relay).counters();
        let counts = &self.lanes.counts;
        let totals = [
            ("requests_total", c.arrivals),
            ("requests_refused_total", c.refused),
            ("requests_failed_total", c.failed),
            ("requests_late_total", c.late),
            ("pages_partial_total", c.partial),
            ("callers_gone_total", c.gone),
            ("bundles_total", c.bundles),
            ("bundles_failed_total", c.bundles_failed),
            ("attempts_total", c.attempts),
            ("attempts_hedged_total", c.hedges),
            ("hedges_won_total", c.hedges_won),
            ("attempts_retried_total", c.retries),
            ("attempts_shed_total", c.sheds),
            ("attempts_broken_total", c.broken),
            ("extra_attempts_refused_total", c.extra_refused),
            (
                "connections_opened_total",
                counts.opened.load(Ordering::Relaxed),
            ),
            (
                "connections_lost_total",
                counts.lost.load(Ordering::Relaxed),
            ),
            ("callers_accepted_total", self.callers.accepted()),
        ];
        let mut text = String::new();
        for (name, value) in totals {
            text.push_str(&format!(
                "# TYPE gentiansill_{name} counter\ngentiansill_{name} {value}\n"
            ));
        }
        text
    }

    fn dump(&self) -> String {
        let relay = lock(&self.relay);
        let dump = json!({
            "version": relay.version(),
            "in-flight": relay.in_flight(),
            "attempts": self.lanes.running(),
            "callers": self.callers.open(),
            "counters": relay.counters(),
            "servers": relay.servers(Instant::now()),
        });
        format!("{dump:#}\n")
    }
}

impl Handler for Status {
    fn handle(
        self: Arc<Self>,
        _: SocketAddr,
        req: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<Full<Bytes>>> + Send>> {
        let (status, text) = self.answer(req.uri().path());
        let mut res = Response::new(Full::new(Bytes::from(text)));
        *res.status_mut() = status;
        Box::pin(std::future::ready(res))
    }
}
