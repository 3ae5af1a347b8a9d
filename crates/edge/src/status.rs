//! Serves the balancer's readiness probes, and metrics and dumps for operators.

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

use crate::connection_pools::ConnectionPools;
use crate::metrics::Metrics;
use crate::register::Register;
use crate::shared_state::SharedState;

/// Handles requests for `/ready`, `/metrics` and `/dump`.
pub(crate) struct StatusHandler {
    pub(crate) state: Arc<SharedState>,
    pub(crate) relay: Shared<Relay>,
    pub(crate) connection_pools: Arc<ConnectionPools>,
    pub(crate) callers: Arc<ServerState>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) register: Arc<Register>,
}

impl StatusHandler {
    fn answer(&self, path: &str) -> (StatusCode, String) {
        match path {
            "/ready" if self.state.is_ready() => (StatusCode::OK, String::new()),
            "/ready" => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
            "/metrics" => (StatusCode::OK, self.scrape()),
            "/dump" => (StatusCode::OK, self.dump()),
            _ => (
                StatusCode::NOT_FOUND,
                format!("no such path `{path:.80}`\n"),
            ),
        }
    }

    /// Returns the metrics in the text format of a scrape.
    fn scrape(&self) -> String {
        let relay = lock(&self.relay);
        let c = *relay.counters();
        let in_flight = relay.in_flight();
        let version = relay.version().unwrap_or_default();
        drop(relay);
        let counts = &self.connection_pools.counts;
        let register = self.register.counts();
        let totals = [
            ("requests", c.arrivals),
            ("requests-refused", c.refused),
            ("requests-failed", c.failed),
            ("requests-late", c.late),
            ("pages-partial", c.partial),
            ("callers-gone", c.gone),
            ("bundles", c.bundles),
            ("bundles-failed", c.bundles_failed),
            ("attempts", c.attempts),
            ("attempts-hedged", c.hedges),
            ("hedges-won", c.hedges_won),
            ("attempts-retried", c.retries),
            ("attempts-shed", c.sheds),
            ("attempts-misdirected", c.misdirected),
            ("attempts-broken", c.broken),
            ("attempts-resent", c.resent),
            ("crashes-noted", c.crashes),
            ("quarantines", c.quarantines),
            ("requests-quarantined", c.quarantined),
            ("extra-attempts-refused", c.extra_refused),
            ("connections-opened", counts.opened.load(Ordering::Relaxed)),
            ("connections-lost", counts.lost.load(Ordering::Relaxed)),
            ("callers-accepted", self.callers.accepted()),
            ("register-calls", register.platform_calls),
            ("register-questions", register.peer_queries),
        ];
        let states = [
            ("requests-in-flight", in_flight as f64),
            (
                "attempts-under-way",
                self.connection_pools.in_flight() as f64,
            ),
            ("callers-open", self.callers.open() as f64),
            ("routes-version", version.0 as f64),
            ("ready", f64::from(u8::from(self.state.is_ready()))),
            (
                "register-asked",
                f64::from(u8::from(register.queries_platform)),
            ),
        ];
        self.metrics.text(&totals, &states)
    }

    /// Returns the state of the process as JSON.
    fn dump(&self) -> String {
        let relay = lock(&self.relay);
        let dump = json!({
            "version": relay.version(),
            "in-flight": relay.in_flight(),
            "attempts": self.connection_pools.in_flight(),
            "callers": self.callers.open(),
            "counters": relay.counters(),
            "register": self.register.dump(),
            "verdicts": relay.verdicts(Instant::now()),
            "slack": relay.slack(Instant::now()),
            "budgets": relay.budgets(Instant::now()),
            "servers": relay.servers(Instant::now()),
        });
        format!("{dump:#}\n")
    }
}

impl Handler for StatusHandler {
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
